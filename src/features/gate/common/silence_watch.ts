/**
 * Notices hosts that have fallen silent while calls wait for them.
 *
 * Load pattern: a failure domain is cut off without resets, or hosts lose power, in a large fleet whose
 * heartbeats are seconds apart. Until their links count as lost, calls go on being sent there and those
 * under way are held to their end. A host that has sent nothing since a call became overdue is probed; if
 * the probe is not answered, calls go elsewhere. No frames are sent for calls that end in the usual time.
 *
 * @module
 */

import type { Clock } from "../../../base/common/clock.ts";
import type { Disposable } from "../../../base/common/disposable.ts";
import { createEmitter, type Event } from "../../../base/common/emitter.ts";
import type { EventLog } from "../../../base/common/event_log.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { HostName } from "../../../world/common/names.ts";
import type { PeerNetwork } from "../../link/common/peer_network.ts";

export const PROBE_KIND = "gate.probe";

/** About one call in five takes longer than this many times the usual. */
const OVERDUE_FACTOR = 1.3;
/** Shorter calls vary by as much on hosts that have half a core. */
const LEAST_OVERDUE_MS: Milliseconds = 150;
/** A daemon that is alive answers within this, also while it reads a large configuration. */
const PROBE_TIMEOUT_MS: Milliseconds = 250;
const SWEEP_INTERVAL_MS: Milliseconds = 50;

/** A call that waits for its outcome. */
export interface WaitingOffer {
  readonly host: HostName;
  readonly offeredAt: Milliseconds;
  readonly usualMilliseconds: Milliseconds;
}

export interface SilenceWatch extends Disposable {
  /** A host has not answered a probe. */
  readonly onSilent: Event<HostName>;
  isUnresponsive(host: HostName): boolean;
  /** A call has been offered to another host. */
  noteOffered(): void;
}

export interface SilenceWatchOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly network: Pick<PeerNetwork, "findPeer" | "getIdleTime" | "request">;
  readonly waiting: () => Iterable<WaitingOffer>;
  /** Calls back when the frames that have already arrived are handled. */
  readonly afterPendingEvents: (callback: () => void) => void;
}

/** Whether a call is overdue at a host that has sent nothing for as long as the call may usually take. */
export function isProbeDue(
  { offeredAt, usualMilliseconds }: Omit<WaitingOffer, "host">,
  { idleTime, now }: {
    readonly idleTime: Milliseconds;
    readonly now: Milliseconds;
  },
): boolean {
  const overdueAfter = Math.max(
    LEAST_OVERDUE_MS,
    OVERDUE_FACTOR * usualMilliseconds,
  );
  return now - offeredAt >= overdueAfter && idleTime >= overdueAfter;
}

export function createSilenceWatch(
  { clock, log, network, waiting, afterPendingEvents }: SilenceWatchOptions,
): SilenceWatch {
  const probed = new Set<HostName>();
  /** Hosts that have not answered, and when they were probed. */
  const unanswered = new Map<HostName, Milliseconds>();
  const silent = createEmitter<HostName>();
  let timer: Disposable | undefined;

  function isUnresponsive(host: HostName): boolean {
    const probedAt = unanswered.get(host);
    if (probedAt === undefined) {
      return false;
    }
    if (network.getIdleTime(host) >= clock.now() - probedAt) {
      return true;
    }
    unanswered.delete(host);
    return false;
  }

  function sweep(): void {
    timer = undefined;
    const now = clock.now();
    let count = 0;
    for (const offer of waiting()) {
      const { host } = offer;
      count += 1;
      if (
        !probed.has(host) && !isUnresponsive(host) &&
        isProbeDue(offer, { idleTime: network.getIdleTime(host), now })
      ) {
        probe(host, now);
      }
    }
    if (count > 0) {
      schedule();
    }
  }

  function schedule(): void {
    timer ??= clock.schedule(SWEEP_INTERVAL_MS, sweep);
  }

  async function probe(host: HostName, probedAt: Milliseconds): Promise<void> {
    if (network.findPeer(host) === undefined) {
      return;
    }
    probed.add(host);
    const answer = await network.request(host, { kind: PROBE_KIND }, {
      timeoutMilliseconds: PROBE_TIMEOUT_MS,
    });
    if (answer.ok) {
      probed.delete(host);
      return;
    }
    // After a pause of this process the answer may have arrived and not be read yet.
    afterPendingEvents(() => {
      probed.delete(host);
      const idleTime = network.getIdleTime(host);
      if (idleTime >= clock.now() - probedAt) {
        log.write("warn", "gate.silent", {
          peer: host,
          quiet: Math.round(idleTime),
        });
        unanswered.set(host, probedAt);
        silent.fire(host);
      }
    });
  }

  return {
    onSilent: silent.event,
    isUnresponsive,
    noteOffered: schedule,
    dispose() {
      timer?.dispose();
      silent.dispose();
    },
  };
}
