import assert from "node:assert/strict";
import { test } from "node:test";
import {
  classifyResponse,
  combineOutcomes,
  outcomeOfFailure,
  resultOfFailure,
} from "./attempt_outcome.ts";
import { MAXIMUM_BODY_BYTES, planBody } from "./body_plan.ts";
import {
  computeDeadline,
  computeRemaining,
  limitConnectTime,
} from "./deadline.ts";
import { createRetryBudget } from "./retry_budget.ts";
import {
  decideRetry,
  forbidsCallerRetries,
  MAXIMUM_ATTEMPTS,
  type RetrySituation,
} from "./retry_decision.ts";
import { cacheKeyOf, createStaleCache, isCacheable } from "./stale_cache.ts";

const SITUATION: RetrySituation = {
  callClass: "idempotent",
  attempts: 1,
  outcome: "unknown",
  retryNever: false,
  isBodyAvailable: true,
  isCallerGone: false,
  remaining: 500,
};

test("a retry needs an allowed call class, a body, time and an upstream that does not forbid it", () => {
  const cases: [Partial<RetrySituation>, string][] = [
    [{}, "permitted"],
    [{ callClass: "read" }, "permitted"],
    [{ callClass: "non-idempotent" }, "may-have-run"],
    [{ callClass: "non-idempotent", outcome: "not-run" }, "permitted"],
    [
      { callClass: "non-idempotent", outcome: "not-run", retryNever: true },
      "retry-never",
    ],
    [{ retryNever: true }, "retry-never"],
    [{ isBodyAvailable: false }, "body-consumed"],
    [{ isCallerGone: true }, "caller-gone"],
    [{ attempts: MAXIMUM_ATTEMPTS }, "attempt-limit"],
    [{ remaining: 4 }, "deadline"],
  ];
  for (const [change, expected] of cases) {
    const decision = decideRetry({ ...SITUATION, ...change });
    assert.equal(decision, expected, JSON.stringify(change));
  }
  assert.deepEqual(
    [[1, false, false], [2, false, false], [1, true, false], [1, false, true]]
      .map(([attempts, never, refused]) =>
        forbidsCallerRetries(attempts as number, !!never, !!refused)
      ),
    [false, true, true, true],
  );
});

test("the outcome of a failure is not-run only before the first byte", () => {
  const cases = [
    {
      phase: "connect",
      cause: "refused",
      outcome: "not-run",
      result: "not-connected",
    },
    {
      phase: "connect",
      cause: "timeout",
      outcome: "not-run",
      result: "not-connected",
    },
    {
      phase: "connect",
      cause: "connection-limit",
      outcome: "not-run",
      result: "shed",
    },
    {
      phase: "connect",
      cause: "caller-gone",
      outcome: "not-run",
      result: "cancelled",
    },
    { phase: "send", cause: "reset", outcome: "unknown", result: "failure" },
    {
      phase: "first-byte",
      cause: "timeout",
      outcome: "unknown",
      result: "failure",
    },
    {
      phase: "response",
      cause: "reset",
      outcome: "unknown",
      result: "failure",
    },
    {
      phase: "response",
      cause: "caller-gone",
      outcome: "unknown",
      result: "cancelled",
    },
  ] as const;
  for (const { phase, cause, outcome, result } of cases) {
    assert.equal(
      outcomeOfFailure({ phase, cause }),
      outcome,
      `${phase} ${cause}`,
    );
    assert.equal(
      resultOfFailure({ phase, cause }),
      result,
      `${phase} ${cause}`,
    );
  }
  assert.equal(combineOutcomes("unknown", "not-run"), "unknown");
  assert.equal(combineOutcomes("not-run", "not-run"), "not-run");
});

test("a response counts as not-run only with an error status, so a success is never retried", () => {
  const cases = [
    {
      status: 200,
      outcomeHeader: undefined,
      result: "success",
      outcome: "answered",
    },
    {
      status: 200,
      outcomeHeader: "not-run",
      result: "success",
      outcome: "answered",
    },
    {
      status: 404,
      outcomeHeader: undefined,
      result: "success",
      outcome: "answered",
    },
    {
      status: 503,
      outcomeHeader: "not-run",
      result: "shed",
      outcome: "not-run",
    },
    {
      status: 503,
      outcomeHeader: undefined,
      result: "failure",
      outcome: "answered",
    },
    {
      status: 504,
      outcomeHeader: "unknown",
      result: "failure",
      outcome: "unknown",
    },
    {
      status: 429,
      outcomeHeader: "not-run",
      result: "success",
      outcome: "not-run",
    },
  ];
  for (const { status, outcomeHeader, result, outcome } of cases) {
    const classification = classifyResponse({
      status,
      headers: { "guavarun-outcome": outcomeHeader },
    });
    assert.deepEqual(
      [classification.result, classification.outcome],
      [result, outcome],
      `${status} ${outcomeHeader}`,
    );
  }
});

