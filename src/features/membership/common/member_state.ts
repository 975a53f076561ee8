/**
 * The state of the members of a failure domain as one member sees it: it merges received records,
 * tracks suspicions and handles pauses and the departure of this process. Methods take the current
 * time and report what changed; the module does no I/O and sets no timers.
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
import { SUSPICION_TIMEOUT_MS } from "./failure_detector.ts";
import { isActiveMember, MEMBER_RECORD } from "./member_record.ts";
import {
  createRecordStore,
  isNewer,
  type RecordStore,
} from "./record_store.ts";

/** After a network partition, hosts of the other side return within this time of each other. */
const RETURN_WINDOW_MS: Milliseconds = 15_000;

/**
 * The outcome of a received record: `accepted` is a change to forward, `refuted` means that this
 * process has raised its own incarnation, `replaced` that a later process uses its host name.
 */
export type AcceptOutcome = "accepted" | "ignored" | "refuted" | "replaced";

export interface MemberState {
  readonly members: RecordStore<Member>;
  readonly departures: readonly Departure[];
  readonly own: Member;
  /** The time since which all others have continuously counted this process as a member. */
  readonly presentSince: Milliseconds;
  accept(record: Member, now: Milliseconds): AcceptOutcome;
  setUpstreams(upstreams: readonly UpstreamAnnouncement[]): void;
  /** Raises the applied version in the record of a member. Returns whether it was higher. */
  updateAppliedVersion(host: HostName, version: ConfigurationVersion): boolean;
  /**
   * Raises the incarnation after a pause of this process, and restarts the time that suspects have
   * to refute.
   */
  rejoin(now: Milliseconds): void;
  leave(): void;
  /** Marks a member as suspect. Returns whether it was alive before. */
  suspect(host: HostName, now: Milliseconds): boolean;
  /** Declares suspects dead that did not refute in time, and returns their hosts. */
  expireSuspicions(now: Milliseconds): HostName[];
  /** Removes departures whose retention has ended, and the member records that belong to them. */
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

  function updateOwn(change: Partial<Member>, above = own.incarnation): void {
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
    updateOwn({}, record.incarnation);
    return "refuted";
  }

  /**
   * Resets `presentSince` when a dead host returns while another one is dead or has just returned.
   * They may have been the other side of a network partition and have counted this process as dead.
   * They do not report that when its incarnation has been raised since.
   */
  function recordReturn(before: Member | undefined, now: Milliseconds): void {
    if (before?.state !== "dead") {
      return;
    }
    for (const [host, at] of returnedAt) {
      if (now - at > RETURN_WINDOW_MS) {
        returnedAt.delete(host);
      }
    }
    returnedAt.set(before.process.host, now);
    const stillDead = [...members.values()].filter(({ process, state }) =>
      state === "dead" && !returnedAt.has(process.host)
    );
    if (stillDead.length + returnedAt.size >= 2) {
      presentSince = now;
    }
  }

  function applyRecord(record: Member, now: Milliseconds): boolean {
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
    if (isActiveMember(record)) {
      recordReturn(before, now);
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
      return applyRecord(record, now) ? "accepted" : "ignored";
    },
    setUpstreams: (upstreams) => updateOwn({ upstreams }),
    updateAppliedVersion(host, appliedVersion) {
      const record = members.get(host);
      if (record === undefined || record.appliedVersion >= appliedVersion) {
        return false;
      }
      // The version is not part of the stamp: gossiping 320 records at every configuration change
      // would exceed the limit on control bytes.
      const refreshed = { ...record, appliedVersion };
      members.refresh(refreshed);
      own = host === ownHost ? refreshed : own;
      return true;
    },
    rejoin(now) {
      presentSince = now;
      updateOwn({});
      for (const host of suspectedAt.keys()) {
        suspectedAt.set(host, now);
      }
    },
    leave: () => updateOwn({ state: "left", upstreams: [] }),
    suspect(host, now) {
      const record = members.get(host);
      return record?.state === "alive" && host !== ownHost &&
        applyRecord({ ...record, state: "suspect" }, now);
    },
    expireSuspicions(now) {
      const due = [...suspectedAt].filter(([, at]) =>
        now - at >= SUSPICION_TIMEOUT_MS
      );
      return due.map(([host]) => host).filter((host) =>
        applyRecord({ ...members.get(host)!, state: "dead" }, now)
      );
    },
    expire(now) {
      departures.expire(now);
      const kept = new Set(
        departures.departures.map(({ process }) => process.host),
      );
      for (const record of [...members.values()]) {
        if (!isActiveMember(record) && !kept.has(record.process.host)) {
          members.remove(record.process.host);
        }
      }
    },
  };
}
