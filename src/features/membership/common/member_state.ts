/**
 * The state of the members of a failure domain as one of them sees it, and its decisions on
 * records, suspicions, its own pauses and its leave. Methods take the time and report what
 * changed; nothing here sends or waits.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { HostIdentity } from "../../../world/common/host.ts";
import {
  type ConfigurationVersion,
  type HostName,
  NO_VERSION,
} from "../../../world/common/names.ts";
import type { UpstreamAnnouncement } from "../../../world/common/upstream_instance.ts";
import { createDepartureList } from "./departure_list.ts";
import type { Departure, Member } from "./directory.ts";
import { SUSPICION_MS } from "./failure_detector.ts";
import { isPresent, MEMBER_RECORD } from "./member_record.ts";
import {
  createRecordStore,
  isNewer,
  type RecordStore,
} from "./record_store.ts";

/** Hosts on the other side of a cut return within this time of each other. */
const RETURN_WINDOW_MS: Milliseconds = 15_000;

/**
 * What came of a record: `taken` is news for others, `refuted` means that the own record has
 * changed, `replaced` that a later process runs under the own host name.
 */
export type AcceptOutcome = "taken" | "ignored" | "refuted" | "replaced";

export interface MemberState {
  readonly members: RecordStore<Member>;
  readonly departures: readonly Departure[];
  readonly own: Member;
  /** Since when all others have counted this process as a member without a break. */
  readonly presentSince: Milliseconds;
  accept(record: Member, now: Milliseconds): AcceptOutcome;
  setUpstreams(upstreams: readonly UpstreamAnnouncement[]): void;
  /** Puts the applied version of a member into its record. Returns whether that was news. */
  noteVersion(host: HostName, version: ConfigurationVersion): boolean;
  /** After a pause of this process. */
  rejoin(now: Milliseconds): void;
  leave(): void;
  /** Returns whether the member was alive. */
  suspect(host: HostName, now: Milliseconds): boolean;
  /** Declares the suspects dead whose time to refute has passed, and returns them. */
  takeDead(now: Milliseconds): HostName[];
  expire(now: Milliseconds): void;
}

export function createMemberState(self: HostIdentity): MemberState {
  const members = createRecordStore(MEMBER_RECORD);
  const departures = createDepartureList();
  const suspectedAt = new Map<HostName, Milliseconds>();
  const returnedAt = new Map<HostName, Milliseconds>();
  const ownHost = self.process.host;
  let presentSince = self.process.startedAt;
  let own: Member = {
    ...self,
    incarnation: 0,
    state: "alive",
    appliedVersion: NO_VERSION,
    upstreams: [],
  };
  members.merge(own);

  function changeOwn(change: Partial<Member>, above = own.incarnation): void {
    if (own.state !== "left") {
      const incarnation = Math.max(own.incarnation, above) + 1;
      own = { ...own, ...change, incarnation };
      members.merge(own);
    }
  }

  function acceptOwn(record: Member, now: Milliseconds): AcceptOutcome {
    if (record.process.startedAt !== own.process.startedAt) {
      return record.process.startedAt > own.process.startedAt
        ? "replaced"
        : "ignored";
    }
    const stamps = [record, own].map(MEMBER_RECORD.stampOf);
    if (own.state === "left" || !isNewer(stamps[0], stamps[1])) {
      return "ignored";
    }
    presentSince = now;
    changeOwn({}, record.incarnation);
    return "refuted";
  }

  /**
   * Two or more hosts that return together after a suspicion may have worked without this process
   * meanwhile, as the other side of a cut. They then counted this one as absent too, but do not
   * say so when its incarnation has grown since.
   */
  function noteReturn(before: Member | undefined, now: Milliseconds): void {
    if (before?.state !== "dead") {
      return;
    }
    for (const [host, at] of returnedAt) {
      if (now - at > RETURN_WINDOW_MS) {
        returnedAt.delete(host);
      }
    }
    returnedAt.set(before.process.host, now);
    const lost = [...members.values()].filter(({ process, state }) =>
      state === "dead" && !returnedAt.has(process.host)
    );
    if (lost.length + returnedAt.size >= 2) {
      presentSince = now;
    }
  }

  function take(record: Member, now: Milliseconds): boolean {
    const { host } = record.process;
    const before = members.get(host);
    if (!members.merge(record)) {
      return false;
    }
    if (record.state !== "suspect") {
      suspectedAt.delete(host);
    } else if (!suspectedAt.has(host)) {
      suspectedAt.set(host, now);
    }
    if (
      before !== undefined &&
      before.process.startedAt !== record.process.startedAt
    ) {
      departures.add(before, "replaced", now);
    }
    if (isPresent(record)) {
      noteReturn(before, now);
      departures.remove(record.process);
    } else {
      departures.add(record, record.state === "left" ? "left" : "dead", now);
    }
    return true;
  }

  return {
    members,
    get departures() {
      return departures.departures;
    },
    get own() {
      return own;
    },
    get presentSince() {
      return presentSince;
    },
    accept(record, now) {
      if (record.process.host === ownHost) {
        return acceptOwn(record, now);
      }
      return take(record, now) ? "taken" : "ignored";
    },
    setUpstreams: (upstreams) => changeOwn({ upstreams }),
    noteVersion(host, appliedVersion) {
      const record = members.get(host);
      if (record === undefined || record.appliedVersion >= appliedVersion) {
        return false;
      }
      // The version is no part of the stamp: 320 new records at every configuration change
      // would cost more than the limit of control bytes.
      const refreshed = { ...record, appliedVersion };
      members.refresh(refreshed);
      own = host === ownHost ? refreshed : own;
      return true;
    },
    rejoin(now) {
      presentSince = now;
      changeOwn({});
      for (const host of suspectedAt.keys()) {
        suspectedAt.set(host, now);
      }
    },
    leave: () => changeOwn({ state: "left", upstreams: [] }),
    suspect(host, now) {
      const record = members.get(host);
      return record?.state === "alive" && host !== ownHost &&
        take({ ...record, state: "suspect" }, now);
    },
    takeDead(now) {
      const due = [...suspectedAt].filter(([, at]) => now - at >= SUSPICION_MS);
      return due.map(([host]) => host).filter((host) =>
        take({ ...members.get(host)!, state: "dead" }, now)
      );
    },
    expire(now) {
      departures.expire(now);
      const kept = new Set(
        departures.departures.map(({ process }) => process.host),
      );
      for (const record of [...members.values()]) {
        if (!isPresent(record) && !kept.has(record.process.host)) {
          members.remove(record.process.host);
        }
      }
    },
  };
}
