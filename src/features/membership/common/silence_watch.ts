/**
 * Watches the members that this daemon should hear from, and has silent ones probed.
 *
 * @module
 */

import type { EventLog } from "../../../base/common/event_log.ts";
import { rankByRendezvous } from "../../../base/common/hashing.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import { describeError } from "../../../base/common/step_error.ts";
import type { HostName } from "../../../world/common/names.ts";
import type {
  LinkTarget,
  PeerNetwork,
} from "../../link/common/peer_network.ts";
import type { DirectoryView } from "./directory_view.ts";
import {
  createFailureDetector,
  type FailureDetector,
  judgeProbe,
  SILENCE_MS,
} from "./failure_detector.ts";
import type { MemberProbe } from "./member_probe.ts";
import type { MemberState } from "./member_state.ts";

/** Members whose links are checked per heartbeat, in turn. */
const ORPHAN_CHECKS = 4;

export interface SilenceWatchOptions {
  readonly ownHost: HostName;
  readonly state: MemberState;
  readonly view: DirectoryView;
  readonly network: PeerNetwork;
  readonly probe: MemberProbe;
  readonly log: EventLog;
  /** The current time, after the check for a pause of this process. */
  readonly noteTime: () => Milliseconds;
  readonly listTargets: () => readonly LinkTarget[];
  /** Called when a member has become suspect. */
  readonly onSuspect: (host: HostName) => void;
}

export interface SilenceWatch {
  readonly detector: FailureDetector;
  /** Has the members probed that have been silent for too long. */
  check(now: Milliseconds): void;
  checkOrphans(now: Milliseconds): void;
}

export function createSilenceWatch(options: SilenceWatchOptions): SilenceWatch {
  const { ownHost, state, view, network, log } = options;
  const detector = createFailureDetector();
  let orphanCursor = 0;

  async function investigate(host: HostName): Promise<void> {
    const record = state.members.get(host);
    if (record?.state === "alive") {
      const answers = await options.probe.probe(
        record.process,
        listHelpers(host),
      );
      const now = options.noteTime();
      const silence = detector.silenceOf(host, now);
      const verdict = judgeProbe(answers, silence);
      if (verdict === "reached") {
        keepOrForget(host, now);
      } else if (verdict === "suspect" && silence >= SILENCE_MS) {
        suspect(host, now);
      }
    } else if (record?.state !== "suspect") {
      detector.unwatch(host);
    }
  }

  /** A member that closed its link because it chose others needs no watch. */
  function keepOrForget(host: HostName, now: Milliseconds): void {
    if (options.listTargets().some((target) => target.host === host)) {
      detector.hear(host, now);
    } else {
      detector.unwatch(host);
    }
  }

  function suspect(host: HostName, now: Milliseconds): void {
    if (state.suspect(host, now)) {
      log.write("info", "membership.suspect", { member: host, by: ownHost });
      options.onSuspect(host);
    }
  }

  /** Linked members first: they are asked without a new connection. */
  function listHelpers(host: HostName): HostName[] {
    const others = view.localMembers.filter((member) =>
      member.state === "alive" && member.process.host !== host &&
      member.process.host !== ownHost
    ).map(({ process }) => process.host);
    const linked = new Set(network.peers.map(({ process }) => process.host));
    const near = others.filter((other) => linked.has(other));
    return near.length >= 2 ? near : others;
  }

  return {
    detector,
    check(now) {
      for (const host of detector.takeSilent(now)) {
        investigate(host).catch((error) =>
          log.write("error", "membership.probe-failed", {
            member: host,
            error: describeError(error),
          })
        ).finally(() => detector.endProbe(host));
      }
    },
    /**
     * A member whose first target is this daemon should have a link to it. A record that came
     * back after its process died may have no neighbour that would notice.
     */
    checkOrphans(now) {
      const hosts = view.localMembers.map(({ process }) => process.host);
      const checks = Math.min(ORPHAN_CHECKS, hosts.length);
      for (let count = 0; count < checks; count += 1) {
        orphanCursor = (orphanCursor + 1) % hosts.length;
        const host = hosts[orphanCursor];
        const others = hosts.filter((other) => other !== host);
        if (
          host !== ownHost && !detector.isWatched(host) &&
          rankByRendezvous(host, others)[0] === ownHost
        ) {
          detector.watch(host, now);
        }
      }
    },
  };
}
