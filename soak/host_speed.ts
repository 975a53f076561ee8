/**
 * The speed of a host that other processes use too: it differs from that of other hosts, and changes several
 * times a second.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";
import type { Milliseconds } from "../src/base/common/milliseconds.ts";
import type { RandomSource } from "../src/base/common/random_source.ts";

/** How long work takes relative to usual, apart from spells. */
const LASTING_RATIO = { from: 0.7, to: 1.1 };
/** Work takes this much longer in a spell. */
const SPELL_FACTOR = 2.5;
const MEAN_SPELL_MS: Milliseconds = 150;
const MEAN_PAUSE_MS: Milliseconds = 450;

export interface HostSpeed {
  /** How long work takes at this moment, relative to usual. */
  readonly ratio: number;
  /** Resolves when work that usually takes this long has been done. */
  work(usual: Milliseconds): Promise<void>;
}

export const USUAL_SPEED: HostSpeed = {
  ratio: 1,
  work: (usual) => sleep(usual),
};

export function createUnevenSpeed(
  random: RandomSource,
  now: () => Milliseconds,
): HostSpeed {
  const lasting = LASTING_RATIO.from +
    random.nextFraction() * (LASTING_RATIO.to - LASTING_RATIO.from);
  let isSpell = false;
  let changesAt: Milliseconds = now();

  function update(): void {
    while (changesAt <= now()) {
      isSpell = !isSpell;
      const mean = isSpell ? MEAN_SPELL_MS : MEAN_PAUSE_MS;
      changesAt += 1 - Math.log(1 - random.nextFraction()) * mean;
    }
  }

  function readRatio(): number {
    update();
    return isSpell ? lasting * SPELL_FACTOR : lasting;
  }

  return {
    get ratio() {
      return readRatio();
    },
    async work(usual) {
      let left = usual;
      while (left > 0) {
        const ratio = readRatio();
        const from = now();
        await sleep(Math.min(left * ratio, changesAt - from));
        left -= Math.max(1, now() - from) / ratio;
      }
    },
  };
}
