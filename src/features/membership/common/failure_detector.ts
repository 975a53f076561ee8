/**
 * Which watched members have been silent for too long, and what a probe of them proves.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { HostName } from "../../../world/common/names.ts";

/** A member that is silent for this long is probed. */
export const SILENCE_MS: Milliseconds = 3_000;

/** A suspect that does not refute the suspicion within this time is dead. */
export const SUSPICION_MS: Milliseconds = 3_000;

/**
 * When none of the members asked to probe answers, the fault may be on this side. Only a
 * silence of this length is then a reason for suspicion.
 */
export const ISOLATED_SILENCE_MS: Milliseconds = 10_000;

/**
 * A gap of this length between two checks, which come every 250 ms, means that the process was
 * paused. It is shorter than the silence after which others suspect it.
 */
export const PAUSE_MS: Milliseconds = 2_500;

/** The answers of the members that were asked to reach a silent one. */
export interface ProbeAnswers {
  readonly asked: number;
  readonly answered: number;
  readonly reached: number;
}

export type ProbeVerdict = "reached" | "suspect" | "inconclusive";

export function judgeProbe(
  { asked, answered, reached }: ProbeAnswers,
  silence: Milliseconds,
): ProbeVerdict {
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
  hear(host: HostName, now: Milliseconds): void;
  isWatched(host: HostName): boolean;
  unwatch(host: HostName): void;
  /** After a pause of this process: judges nobody before hearing from them again. */
  forgetAll(): void;
  silenceOf(host: HostName, now: Milliseconds): Milliseconds;
  /** The silent hosts that are not being probed. */
  takeSilent(now: Milliseconds): HostName[];
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
    hear: (host, now) => void heardAt.set(host, now),
    isWatched: (host) => heardAt.has(host),
    unwatch: (host) => void heardAt.delete(host),
    forgetAll: () => heardAt.clear(),
    takeSilent(now) {
      const silent = [...heardAt.keys()].filter((host) =>
        !probed.has(host) && silenceOf(host, now) >= SILENCE_MS
      );
      silent.forEach((host) => probed.add(host));
      return silent;
    },
    endProbe: (host) => void probed.delete(host),
  };
}