test("the body plan depends on the size, and the deadline is the earlier limit", () => {
  const plans = [
    [undefined, undefined, "none"],
    ["0", undefined, "none"],
    ["65536", undefined, "replay"],
    ["65537", undefined, "stream"],
    [String(MAXIMUM_BODY_BYTES + 1), undefined, "refuse"],
    [undefined, "chunked", "stream"],
  ] as const;
  for (const [contentLength, transferEncoding, plan] of plans) {
    assert.equal(planBody({ contentLength, transferEncoding }), plan);
  }
  const deadlines = [
    [undefined, 1_200],
    ["50", 1_050],
    ["900", 1_200],
    ["-5", 1_200],
    ["1e1", 1_200],
  ] as const;
  for (const [header, expected] of deadlines) {
    assert.equal(computeDeadline(1_000, 200, header), expected, header);
  }
  assert.equal(computeRemaining(10, 5), 0);
  assert.deepEqual([1_000, 40].map(limitConnectTime), [250, 40]);
});

test("retries never exceed their share of the first attempts of the window", () => {
  const budget = createRetryBudget();
  const taken: number[] = [];
  const firstAttempts: number[] = [];
  for (let second = 0; second < 30; second += 1) {
    const calls = second < 15 ? 100 : 10;
    let retries = 0;
    for (let call = 0; call < calls; call += 1) {
      const now = second * 1_000 + call;
      budget.recordFirstAttempt(now);
      // Every call fails from second 10 on.
      retries += second >= 10 && budget.takeRetry(now, 0.1) ? 1 : 0;
    }
    taken.push(retries);
    firstAttempts.push(calls);
  }
  const total = taken.reduce((sum, count) => sum + count, 0);
  assert.ok(total <= 0.1 * (15 * 100 + 15 * 10), `${taken}`);
  assert.ok(total >= 100, `${taken}`);
  for (let second = 0; second < 30; second += 1) {
    const from = Math.max(0, second - 9);
    const sum = (list: number[]) =>
      list.slice(from, second + 1).reduce((all, one) => all + one, 0);
    assert.ok(
      taken[second] === 0 || sum(taken) <= 0.1 * sum(firstAttempts),
      `second ${second}: ${taken}`,
    );
  }
});

test("the cache of stale responses is limited in size and evicts the least recently used", () => {
  const cache = createStaleCache(3_000);
  const response = { headers: [], body: new Uint8Array(700), receivedAt: 0 };
  for (const key of ["a", "b", "c"]) {
    cache.store(key, response);
    cache.find("a", 0, 10);
  }
  cache.store("d", response);
  const kept = ["a", "b", "c", "d"].filter((key) => cache.find(key, 0, 10));
  assert.deepEqual(kept, ["a", "c", "d"]);
  assert.ok(cache.bytes <= 3_000);
  cache.store("large", { ...response, body: new Uint8Array(4_000) });
  assert.equal(cache.find("large", 0, 10), undefined);
});

test("responses that are personal or must not be stored are not cached", () => {
  const route = {
    name: "units",
    service: "booking",
    method: "GET",
    pathPrefix: "/",
    callClass: "read",
    stalenessMilliseconds: 100,
    deadlineMilliseconds: 100,
  } as const;
  const call = { customer: "a", method: "GET", path: "/x", headers: {} };
  const keys = [
    cacheKeyOf(call, route),
    cacheKeyOf({ ...call, headers: { cookie: "s=1" } }, route),
    cacheKeyOf({ ...call, method: "POST" }, route),
    cacheKeyOf(call, { ...route, stalenessMilliseconds: 0 }),
    cacheKeyOf(call, { ...route, callClass: "idempotent" }),
  ];
  assert.deepEqual(keys.map((key) => key !== undefined), [
    true,
    false,
    false,
    false,
    false,
  ]);
  const responses = [
    [200, {}, true],
    [200, { "cache-control": "private, max-age=3" }, false],
    [200, { "set-cookie": ["a=1"] }, false],
    [200, { vary: "Accept" }, true],
    [200, { vary: "X-Team" }, false],
    [404, {}, false],
  ] as const;
  for (const [status, headers, expected] of responses) {
    assert.equal(
      isCacheable(status, { ...headers } as never),
      expected,
      JSON.stringify(headers),
    );
  }
});
