import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { createTransitDelayEstimator } from "./transit_delay_estimator.ts";

interface Sample {
  readonly sentAt: number;
  readonly now: number;
  readonly loopDelay?: number;
  readonly delay: number;
}

const CASES: readonly { name: string; samples: readonly Sample[] }[] = [
  {
    name: "a clock offset is not a delay",
    samples: [
      { sentAt: 90_000, now: 1_000, delay: 0 },
      { sentAt: 90_500, now: 1_500, delay: 0 },
    ],
  },
  {
    name:
      "messages that arrive together have delays according to their send times",
    samples: [
      { sentAt: 0, now: 100, delay: 0 },
      { sentAt: 200, now: 1_500, delay: 1_200 },
      { sentAt: 1_000, now: 1_500, delay: 400 },
      { sentAt: 1_500, now: 1_600, delay: 0 },
    ],
  },
  {
    name:
      "right after the link has opened, the event loop delay of the receiver counts as delay",
    samples: [
      { sentAt: 0, now: 700, loopDelay: 600, delay: 600 },
      { sentAt: 100, now: 700, loopDelay: 600, delay: 600 },
      { sentAt: 3_200, now: 3_900, loopDelay: 600, delay: 100 },
    ],
  },
  {
    name: "a clock shift expires",
    samples: [
      { sentAt: 0, now: 100, delay: 0 },
      { sentAt: 1_000, now: 2_100, delay: 1_000 },
      { sentAt: 6_000, now: 7_100, delay: 1_000 },
      { sentAt: 12_000, now: 13_100, delay: 0 },
    ],
  },
];

// Guards against running calls whose callers left while the offer was in transit.
describe("the estimated transit delay of a peer's messages", () => {
  for (const { name, samples } of CASES) {
    test(name, () => {
      const estimator = createTransitDelayEstimator();
      assert.deepEqual(
        samples.map(({ sentAt, now, loopDelay = 0 }) =>
          estimator.record({ sentAt, now, loopDelay })
        ),
        samples.map(({ delay }) => delay),
      );
    });
  }
});
