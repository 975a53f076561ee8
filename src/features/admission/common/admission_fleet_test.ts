import assert from "node:assert/strict";
import { test } from "node:test";
import { createRandomSource } from "../../../base/common/random_source.ts";
import type { Contract } from "../../../world/common/contract.ts";
import {
  type AdmissionFleet,
  createAdmissionFleet,
} from "./admission_fleet.ts";

/** One contract that reaches its concurrency limit first, and one that reaches its rate first. */
const CONTRACTS: Contract[] = [60, 1_000].map((concurrency) => ({
  customer: "hollister",
  routes: ["availability"],
  limits: { requestsPerSecond: 400, concurrency, retryShare: 0.1 },
}));
const DOMAINS = ["tacoma", "salem"];
const STEP_MS = 10;
const RUN_MS = 30_000;
const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12];

type Fault = (fleet: AdmissionFleet, host: string) => void;

/** The faults of each scenario, with their probability in every 100 ms. */
const SCENARIOS: Record<string, { fault: Fault; probability: number }[]> = {
  "isolated daemons": [{
    probability: 0.02,
    fault: (fleet, host) => {
      fleet.isolate(host);
      fleet.clock.schedule(9_000, () => fleet.rejoin(host));
    },
  }],
  "paused daemons": [
    { probability: 0.04, fault: (fleet, host) => fleet.pause(host, 1_700) },
    { probability: 0.01, fault: (fleet, host) => fleet.pause(host, 5_000) },
  ],
  "restarts and replacements that make membership views differ": [
    { probability: 0.02, fault: (fleet, host) => restart(fleet, host) },
    { probability: 0.02, fault: (fleet, host) => replace(fleet, host) },
  ],
  "all faults": [
    { probability: 0.01, fault: (fleet, host) => restart(fleet, host) },
    { probability: 0.01, fault: (fleet, host) => replace(fleet, host) },
    { probability: 0.02, fault: (fleet, host) => fleet.pause(host, 2_500) },
    {
      probability: 0.01,
      fault: (fleet, host) => {
        fleet.isolate(host);
        fleet.clock.schedule(12_000, () => fleet.rejoin(host));
      },
    },
  ],
};

function restart(fleet: AdmissionFleet, host: string): void {
  fleet.kill(host);
  fleet.clock.schedule(2_000, () => fleet.start(host));
}

let replacements = 0;
function replace(fleet: AdmissionFleet, host: string): void {
  fleet.kill(host);
  replacements += 1;
  const successor = `${host.split("-")[0]}-new${replacements}`;
  fleet.clock.schedule(1_500, () => fleet.start(successor));
}

interface Run {
  readonly admitted: number;
  readonly maximumInFlight: number;
}

async function runScenario(
  contract: Contract,
  faults: (typeof SCENARIOS)[string],
  seed: number,
): Promise<Run> {
  const random = createRandomSource(seed);
  const fleet = createAdmissionFleet({
    contract,
    domains: DOMAINS,
    longestCall: 1_000,
    random,
  });
  for (const domain of DOMAINS) {
    [1, 2, 3, 4].forEach((index) => fleet.start(`${domain}-${index}`));
  }
  let maximumInFlight = 0;
  const totals: number[] = [];
  for (let step = 0; step < RUN_MS / STEP_MS; step += 1) {
    if (step % 10 === 0 && step > 600) {
      for (const { fault, probability } of faults) {
        if (random.nextFraction() < probability) {
          fault(fleet, fleet.hosts[random.nextInteger(fleet.hosts.length)]);
        }
      }
    }
    for (const host of fleet.hosts) {
      fleet.offer(host, random.nextInteger(host.endsWith("1") ? 8 : 3));
    }
    await fleet.step(STEP_MS);
    maximumInFlight = Math.max(maximumInFlight, fleet.inFlight);
    totals.push(fleet.admitted);
    checkLimits(fleet, contract, totals);
  }
  return { admitted: fleet.admitted, maximumInFlight };
}

/** Checks the calls in flight, and the rate over the whole run and over the last 5 s. */
function checkLimits(
  fleet: AdmissionFleet,
  contract: Contract,
  totals: readonly number[],
): void {
  const { requestsPerSecond, concurrency } = contract.limits;
  const seconds = totals.length * STEP_MS / 1_000;
  assert.ok(
    fleet.inFlight <= concurrency,
    `${fleet.inFlight} calls in flight at ${seconds} s`,
  );
  assert.ok(
    fleet.admitted <= requestsPerSecond * seconds,
    `${fleet.admitted} calls in ${seconds} s`,
  );
  const window = 5_000 / STEP_MS;
  const recent = fleet.admitted - (totals[totals.length - 1 - window] ?? 0);
  // Token buckets hold one second of their rates, and at least one call each.
  assert.ok(
    recent <= requestsPerSecond * 6 + fleet.hosts.length,
    `${recent} calls in 5 s at ${seconds} s`,
  );
}

for (const [name, faults] of Object.entries(SCENARIOS)) {
  test(`the daemons together never admit more than the contract: ${name}`, async () => {
    for (const seed of SEEDS) {
      for (const contract of CONTRACTS) {
        try {
          await runScenario(contract, faults, seed);
        } catch (error) {
          throw new Error(`seed ${seed}: ${(error as Error).message}`);
        }
      }
    }
  });
}

test("without faults leases follow the demand, so that the limits are nearly used up", async () => {
  const [byConcurrency, byRate] = await Promise.all(
    CONTRACTS.map((contract) => runScenario(contract, [], 1)),
  );
  // The shares are established after 4 s; nearly all calls of the other 26 s are admitted.
  assert.ok(byRate.admitted > 0.9 * 26 * 400, JSON.stringify(byRate));
  assert.ok(byConcurrency.maximumInFlight > 54, JSON.stringify(byConcurrency));
});
