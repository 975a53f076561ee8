/**
 * Monitors the members that this daemon should hear from, and probes silent ones.
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
  evaluateProbe,
  type FailureDetector,
  PROBE_AFTER_SILENCE_MS,
} from "./failure_detector.ts";
import type { MemberProbe } from "./member_probe.ts";
import type { MemberState } from "./member_state.ts";

/** Members that are checked per heartbeat, in round-robin order. */
const UNWATCHED_CHECKS = 4;

export interface LivenessMonitorOptions {
  readonly ownHost: HostName;
  readonly state: MemberState;
  readonly view: DirectoryView;
  readonly network: PeerNetwork;
  readonly probe: MemberProbe;
  readonly log: EventLog;
  /** Returns the current time, after it has handled a pause of this process. */
  readonly readTimeAndDetectPause: () => Milliseconds;
  readonly listTargets: () => readonly LinkTarget[];
  /** Called when a member has become suspect. */
  readonly onSuspect: (host: HostName) => void;
}

export interface LivenessMonitor {
  readonly detector: FailureDetector;
  /** Starts probes of the members that have been silent for too long. */
  probeSilentMembers(now: Milliseconds): void;
  /** Watches members that should have a link to this daemon and are not watched yet. */
  watchUnwatched(now: Milliseconds): void;
}

export function createLivenessMonitor(
  options: LivenessMonitorOptions,
): LivenessMonitor {
  const { ownHost, state, view, network, log } = options;
  const detector = createFailureDetector();
  let nextCheckIndex = 0;

  async function probeMember(host: HostName): Promise<void> {
    const record = state.members.get(host);
    if (record?.state === "alive") {
      const answers = await options.probe.probe(
        record.process,
        listHelpers(host),
      );
      const now = options.readTimeAndDetectPause();
      const silence = detector.silenceOf(host, now);
      const verdict = evaluateProbe(answers, silence);
      if (verdict === "reached") {
        keepOrUnwatch(host, now);
      } else if (verdict === "suspect" && silence >= PROBE_AFTER_SILENCE_MS) {
        suspect(host, now);
      }
    } else if (record?.state !== "suspect") {
      detector.unwatch(host);
    }
  }

  /**
   * Keeps watching a member that answered if it is a link target. Otherwise it is not watched any
   * longer, as when it closed the link because it chose other targets.
   */
  function keepOrUnwatch(host: HostName, now: Milliseconds): void {
    if (options.listTargets().some((target) => target.host === host)) {
      detector.recordHeard(host, now);
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

  /**
   * The members that may be asked to probe a host: only linked ones if there are two or more, since
   * these need no new connection.
   */
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
    probeSilentMembers(now) {
      for (const host of detector.startProbes(now)) {
        probeMember(host).catch((error) =>
          log.write("error", "membership.probe-failed", {
            member: host,
            error: describeError(error),
          })
        ).finally(() => detector.endProbe(host));
      }
    },
    /**
     * A member whose first link target is this daemon should have a link to it. Without this check,
     * nobody may notice that a member is dead whose record returned after its process died.
     */
    watchUnwatched(now) {
      const hosts = view.localMembers.map(({ process }) => process.host);
      const checks = Math.min(UNWATCHED_CHECKS, hosts.length);
      for (let count = 0; count < checks; count += 1) {
        nextCheckIndex = (nextCheckIndex + 1) % hosts.length;
        const host = hosts[nextCheckIndex];
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
