import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { createAccountShares, MAXIMUM_ACCOUNTS } from "./account_shares.ts";
import {
  createFixtureCall as createCall,
  FIXTURE_SERVICE_MS as SERVICE_MS,
} from "./account_shares_fixture.ts";
import { createCallQueue, type QueueableCall } from "./call_queue.ts";

interface OrderCase {
  readonly name: string;
  readonly first: Partial<QueueableCall>;
  readonly second: Partial<QueueableCall>;
}

/** The account `busy` has started ten calls of rank 0 and two of rank 1, `quiet` one of rank 1. */
const ORDER_CASES: readonly OrderCase[] = [
  {
    name: "priority goes before the share of the account",
    first: { rank: 0, account: "busy" },
    second: { rank: 1, account: "quiet" },
  },
  {
    name: "priority goes before nested calls",
    first: { rank: 0 },
    second: { rank: 1, isNested: true },
  },
  {
    name: "nested calls go before the share of the account",
    first: { isNested: true, account: "busy" },
    second: { account: "quiet" },
  },
  {
    name: "the share of the account goes before the due time",
    first: { account: "quiet", objectiveAt: 900 },
    second: { account: "busy", objectiveAt: 100 },
  },
  {
    name: "the calls of an account go by due time",
    first: { objectiveAt: 100 },
    second: { objectiveAt: 900 },
  },
  {
    name: "an account without calls before goes by its share",
    first: { account: "new", objectiveAt: 900 },
    second: { account: "busy", objectiveAt: 100 },
  },
];

describe("the order of queued calls", () => {
  for (const { name, first, second } of ORDER_CASES) {
    test(name, () => {
      const shares = createAccountShares();
      for (let index = 0; index < 10; index += 1) {
        shares.recordStart(createCall({ rank: 0, account: "busy" }), 0);
      }
      for (const account of ["busy", "quiet", "busy"]) {
        shares.recordStart(createCall({ account }), 0);
      }
      for (const isReversed of [false, true]) {
        const queue = createCallQueue(shares.createOrder);
        const calls = [
          createCall({ ...first, identity: "first" }),
          createCall({ ...second, identity: "second" }),
        ];
        for (const call of isReversed ? calls.reverse() : calls) {
          queue.enqueue(call);
        }
        assert.equal(queue.dequeue(0)?.identity, "first");
      }
    });
  }

  test("an account that was idle does not push out the others afterwards", () => {
    const shares = createAccountShares();
    for (let index = 0; index < 100; index += 1) {
      shares.recordStart(createCall({ account: "busy" }), 0);
    }
    const queue = createCallQueue(shares.createOrder);
    for (let index = 0; index < 8; index += 1) {
      for (const account of ["busy", "new"]) {
        queue.enqueue(createCall({ identity: `${account}${index}`, account }));
      }
    }
    let ofNew = 0;
    for (let index = 0; index < 8; index += 1) {
      const next = queue.dequeue(0)!;
      shares.recordStart(next, 0);
      ofNew += next.account === "new" ? 1 : 0;
    }
    assert.ok(ofNew <= 5, String(ofNew));
  });

  test("an account whose calls take longer than expected starts fewer of them", () => {
    const shares = createAccountShares();
    const starts = { slow: 0, usual: 0 };
    const queue = createCallQueue(shares.createOrder);
    for (let index = 0; index < 100; index += 1) {
      for (const account of ["slow", "usual"]) {
        queue.enqueue(createCall({ identity: `${account}${index}`, account }));
      }
    }
    for (let index = 0; index < 80; index += 1) {
      const next = queue.dequeue(0)!;
      const name = next.account as keyof typeof starts;
      starts[name] += 1;
      shares.recordStart(next, 0);
      shares.recordEnd(next, name === "slow" ? 3 * SERVICE_MS : SERVICE_MS);
    }
    assert.ok(starts.usual > 2.5 * starts.slow, JSON.stringify(starts));
  });
});

describe("the work of ordering queued calls", () => {
  // Guards against work that grows with the queue for each call that starts or is offered.
  test("checks only calls that go before those found until then for whether they may start", () => {
    const queue = createCallQueue(createAccountShares().createOrder);
    for (let index = 0; index < 100; index += 1) {
      queue.enqueue(
        createCall({ identity: `call-${index}`, objectiveAt: 400 + index }),
      );
    }
    let checked = 0;
    const next = queue.dequeue(0, () => {
      checked += 1;
      return true;
    });
    assert.equal(next?.identity, "call-0");
    assert.equal(checked, 1);
  });

  test("leaves out calls of other ranks when those ahead of a call are counted", () => {
    const shares = createAccountShares();
    let ordered = 0;
    const queue = createCallQueue((calls, now) => {
      const listed = [...calls];
      ordered = listed.length;
      return shares.createOrder(listed, now);
    });
    for (const rank of [0, 0, 0, 1, 2, 2]) {
      queue.enqueue(createCall({ identity: `${queue.size}`, rank }));
    }
    const call = createCall({ identity: "new", rank: 1, objectiveAt: 900 });
    assert.equal(queue.countAhead(call, 0), 4);
    assert.deepEqual(
      queue.listAhead(call, 0).map(({ rank }) => rank),
      [0, 0, 0, 1],
    );
    assert.equal(ordered, 2);
  });
});

