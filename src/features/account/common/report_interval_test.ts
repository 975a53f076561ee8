import assert from "node:assert/strict";
import { describe, test } from "node:test";
import {
  chooseReportInterval,
  computeCalmInterval,
  type ReportSituation,
} from "./report_interval.ts";

const LIMIT = { requestsPerSecond: 380, burst: 190 };
const SMALL_LIMIT = { requestsPerSecond: 2, burst: 1 };
const CALM: ReportSituation = {
  limit: LIMIT,
  isAdmitted: true,
  isLimited: false,
  heldRate: 60,
  reportedDemand: 6,
  usedPart: 0.1,
  unreported: 1,
};

// Guards against a message for each call of an account that can't exceed its limit soon, and against late ones of others.
describe("calls are reported", () => {
  const cases: readonly [string, Partial<ReportSituation>, number][] = [
    ["after 0.5 s far below the limit", {}, 500],
    ["after 0.5 s of a small account", {
      limit: SMALL_LIMIT,
      usedPart: 0.5,
    }, 500],
    ["after 0.2 s near the limit", { usedPart: 0.62 }, 200],
    ["after 0.2 s of a large account of which nothing is known", {
      usedPart: 1,
    }, 200],
    ["after 0.2 s while the account is limited", { isLimited: true }, 200],
    ["early if there are more than expected", { unreported: 5 }, 50],
    ["not early if that many are expected", { unreported: 4 }, 500],
    ["early near the limit if there are more than granted", {
      usedPart: 0.62,
      heldRate: 4.5,
      reportedDemand: 2.8,
      unreported: 3,
    }, 50],
    ["after 0.2 s if refused at a rate", { isAdmitted: false }, 200],
    ["early if refused without a rate", { isAdmitted: false, heldRate: 0 }, 50],
  ];
  for (const [name, change, expected] of cases) {
    test(
      name,
      () =>
        assert.equal(chooseReportInterval({ ...CALM, ...change }), expected),
    );
  }
});

// Guards against an account that jumps to 8 times its demand while its calls wait to be reported.
test("a jump to 8 times the demand stays within the burst and the excess until it is reported", () => {
  for (const requestsPerSecond of [2, 10, 60, 380, 2_000]) {
    const limit = { requestsPerSecond, burst: requestsPerSecond / 2 };
    const allowed = limit.burst +
      (5 * requestsPerSecond + limit.burst) * 0.1 + 20;
    for (let usedPart = 0.05; usedPart <= 0.62; usedPart += 0.01) {
      const interval = computeCalmInterval(limit, usedPart);
      const beyond = requestsPerSecond * (8 * usedPart - 1) * interval / 1_000;
      assert.ok(
        interval === 200 || beyond <= allowed / 2,
        `${requestsPerSecond}/s at ${usedPart}: ${beyond} of ${allowed}`,
      );
    }
  }
});
