import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { createRequestBodyBudget } from "./request_body_budget.ts";

const MIB = 1024 * 1024;

interface Step {
  /** The number of the reservation; its first step creates it. */
  readonly body: number;
  /** The new size in MiB; undefined when the body is disposed of. */
  readonly size?: number;
  readonly fits?: boolean;
}

const CASES: readonly {
  readonly name: string;
  readonly steps: readonly Step[];
}[] = [
  {
    name: "two bodies of the maximum size do not fit together",
    steps: [
      { body: 1, size: 64, fits: true },
      { body: 2, size: 64, fits: false },
      { body: 1 },
      { body: 2, size: 64, fits: true },
    ],
  },
  {
    name: "ordinary bodies fit beside a body of the maximum size",
    steps: [
      { body: 1, size: 64, fits: true },
      ...Array.from({ length: 32 }, (_, index) => ({
        body: 2 + index,
        size: 1,
        fits: true,
      })),
      { body: 40, size: 1, fits: false },
    ],
  },
  {
    name: "a growing body keeps what it had when it no longer fits",
    steps: [
      { body: 1, size: 40, fits: true },
      { body: 2, size: 20, fits: true },
      { body: 2, size: 30, fits: false },
      { body: 3, size: 8, fits: true },
      { body: 4, size: 1, fits: true },
    ],
  },
  {
    name:
      "a body that grows beyond an ordinary size counts as large as a whole",
    steps: [
      { body: 1, size: 64, fits: true },
      { body: 2, size: 1, fits: true },
      { body: 2, size: 4, fits: true },
      { body: 2, size: 5, fits: false },
    ],
  },
  {
    name: "a body that is disposed of twice is subtracted once",
    steps: [
      { body: 1, size: 64, fits: true },
      { body: 1 },
      { body: 1 },
      { body: 2, size: 64, fits: true },
      { body: 3, size: 64, fits: false },
    ],
  },
];

// Guards against a process that runs out of memory because of several large uploads at the same time.
describe("the budget of request bodies", () => {
  for (const { name, steps } of CASES) {
    test(name, () => {
      const budget = createRequestBodyBudget();
      const bodies = new Map<number, ReturnType<typeof budget.reserve>>();
      for (const { body, size, fits } of steps) {
        const reservation = bodies.get(body) ?? budget.reserve();
        bodies.set(body, reservation);
        if (size === undefined) {
          reservation.dispose();
        } else {
          assert.equal(reservation.tryResize(size * MIB), fits);
        }
      }
      for (const reservation of bodies.values()) {
        reservation.dispose();
      }
      assert.equal(budget.reservedBytes, 0);
    });
  }
});
