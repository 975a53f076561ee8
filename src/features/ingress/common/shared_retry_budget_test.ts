import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { createRandomSource } from "../../../base/common/random_source.ts";
import { createRankedRetryBudget } from "./ranked_retry_budget.ts";
import {
  createSharedRetryBudget,
  type RetryClass,
} from "./shared_retry_budget.ts";

const URGENT: RetryClass = { rank: 0, isNested: false };
const NESTED: RetryClass = { rank: 1, isNested: true };
const NEW: RetryClass = { rank: 1, isNested: false };
const ARCHIVE: RetryClass = { rank: 2, isNested: false };

const FAULT_FROM_MS = 12_000;
const FAULT_MS = 8_500;
const END_MS = 30_000;
const REFUSED_SHARE = 0.55;
const MAXIMUM_INSTANCES = 3;
const DAEMONS = 54;

interface Kind {
  readonly retryClass: RetryClass;
  /** The calls that each daemon gets. */
  readonly perSecond: number;
  readonly worth: number;
}

/** What a daemon beside an instance of the front service calls; a read is worth 1 and makes two nested calls. */
const KINDS: Readonly<Record<string, Kind>> = {
  urgent: { retryClass: URGENT, perSecond: 189 / 85, worth: 4.6 },
  nested: { retryClass: NESTED, perSecond: 1_000 / 54, worth: 0.5 },
  archive: { retryClass: ARCHIVE, perSecond: 97 / 85, worth: 0.4 },
};

interface Budget {
  recordFirstAttempt(retryClass: RetryClass, now: number): void;
  takeRetry(retryClass: RetryClass, now: number): boolean;
}

interface Replayed {
  /** The share of the calls during the fault that were served, by kind. */
  readonly served: Record<string, number>;
  readonly worth: number;
  readonly retryShare: number;
}

/** Replays the calls of all daemons to a service whose instances all refuse 55 % of them for 8.5 s. */
function replay(createBudget: () => Budget): Replayed {
  const random = createRandomSource(7);
  const calls: Record<string, number> = { urgent: 0, nested: 0, archive: 0 };
  const served: Record<string, number> = { urgent: 0, nested: 0, archive: 0 };
  let firstAttempts = 0;
  let retries = 0;
  const names = Object.keys(KINDS);
  const perSecond = names.reduce(
    (sum, name) => sum + KINDS[name].perSecond,
    0,
  );
  for (let daemon = 0; daemon < DAEMONS; daemon += 1) {
    const budget = createBudget();
    for (let now = 0; now < END_MS;) {
      now += -Math.log(1 - random.nextFraction()) * 1_000 / perSecond;
      let draw = random.nextFraction() * perSecond;
      const name = names.find((candidate) =>
        (draw -= KINDS[candidate].perSecond) < 0
      ) ?? names[0];
      const { retryClass } = KINDS[name];
      const isFault = now >= FAULT_FROM_MS && now < FAULT_FROM_MS + FAULT_MS;
      budget.recordFirstAttempt(retryClass, now);
      firstAttempts += 1;
      let isServed = !isFault || random.nextFraction() >= REFUSED_SHARE;
      for (
        let instances = 1;
        !isServed && instances < MAXIMUM_INSTANCES &&
        budget.takeRetry(retryClass, now);
        instances += 1
      ) {
        retries += 1;
        isServed = random.nextFraction() >= REFUSED_SHARE;
      }
      if (isFault) {
        calls[name] += 1;
        served[name] += isServed ? 1 : 0;
      }
    }
  }
  let worth = 0;
  let possible = 0;
  for (const name of names) {
    worth += served[name] * KINDS[name].worth;
    possible += calls[name] * KINDS[name].worth;
    served[name] /= calls[name];
  }
  return {
    served,
    worth: worth / possible,
    retryShare: retries / firstAttempts,
  };
}

