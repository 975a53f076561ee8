import assert from "node:assert/strict";
import { test } from "node:test";
import { createRandomSource } from "../../../base/common/random_source.ts";
import { createAdmissionFleet } from "../../admission/common/admission_fleet.ts";
import { createAccountFleet, listHostNames } from "./account_fleet.ts";

const LIMIT = 300;
/** Below the limit: limits are 1.6 times the usual demand. */
const DEMAND = LIMIT / 1.6;
const STEP_MS = 10;
const MEASURED_MS = 10_000;
/** Hosts of large domains use their share 25 s after their start at the latest. */
const LEAD_MS = 40_000;

/** The part of the calls that quotas of domains, pledges and leases refuse when all calls come to one host. */
async function measureQuotas(): Promise<number> {
  const domains = ["a", "b", "c"];
  const fleet = createAdmissionFleet({
    contract: {
      customer: "press",
      routes: ["lookup"],
      limits: {
        requestsPerSecond: LIMIT,
        concurrency: 10_000,
        retryShare: 0.1,
      },
    },
    domains,
    longestCall: 200,
    random: createRandomSource(1),
  });
  for (const domain of domains) {
    listHostNames(28).forEach((host) => fleet.start(`${domain}-${host}`));
  }
  let asked = 0;
  let due = 0;
  let admittedBefore = 0;
  for (let elapsed = 0; elapsed < LEAD_MS + MEASURED_MS; elapsed += STEP_MS) {
    if (elapsed === LEAD_MS) {
      asked = 0;
      admittedBefore = fleet.admitted;
    }
    due += DEMAND * STEP_MS / 1_000;
    const calls = Math.floor(due);
    due -= calls;
    asked += calls;
    fleet.offer("a-h0", calls);
    await fleet.step(STEP_MS);
  }
  return 1 - (fleet.admitted - admittedBefore) / asked;
}

function measureGranters(): number {
  const account = {
    name: "press",
    limit: { requestsPerSecond: LIMIT, burst: LIMIT / 2 },
    demand: DEMAND,
    hosts: ["h0"],
  };
  const fleet = createAccountFleet({
    hosts: listHostNames(84),
    accounts: [account],
    seed: 1,
  });
  fleet.clock.advance(LEAD_MS);
  fleet.run(MEASURED_MS);
  return fleet.measure(account.name, account.limit).refusedBelowLimit;
}

// Guards against limits that are divided among domains or hosts before it is known where the clients are.
test("an account whose clients are on one of 84 hosts is not refused below its limit", async () => {
  const quotas = await measureQuotas();
  const granters = measureGranters();
  console.log(
    `refused below the limit: quotas of domains ${quotas.toFixed(4)}, ` +
      `granters ${granters.toFixed(4)}`,
  );
  assert.equal(granters, 0);
  assert.ok(quotas > 0.3);
});
