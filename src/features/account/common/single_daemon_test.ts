import assert from "node:assert/strict";
import { test } from "node:test";
import { VirtualClock } from "../../../base/common/clock.ts";
import { createEventBuffer } from "../../../base/common/event_log.ts";
import { createRandomSource } from "../../../base/common/random_source.ts";
import { createMemoryTransport } from "../../link/common/memory_network.ts";
import { createAccountLimits } from "./account_limits.ts";
import {
  isAccountGrant,
  isAccountNotice,
  isAccountReport,
} from "./account_messages.ts";

/** After this time a daemon knows that the account has not used its burst. */
const LEAD_MS = 12_000;

function createSingleDaemon() {
  const clock = new VirtualClock(1_000_000);
  const { log, events } = createEventBuffer(100, () => clock.now());
  const self = { host: "h0", failureDomain: "d0", startedAt: 0 };
  const limits = createAccountLimits({
    self,
    clock,
    log,
    network: createMemoryTransport({ clock, latencyMilliseconds: 1 })
      .createNetwork({
        process: { host: self.host, startedAt: self.startedAt },
        failureDomain: self.failureDomain,
      }),
    random: createRandomSource(1),
    loopDelay: () => 0,
    areHostsListed: () => true,
    listHosts: () => [{ host: self.host, isReachable: true }],
  });
  const limit = { requestsPerSecond: 10, burst: 10 };
  limits.setAccounts(new Map([["press", { name: "press", keys: [], limit }]]));
  clock.advance(LEAD_MS);
  return { limits, clock, events };
}

// Guards against calls that count although no instance has run them.
test("permits that are given back leave room for other calls", () => {
  const { limits, clock } = createSingleDaemon();
  for (let call = 0; call < 200; call += 1) {
    const admission = limits.admit("press");
    assert.ok(admission.type === "admitted");
    admission.permit.giveBack();
    admission.permit.giveBack();
    clock.advance(5);
  }
  // Giving back twice counts once.
  assert.equal(limits.usage[0].asked, 200);
  assert.equal(limits.usage[0].admitted, 0);
  const admitted = Array.from({ length: 60 }, () => limits.admit("press"))
    .filter(({ type }) => type === "admitted");
  assert.ok(admitted.length >= 10 && admitted.length <= 17);
});

// Guards against callers that all come back at the same instant and are refused again.
test("refusals promise different instants", () => {
  const { limits } = createSingleDaemon();
  const instants = Array.from({ length: 60 }, () => limits.admit("press"))
    .flatMap((admission) =>
      admission.type === "refused" ? [Math.round(admission.retryAfter)] : []
    );
  assert.ok(instants.length > 40);
  assert.ok(new Set(instants).size > instants.length / 2);
  // With 10 calls/s there is room for the tenth caller after a second.
  assert.ok(Math.max(...instants) >= 1_000 && Math.max(...instants) <= 3_000);
});

// Guards against a fault of the receiver through a message of another release.
test("unreadable messages are rejected", () => {
  const cases: readonly (readonly [unknown, unknown, boolean])[] = [
    [1, [["press", 1, 2]], true],
    [1, [["press", 1, 2, 0.5, 1, 40]], true],
    [1, [["press", 1, 2, 0.5, 1, -40]], false],
    [1, [["press", 1, 2, 0.5, 1]], false],
    [1, [["press", -1, 2]], false],
    [1, [["press", 1]], false],
    [1, [["press", 1, "2"]], false],
    [1, [[7, 1, 2]], false],
    ["1", [], false],
    [1, undefined, false],
  ];
  for (const [sequence, rows, expected] of cases) {
    const message = { kind: "account-report", sequence, rows };
    assert.equal(isAccountReport(message), expected, JSON.stringify(message));
  }
  const grant = { kind: "account-grant", sequence: 1, rows: [["press", 1, 9]] };
  assert.equal(isAccountGrant(grant), false);
  const notice = { kind: "account-notice", rows: [["press", 2]] };
  assert.equal(isAccountNotice(notice), false);
});

// Guards against one log line for each call.
test("a change of an account is logged once", () => {
  const { limits, clock, events } = createSingleDaemon();
  for (let elapsed = 0; elapsed < 20_000; elapsed += 10) {
    if (elapsed < 8_000) {
      limits.admit("press");
    }
    clock.advance(10);
  }
  assert.deepEqual(events.map(({ event }) => event), [
    "account.limited",
    "account.unlimited",
  ]);
});
