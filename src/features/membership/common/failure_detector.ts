/**
 * Tracks when watched members were last heard from, and evaluates probes of silent ones.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { HostName } from "../../../world/common/names.ts";

/** A member that was not heard from for this long is probed. */
export const PROBE_AFTER_SILENCE_MS: Milliseconds = 3_000;

/** A suspect that does not refute the suspicion within this time is declared dead. */
export const SUSPICION_TIMEOUT_MS: Milliseconds = 3_000;

/**
 * When none of the members that were asked to probe answers, this process itself may be isolated.
 * A member is then suspected only after it was silent for this long.
 */
export const ISOLATED_SILENCE_MS: Milliseconds = 10_000;

/**
 * A gap of at least this length between two checks, which run every 250 ms, means that this process
 * was paused. It is shorter than the silence after which others suspect this process.
 */
export const PAUSE_THRESHOLD_MS: Milliseconds = 2_500;

/** Counts of the members that were asked to reach a silent member, and of their answers. */
export interface ProbeAnswers {
  readonly asked: number;
  readonly answered: number;
  readonly reached: number;
}

export type ProbeResult = "reached" | "suspect" | "inconclusive";

export function evaluateProbe(
  { asked, answered, reached }: ProbeAnswers,
  silence: Milliseconds,
): ProbeResult {
  if (reached > 0) {
    return "reached";
  }
  const isTrusted = asked === 0 || answered > 0 ||
    silence >= ISOLATED_SILENCE_MS;
  return isTrusted ? "suspect" : "inconclusive";
}

export interface FailureDetector {
  /** Starts to watch a host that is not watched yet. */
  watch(host: HostName, now: Milliseconds): void;
  /** Records that the host was heard from, and watches it from now on. */
  recordHeard(host: HostName, now: Milliseconds): void;
  isWatched(host: HostName): boolean;
  unwatch(host: HostName): void;
  /** After a pause of this process: nobody is suspected before being heard from again. */
  unwatchAll(): void;
  silenceOf(host: HostName, now: Milliseconds): Milliseconds;
  /** Marks silent hosts that are not being probed as probed, and returns them. */
  startProbes(now: Milliseconds): HostName[];
  endProbe(host: HostName): void;
}

export function createFailureDetector(): FailureDetector {
  const heardAt = new Map<HostName, Milliseconds>();
  const probed = new Set<HostName>();
  const silenceOf = (host: HostName, now: Milliseconds) =>
    now - (heardAt.get(host) ?? now);
  return {
    silenceOf,
    watch(host, now) {
      if (!heardAt.has(host)) {
        heardAt.set(host, now);
      }
    },
    recordHeard: (host, now) => void heardAt.set(host, now),
    isWatched: (host) => heardAt.has(host),
    unwatch: (host) => void heardAt.delete(host),
    unwatchAll: () => heardAt.clear(),
    startProbes(now) {
      const silent = [...heardAt.keys()].filter((host) =>
        !probed.has(host) && silenceOf(host, now) >= PROBE_AFTER_SILENCE_MS
      );
      silent.forEach((host) => probed.add(host));
      return silent;
    },
    endProbe: (host) => void probed.delete(host),
  };
}
