import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { chooseInitialCalls, isHostListComplete } from "./fallback_share.ts";

// Guards against several granters of an account, each of which takes a part of the hosts for all of them.
describe("a list of hosts is", () => {
  const cases: readonly [
    string,
    number,
    { uptime: number; unchangedFor: number; links: number; isListed?: false },
    boolean,
  ][] = [
    ["incomplete before it is read", 1, {
      uptime: 900,
      unchangedFor: 900,
      links: 0,
    }, false],
    ["complete after 0.3 s with links", 85, {
      uptime: 1_300,
      unchangedFor: 300,
      links: 60,
    }, true],
    ["incomplete after 0.3 s with few links", 85, {
      uptime: 1_300,
      unchangedFor: 300,
      links: 40,
    }, false],
    ["complete after 1 s with few links", 85, {
      uptime: 2_000,
      unchangedFor: 1_000,
      links: 0,
    }, true],
    ["incomplete after 0.3 s if it is short", 3, {
      uptime: 1_300,
      unchangedFor: 300,
      links: 2,
    }, false],
    ["incomplete after 0.3 s if it was learnt from links", 40, {
      uptime: 1_300,
      unchangedFor: 300,
      links: 39,
      isListed: false,
    }, false],
    ["complete after 1 s if it was learnt from links", 40, {
      uptime: 2_000,
      unchangedFor: 1_000,
      links: 39,
      isListed: false,
    }, true],
    ["incomplete while it changes", 85, {
      uptime: 2_000,
      unchangedFor: 200,
      links: 84,
    }, false],
    ["complete after 5 s in any case", 1, {
      uptime: 5_000,
      unchangedFor: 5_000,
      links: 0,
    }, true],
  ];
  for (const [name, hosts, { links, ...times }, expected] of cases) {
    test(name, () =>
      assert.equal(
        isHostListComplete(hosts, {
          isListed: true,
          ...times,
          countLinks: () => links,
        }),
        expected,
      ));
  }
});

/** Returns the mean over all fractions and chances. */
function averageInitialCalls(
  requestsPerSecond: number,
  isStarting: boolean,
): number {
  const limit = { requestsPerSecond, burst: requestsPerSecond / 2 };
  let sum = 0;
  for (let chance = 0.005; chance < 1; chance += 0.01) {
    sum += chooseInitialCalls(limit, {
      hosts: 100,
      isStarting,
      fraction: 0.5,
      chance,
    }) - 0.5;
  }
  return sum / 100;
}

// Guards against first calls that exceed the limit on all hosts together at 8 times the usual demand.
describe("first calls", () => {
  for (const requestsPerSecond of [2, 5, 10, 20, 60, 100, 380]) {
    test(`of an account of ${requestsPerSecond}/s stay within the burst and the excess`, () => {
      const calls = averageInitialCalls(requestsPerSecond, true);
      const calling = 100 * (1 - Math.exp(-requestsPerSecond * 5 * 2 / 100));
      const allowed = requestsPerSecond / 2 + requestsPerSecond * 0.55 + 20;
      assert.ok(calls * calling <= allowed, `${calls} on ${calling} hosts`);
    });
  }

  test("of a small account are more on a host that starts than on one that loses its granter", () =>
    assert.ok(averageInitialCalls(2, true) > averageInitialCalls(2, false)));

  test("of a host that loses its granter are one at most", () =>
    assert.ok(averageInitialCalls(380, false) <= 1));
});