describe("retries while all instances refuse 55 % of the calls for 8.5 s", () => {
  const planned = replay(createSharedRetryBudget);
  const before = replay(() => {
    const budget = createRankedRetryBudget();
    return {
      recordFirstAttempt: (_, now) => budget.recordFirstAttempt(now),
      takeRetry: ({ rank }, now) => budget.takeRetry(rank, now),
    };
  });

  test("more urgent calls are served, and all are worth more to callers", (context) => {
    context.diagnostic(`planned: ${JSON.stringify(planned)}`);
    context.diagnostic(`before: ${JSON.stringify(before)}`);
    assert.ok(planned.served.urgent > before.served.urgent);
    assert.ok(planned.worth > before.worth);
    assert.ok(planned.served.nested > planned.served.archive);
  });

  test("the retries stay within the share", () => {
    assert.ok(planned.retryShare <= 0.15);
  });
});

describe("a budget of retries", () => {
  function createUsedBudget(classes: readonly RetryClass[]) {
    const budget = createSharedRetryBudget();
    for (let now = 0; now < 10_000; now += 50) {
      for (const retryClass of classes) {
        budget.recordFirstAttempt(retryClass, now);
      }
    }
    return budget;
  }

  function takeAll(
    budget: ReturnType<typeof createSharedRetryBudget>,
    retryClass: RetryClass,
  ): number {
    let taken = 0;
    while (taken < 1_000 && budget.takeRetry(retryClass, 9_999)) {
      taken += 1;
    }
    return taken;
  }

  test("goes to urgent calls before nested ones", () => {
    const budget = createUsedBudget([URGENT, NESTED]);
    assert.ok(takeAll(budget, NESTED) < 0.15 * 400 / 2);
    assert.ok(takeAll(budget, URGENT) > 0.15 * 400 / 2);
  });

  test("goes to nested calls before new ones of the same rank", () => {
    const budget = createUsedBudget([NESTED, NEW]);
    assert.ok(takeAll(budget, NEW) < 0.15 * 400 / 2);
    assert.ok(takeAll(budget, NESTED) > 0.15 * 400 / 2);
  });

  for (const [name, retryClass] of Object.entries({ URGENT, ARCHIVE })) {
    test(`goes to ${name.toLowerCase()} calls alone if there are no others`, () => {
      const budget = createUsedBudget([retryClass]);
      assert.equal(takeAll(budget, retryClass), 30);
    });
  }

  /** One call in eleven is urgent; the budget has 33 retries. */
  function createBudgetWithFewUrgent() {
    const budget = createSharedRetryBudget();
    for (let now = 0; now < 10_000; now += 50) {
      budget.recordFirstAttempt(NESTED, now);
      if (now % 500 === 0) {
        budget.recordFirstAttempt(URGENT, now);
      }
    }
    return budget;
  }

  test("is no longer kept for urgent calls that have made their retries", () => {
    const budget = createBudgetWithFewUrgent();
    for (let retry = 0; retry < 12; retry += 1) {
      assert.ok(budget.takeRetry(URGENT, 9_999));
    }
    assert.ok(takeAll(budget, NESTED) >= 10);
  });

  test("is kept for more urgent retries than the mean, since their number varies", () => {
    const budget = createBudgetWithFewUrgent();
    takeAll(budget, NESTED);
    // Nested calls stop while 45 % of the attempts fail. The urgent calls weigh 12.6, so they need 8.2 retries on
    // average and 13.9 with two deviations.
    assert.ok(takeAll(budget, URGENT) >= 13);
  });

  test("gets back a retry that reached no instance", () => {
    const budget = createUsedBudget([URGENT]);
    takeAll(budget, URGENT);
    budget.returnRetry(URGENT, 9_999);
    assert.equal(budget.takeRetry(URGENT, 9_999), true);
    assert.equal(budget.takeRetry(URGENT, 9_999), false);
  });

  test("is counted in bounded memory for the least urgent class as well", () => {
    const budget = createSharedRetryBudget();
    for (let second = 0; second < 1_000; second += 1) {
      for (let index = 0; index < 20; index += 1) {
        budget.recordFirstAttempt(ARCHIVE, second * 1_000);
      }
      assert.ok(budget.takeRetry(ARCHIVE, second * 1_000));
    }
    assert.equal(budget.size, 10);
  });
});
