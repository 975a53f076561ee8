import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { createTransitDelay } from "./transit_delay_estimator.ts";

interface Sample {
  readonly sentAt: number;
  readonly now: number;
  readonly loopDelay?: number;
  readonly delay: number;
}

const CASES: readonly { name: string; samples: readonly Sample[] }[] = [
  {
    name: "clocks that differ are no delay",
    samples: [
      { sentAt: 90_000, now: 1_000, delay: 0 },
      { sentAt: 90_500, now: 1_500, delay: 0 },
    ],
  },
  {
    name: "messages that were held up together are told apart by their age",
    samples: [
      { sentAt: 0, now: 100, delay: 0 },
      { sentAt: 200, now: 1_500, delay: 1_200 },
      { sentAt: 1_000, now: 1_500, delay: 400 },
      { sentAt: 1_500, now: 1_600, delay: 0 },
    ],
  },
  {
    name:
      "a receiver that is busy right after the link has opened is late itself",
    samples: [
      { sentAt: 0, now: 700, loopDelay: 600, delay: 600 },
      { sentAt: 100, now: 700, loopDelay: 600, delay: 600 },
      { sentAt: 3_200, now: 3_900, loopDelay: 600, delay: 100 },
    ],
  },
  {
    name: "a shift of a clock is forgotten",
    samples: [
      { sentAt: 0, now: 100, delay: 0 },
      { sentAt: 1_000, now: 2_100, delay: 1_000 },
      { sentAt: 6_000, now: 7_100, delay: 1_000 },
      { sentAt: 12_000, now: 13_100, delay: 0 },
    ],
  },
];

// Guards against work on calls whose callers have left while the offer was under way.
describe("the time for which messages of a peer were held up", () => {
  for (const { name, samples } of CASES) {
    test(name, () => {
      const transit = createTransitDelay();
      assert.deepEqual(
        samples.map(({ sentAt, now, loopDelay = 0 }) =>
          transit.record({ sentAt, now, loopDelay })
        ),
        samples.map(({ delay }) => delay),
      );
    });
  }
});
