/**
 * Detects hosts that have become unresponsive while calls are in flight there.
 *
 * Load pattern: a failure domain is partitioned without connection resets, or hosts lose power, in a large
 * fleet whose heartbeats are seconds apart. Until their links are detected as lost, new calls would be sent
 * to these hosts and in-flight calls would wait until their deadlines. A host that has sent nothing while
 * a call became overdue is probed; if it does not answer the probe, calls go to other hosts. Calls that
 * finish in the expected time cause no probes.
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

/** About one call in five takes longer than this multiple of the average. */
const OVERDUE_FACTOR = 1.3;
/** The service time of shorter calls varies by this much on hosts with half a core. */
const MINIMUM_OVERDUE_MS: Milliseconds = 150;
/** A live daemon answers within this time, even while it loads a large configuration. */
const PROBE_TIMEOUT_MS: Milliseconds = 250;
const SWEEP_INTERVAL_MS: Milliseconds = 50;

/** A call at another host whose outcome is pending. */
export interface PendingOffer {
  readonly host: HostName;
  readonly offeredAt: Milliseconds;
  readonly usualMilliseconds: Milliseconds;
}

export interface UnresponsiveHostDetector extends Disposable {
  /** Fires when a host has not answered a probe. */
  readonly onUnresponsive: Event<HostName>;
  isUnresponsive(host: HostName): boolean;
  /** Starts the periodic checks if needed; to be called after each offer to another host. */
  handleOffered(): void;
}

export interface UnresponsiveHostDetectorOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly network: Pick<PeerNetwork, "findPeer" | "getIdleTime" | "request">;
  readonly pendingOffers: () => Iterable<PendingOffer>;
  /** Calls back once the frames that have already arrived are processed. */
  readonly afterPendingEvents: (callback: () => void) => void;
}

/** Whether a call is overdue and its host has sent nothing for at least the overdue threshold. */
export function isProbeDue(
  { offeredAt, usualMilliseconds }: Omit<PendingOffer, "host">,
  { idleTime, now }: {
    readonly idleTime: Milliseconds;
    readonly now: Milliseconds;
  },
): boolean {
  const overdueAfter = Math.max(
    MINIMUM_OVERDUE_MS,
    OVERDUE_FACTOR * usualMilliseconds,
  );
  return now - offeredAt >= overdueAfter && idleTime >= overdueAfter;
}

export function createUnresponsiveHostDetector(
  { clock, log, network, pendingOffers, afterPendingEvents }:
    UnresponsiveHostDetectorOptions,
): UnresponsiveHostDetector {
  const hostsBeingProbed = new Set<HostName>();
  /** The time of the unanswered probe, by host. */
  const unansweredProbes = new Map<HostName, Milliseconds>();
  const unresponsive = createEmitter<HostName>();
  let sweepTimer: Disposable | undefined;

  function isUnresponsive(host: HostName): boolean {
    const probedAt = unansweredProbes.get(host);
    if (probedAt === undefined) {
      return false;
    }
    if (network.getIdleTime(host) >= clock.now() - probedAt) {
      return true;
    }
    unansweredProbes.delete(host);
    return false;
  }

  function sweep(): void {
    sweepTimer = undefined;
    const now = clock.now();
    let count = 0;
    for (const offer of pendingOffers()) {
      const { host } = offer;
      count += 1;
      if (
        !hostsBeingProbed.has(host) && !isUnresponsive(host) &&
        isProbeDue(offer, { idleTime: network.getIdleTime(host), now })
      ) {
        probe(host, now);
      }
    }
    if (count > 0) {
      scheduleSweep();
    }
  }

  function scheduleSweep(): void {
    sweepTimer ??= clock.schedule(SWEEP_INTERVAL_MS, sweep);
  }

  async function probe(host: HostName, probedAt: Milliseconds): Promise<void> {
    if (network.findPeer(host) === undefined) {
      return;
    }
    hostsBeingProbed.add(host);
    const answer = await network.request(host, { kind: PROBE_KIND }, {
      timeoutMilliseconds: PROBE_TIMEOUT_MS,
    });
    if (answer.ok) {
      hostsBeingProbed.delete(host);
      return;
    }
    // If this process was paused, the answer may have arrived without being read yet.
    afterPendingEvents(() => {
      hostsBeingProbed.delete(host);
      const idleTime = network.getIdleTime(host);
      if (idleTime >= clock.now() - probedAt) {
        log.write("warn", "gate.silent", {
          peer: host,
          quiet: Math.round(idleTime),
        });
        unansweredProbes.set(host, probedAt);
        unresponsive.fire(host);
      }
    });
  }

  return {
    onUnresponsive: unresponsive.event,
    isUnresponsive,
    handleOffered: scheduleSweep,
    dispose() {
      sweepTimer?.dispose();
      unresponsive.dispose();
    },
  };
}