describe("the state of accounts", () => {
  test("is bounded when calls of many accounts arrive", () => {
    const shares = createAccountShares();
    for (let index = 0; index < 3 * MAXIMUM_ACCOUNTS; index += 1) {
      const call = createCall({ account: `a${index}` });
      shares.recordStart(call, index);
      shares.recordEnd(call, SERVICE_MS);
    }
    assert.equal(shares.size, MAXIMUM_ACCOUNTS);
  });

  test("is forgotten after ten seconds without calls, unless a call still runs", () => {
    const shares = createAccountShares();
    const ended = createCall({ account: "ended" });
    shares.recordStart(ended, 0);
    shares.recordEnd(ended, SERVICE_MS);
    shares.recordStart(createCall({ account: "running" }), 0);
    shares.recordStart(createCall({ account: "later" }), 11_000);
    assert.equal(shares.size, 2);
  });

  test("does not change at the end of a call that started before accounts were configured", () => {
    const shares = createAccountShares();
    shares.recordStart(createCall({ account: "running" }), 0);
    shares.recordEnd(createCall({ account: "running" }), SERVICE_MS);
    shares.recordStart(createCall({ account: "later" }), 11_000);
    assert.equal(shares.size, 2);
  });

  test("is bounded over ranks", () => {
    const shares = createAccountShares();
    for (let rank = 0; rank < 1_000; rank += 1) {
      shares.recordStart(createCall({ rank }), 0);
    }
    assert.ok(shares.size <= 64, String(shares.size));
  });
});

describe("whether an account is above its share", () => {
  function createUsage(counts: Readonly<Record<string, number>>) {
    const shares = createAccountShares();
    for (const [account, count] of Object.entries(counts)) {
      for (let index = 0; index < count; index += 1) {
        shares.recordStart(createCall({ account }), 0);
      }
    }
    return shares;
  }

  test("an account with five times the calls of eleven others is", () => {
    const others = Object.fromEntries(
      Array.from({ length: 11 }, (_, index) => [`a${index}`, 5]),
    );
    const shares = createUsage({ ...others, busy: 25 });
    assert.equal(shares.isAboveShare(createCall({ account: "busy" }), 0), true);
    assert.equal(shares.isAboveShare(createCall({ account: "a1" }), 0), false);
  });

  test("the only account is not", () => {
    const shares = createUsage({ only: 50 });
    assert.equal(
      shares.isAboveShare(createCall({ account: "only" }), 0),
      false,
    );
  });

  test("an account that made two calls by chance is not", () => {
    const shares = createUsage({ a: 1, b: 1, c: 3 });
    assert.equal(shares.isAboveShare(createCall({ account: "c" }), 0), false);
  });

  test("an account is no more once the others have used as much", () => {
    const shares = createUsage({ a: 5, b: 5, c: 5, d: 5, busy: 30 });
    assert.equal(shares.isAboveShare(createCall({ account: "busy" }), 0), true);
    for (let index = 0; index < 100; index += 1) {
      for (const account of ["a", "b", "c", "d"]) {
        shares.recordStart(createCall({ account }), 8_000);
      }
    }
    assert.equal(
      shares.isAboveShare(createCall({ account: "busy" }), 8_000),
      false,
    );
  });
});

// Guards against usual calls of a large account that are refused as if it took the room of the small ones.
describe("an account whose limit is a hundred times that of another", () => {
  const WEIGHTS: Readonly<Record<string, number>> = { large: 100, small: 1 };
  const weightOf = (account: string | undefined) => WEIGHTS[account ?? ""] ?? 1;
  const cases = [
    { name: "both at their limits", large: 1_000, small: 10, isAbove: [] },
    {
      name: "the large one idle but for a few calls",
      large: 20,
      small: 10,
      isAbove: ["small"],
    },
    {
      name: "the large one far above",
      large: 4_000,
      small: 2,
      isAbove: ["large"],
    },
  ];
  for (const { name, large, small, isAbove } of cases) {
    test(`${name}: above its share is ${isAbove.join() || "none"}`, () => {
      const shares = createAccountShares(weightOf);
      for (const [account, count] of Object.entries({ large, small })) {
        for (let index = 0; index < count; index += 1) {
          shares.recordStart(createCall({ account }), 0);
        }
      }
      assert.deepEqual(
        ["large", "small"].filter((account) =>
          shares.isAboveShare(createCall({ account }), 0)
        ),
        isAbove,
      );
    });
  }

  test("starts a hundred of its queued calls for each of the other's", () => {
    const shares = createAccountShares(weightOf);
    const queue = createCallQueue(shares.createOrder);
    for (let index = 0; index < 300; index += 1) {
      for (const account of ["large", "small"]) {
        queue.enqueue(
          createCall({ account, identity: `${account}-${index}` }),
        );
      }
    }
    let small = 0;
    for (let index = 0; index < 202; index += 1) {
      const call = queue.dequeue(0)!;
      shares.recordStart(call, 0);
      small += call.account === "small" ? 1 : 0;
    }
    assert.ok(small >= 2 && small <= 4, `${small} of 202`);
  });
});
