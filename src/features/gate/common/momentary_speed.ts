/**
 * How long work takes on the host of an instance at this moment, relative to usual.
 *
 * Load pattern: other processes use the processor of a host in spells of several hundred milliseconds.
 * Work then takes two to three times as long, while the average over the last calls has hardly changed.
 * When it has, the spell is over. The instance states the figure in its responses; it loses its worth as
 * it ages, because the spell may have ended, and a long call outlives the spell in which it starts.
 * What calls show of the lasting speed of the instance is measured without the spells.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";

/** A host that is slow now is as usual again after about this time. */
const SPELL_MS: Milliseconds = 600;
/**
 * A figure that was not stated for this long is unknown: the instance has had no calls, or states none any more. By
 * then the largest figure has faded to usual.
 */
const UNKNOWN_AFTER_MS: Milliseconds = 10_000;
/** The speed before the oldest of these periods counts as usual. */
const MAXIMUM_PERIODS = 128;

/** A time for which the instance has stated the same figure. */
interface SpeedPeriod {
  readonly ratio: number;
  readonly from: Milliseconds;
  lastStatedAt: Milliseconds;
}

export interface MomentarySpeed {
  /** Records the figure of a response; 1 is as usual, above it is slower. */
  record(ratio: number, now: Milliseconds): void;
  /** The ratio expected now; undefined if the instance has not stated one lately. */
  current(now: Milliseconds): number | undefined;
  /** How long the work that was done between two instants usually takes. */
  usualTimeBetween(from: Milliseconds, to: Milliseconds): Milliseconds;
}

export function createMomentarySpeed(): MomentarySpeed {
  /** Oldest first. */
  const periods: SpeedPeriod[] = [];

  return {
    record(ratio, now) {
      const last = periods.at(-1);
      if (last?.ratio === ratio && now - last.lastStatedAt < SPELL_MS) {
        last.lastStatedAt = now;
        return;
      }
      periods.push({ ratio, from: now, lastStatedAt: now });
      if (periods.length > MAXIMUM_PERIODS) {
        periods.shift();
      }
    },
    current(now) {
      const last = periods.at(-1);
      return last === undefined ||
          now - last.lastStatedAt >= UNKNOWN_AFTER_MS
        ? undefined
        : fadeServiceTime(last.ratio, now - last.lastStatedAt);
    },
    usualTimeBetween(from, to) {
      let usual = to - from;
      let end = to;
      for (let index = periods.length - 1; index >= 0; index -= 1) {
        const { ratio, from: start, lastStatedAt } = periods[index];
        const overlap = Math.min(end, lastStatedAt + SPELL_MS) -
          Math.max(start, from);
        if (overlap > 0) {
          usual += overlap / ratio - overlap;
        }
        end = Math.min(end, start);
        if (end <= from) {
          break;
        }
      }
      return usual;
    },
  };
}

/** The ratio that is expected some time after it was stated. */
export function fadeServiceTime(ratio: number, age: Milliseconds): number {
  return 1 + (ratio - 1) * Math.exp(-Math.max(0, age) / SPELL_MS);
}

/**
 * The expected duration of work that starts after a wait on a host of this momentary speed.
 *
 * The part of the work that is done within a spell takes longer. If spells end at random, a spell that
 * slows work by `ratio` covers `SPELL_MS * (1 - exp(-ratio * work / SPELL_MS))` of the duration on
 * average, and `1 - 1 / ratio` of that is lost.
 */
export function estimateDuration(
  work: Milliseconds,
  { ratio, wait = 0 }: { readonly ratio: number; readonly wait?: Milliseconds },
): Milliseconds {
  const covered = SPELL_MS * (1 - Math.exp(-ratio * work / SPELL_MS));
  return work + (1 - 1 / ratio) * covered * Math.exp(-wait / SPELL_MS);
}
