import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { createRandomSource } from "../../../base/common/random_source.ts";
import { computeGrant } from "./account_granting.ts";
import {
  createLedger,
  type GrantingHosts,
  recordReport,
  updateLedger,
} from "./account_ledger.ts";
import { createReportRow } from "./account_report_row.ts";
import { createAccountShare } from "./account_share.ts";

const LIMIT = { requestsPerSecond: 100, burst: 50 };
const HOSTS: GrantingHosts = { known: 10, unreachable: new Set() };

// Guards against a new granter that forgets what was admitted beyond the limit before it.
test("a granter takes over the debt of the one before, once", () => {
  const report = (host: string) => ({
    host,
    demand: 80,
    admitted: 10,
    takeover: { heldRate: 20, isLimited: true, debt: 70, credit: 60 },
  });
  let ledger = createLedger(LIMIT, {
    now: 0,
    isEstablished: true,
    uptime: 20_000,
    reachablePart: 1,
  });
  ledger = recordReport(ledger, report("h1"), 0);
  assert.equal(ledger.bucket.level, -70);
  ledger = updateLedger(ledger, LIMIT, HOSTS, 400);
  ledger = recordReport(ledger, report("h2"), 400);
  assert.equal(ledger.bucket.level, -70 + 40 - 10);
  // Until all have reported, the rates that daemons hold are confirmed; then they share the limit, less the debt.
  const grantAt = (now: number) =>
    computeGrant(
      updateLedger(ledger, LIMIT, HOSTS, now),
      "h1",
      LIMIT,
      HOSTS,
      now,
    ).requestsPerSecond;
  assert.ok(grantAt(400) <= 20);
  assert.ok(grantAt(600) > 20 && grantAt(600) <= 50);
});

// Guards against calls that no granter counts, as the one before was cut off.
test("a new granter is told the calls of reports without a response", () => {
  const share = createAccountShare(LIMIT, {
    now: 0,
    random: createRandomSource(1),
  });
  const account = {
    share,
    granter: undefined,
    reportedTo: undefined,
    reportedAt: -Infinity,
  };
  const report = (host: string, now: number) => {
    for (let call = 0; call < 3; call += 1) {
      share.admit({
        limit: LIMIT,
        hosts: 10,
        isInTouch: true,
        uptime: 20_000,
        now,
      });
    }
    const granter = { host, process: `${host}@1` };
    return createReportRow("press", account, { granter, now })[2];
  };
  assert.deepEqual([report("h1", 0), report("h1", 200), report("h2", 400)], [
    3,
    3,
    9,
  ]);
});

// Guards against a rate of the limit before that holds until the granter's next response.
test("a lowered limit lowers the rate of a daemon at once", () => {
  const share = createAccountShare(LIMIT, {
    now: 0,
    random: createRandomSource(1),
  });
  share.applyGrant({
    requestsPerSecond: 40,
    isLimited: true,
    debt: 0,
    sentAt: 0,
  });
  share.changeLimit(LIMIT, { requestsPerSecond: 25, burst: 10 });
  assert.equal(share.heldRate(100), 10);
});

// Guards against an account that is limited at its usual demand since a new granter counts the calls of a gap as debt.
describe("calls that were admitted while no granter responded", () => {
  const cases: readonly [string, number, number][] = [
    ["are no debt below the limit", 80, 10],
    ["are a debt above the limit", 120, -30],
  ];
  for (const [name, demand, expected] of cases) {
    test(name, () => {
      const established = createLedger(LIMIT, {
        now: 0,
        isEstablished: true,
        uptime: 20_000,
        reachablePart: 1,
      });
      const ledger = recordReport(established, {
        host: "h1",
        demand,
        admitted: 40,
        takeover: { heldRate: 60, isLimited: false, debt: 0, credit: 100 },
      }, 0);
      const { bucket } = updateLedger(ledger, LIMIT, HOSTS, 100);
      assert.equal(bucket.level, expected);
    });
  }
});
