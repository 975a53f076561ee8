import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { VirtualClock } from "../../../base/common/clock.ts";
import { createRandomSource } from "../../../base/common/random_source.ts";
import { drawServiceTimeFactor } from "../../../base/common/service_time_factor.ts";
import { type BrokenExchange, createLearnedLimit } from "./learned_limit.ts";

const SLOTS = 4;
const FULL: BrokenExchange = {
  elapsed: 2,
  runningAtStart: SLOTS,
  announced: SLOTS,
};

describe("the limit of an instance that resets connections", () => {
  const cases = [
    {
      name: "falls by one after a reset with all slots in use",
      exchange: FULL,
      limit: 3,
    },
    {
      name: "stays after a reset during the work",
      exchange: { ...FULL, elapsed: 80 },
      limit: 4,
    },
    {
      name: "stays after a reset with a free slot",
      exchange: { ...FULL, runningAtStart: 3 },
      limit: 4,
    },
  ];
  for (const { name, exchange, limit } of cases) {
    test(name, () => {
      const learned = createLearnedLimit();
      learned.recordReset(exchange, 1_000);
      assert.equal(learned.apply(SLOTS, 1_000), limit);
    });
  }

  test("of one slot stays, since an instance without a slot would never be used again", () => {
    const learned = createLearnedLimit();
    learned.recordReset({ ...FULL, runningAtStart: 1, announced: 1 }, 1_000);
    assert.equal(learned.apply(1, 1_000), 1);
  });

  test("falls once when several calls are reset together", () => {
    const learned = createLearnedLimit();
    for (const runningAtStart of [4, 3, 2]) {
      learned.recordReset({ ...FULL, runningAtStart }, 1_000);
    }
    assert.equal(learned.apply(SLOTS, 1_000), 3);
  });

  test("is probed after three seconds, and twice as late after a probe that was reset", () => {
    const learned = createLearnedLimit();
    learned.recordReset(FULL, 1_000);
    assert.equal(learned.apply(SLOTS, 3_900), 3);
    assert.equal(learned.apply(SLOTS, 4_000), 4);
    learned.recordReset(FULL, 4_100);
    assert.equal(learned.apply(SLOTS, 10_000), 3);
    assert.equal(learned.apply(SLOTS, 10_100), 4);
  });

  test("is probed after three seconds again when a later reset has another cause", () => {
    const learned = createLearnedLimit();
    learned.recordReset(FULL, 1_000);
    learned.recordReset(FULL, 60_000);
    assert.equal(learned.apply(SLOTS, 63_000), 4);
  });
});

interface Replayed {
  readonly served: number;
  readonly reset: number;
}

/** Replays 60 s of calls to an instance that has announced four slots and resets the calls above its real ones. */
function replay(seed: number, slots: number, learns: boolean): Replayed {
  const clock = new VirtualClock();
  const random = createRandomSource(seed);
  const learned = createLearnedLimit();
  let running = 0;
  let waiting = 0;
  let served = 0;
  let reset = 0;

  function startNext(): void {
    const limit = learns ? learned.apply(SLOTS, clock.now()) : SLOTS;
    while (waiting > 0 && running < limit) {
      waiting -= 1;
      running += 1;
      const runningAtStart = running;
      const isReset = running > slots;
      const duration = isReset ? 1 : 80 * drawServiceTimeFactor(random, 0.4);
      clock.schedule(duration, () => {
        running -= 1;
        if (isReset) {
          reset += 1;
          learned.recordReset(
            { elapsed: duration, runningAtStart, announced: SLOTS },
            clock.now(),
          );
        } else {
          served += 1;
        }
        startNext();
      });
    }
  }

  for (let at = 0; at < 60_000;) {
    at += -Math.log(1 - random.nextFraction()) * 40;
    clock.schedule(at, () => {
      // Calls that would wait for longer are refused.
      if (waiting < SLOTS) {
        waiting += 1;
        startNext();
      }
    });
  }
  clock.advance(70_000);
  return { served, reset };
}

describe("an instance resets the calls that it has no room for", () => {
  for (const seed of [1, 2]) {
    test(`seed ${seed}: with three slots instead of four, fewer calls are lost and as many served`, (context) => {
      const learning = replay(seed, 3, true);
      const before = replay(seed, 3, false);
      context.diagnostic(`learning ${JSON.stringify(learning)}`);
      context.diagnostic(`before ${JSON.stringify(before)}`);
      assert.ok(learning.reset < before.reset / 4);
      assert.ok(learning.served > 0.95 * before.served);
    });

    test(`seed ${seed}: with the announced slots, as many are served`, () => {
      assert.deepEqual(replay(seed, SLOTS, true), replay(seed, SLOTS, false));
    });
  }
});
