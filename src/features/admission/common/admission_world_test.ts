import assert from "node:assert/strict";
import { test } from "node:test";
import { createRandomSource } from "../../../base/common/random_source.ts";
import type { Contract } from "../../../world/common/contract.ts";
import {
  type AdmissionWorld,
  createAdmissionWorld,
} from "./admission_world.ts";

/** One contract that reaches its concurrency first, and one that reaches its rate. */
const CONTRACTS: Contract[] = [60, 1_000].map((concurrency) => ({
  customer: "hollister",
  routes: ["availability"],
  limits: { requestsPerSecond: 400, concurrency, retryShare: 0.1 },
}));
const DOMAINS = ["tacoma", "salem"];
const STEP_MS = 10;
const RUN_MS = 30_000;
const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12];

type Fault = (world: AdmissionWorld, host: string) => void;

/** The faults of a scenario, each with its chance in every 100 ms. */
const SCENARIOS: Record<string, { fault: Fault; chance: number }[]> = {
  "a cut-off daemon": [{
    chance: 0.02,
    fault: (world, host) => {
      world.isolate(host);
      world.clock.schedule(9_000, () => world.rejoin(host));
    },
  }],
  "paused daemons": [
    { chance: 0.04, fault: (world, host) => world.pause(host, 1_700) },
    { chance: 0.01, fault: (world, host) => world.pause(host, 5_000) },
  ],
  "differing views": [
    { chance: 0.02, fault: (world, host) => restart(world, host) },
    { chance: 0.02, fault: (world, host) => replace(world, host) },
  ],
  "everything": [
    { chance: 0.01, fault: (world, host) => restart(world, host) },
    { chance: 0.01, fault: (world, host) => replace(world, host) },
    { chance: 0.02, fault: (world, host) => world.pause(host, 2_500) },
    {
      chance: 0.01,
      fault: (world, host) => {
        world.isolate(host);
        world.clock.schedule(12_000, () => world.rejoin(host));
      },
    },
  ],
};

function restart(world: AdmissionWorld, host: string): void {
  world.kill(host);
  world.clock.schedule(2_000, () => world.start(host));
}

let replacements = 0;
function replace(world: AdmissionWorld, host: string): void {
  world.kill(host);
  replacements += 1;
  const successor = `${host.split("-")[0]}-new${replacements}`;
  world.clock.schedule(1_500, () => world.start(successor));
}

interface Run {
  readonly admitted: number;
  readonly mostInFlight: number;
}

async function runScenario(
  contract: Contract,
  faults: (typeof SCENARIOS)[string],
  seed: number,
): Promise<Run> {
  const random = createRandomSource(seed);
  const world = createAdmissionWorld({
    contract,
    domains: DOMAINS,
    longestCall: 1_000,
    random,
  });
  for (const domain of DOMAINS) {
    [1, 2, 3, 4].forEach((index) => world.start(`${domain}-${index}`));
  }
  let mostInFlight = 0;
  const totals: number[] = [];
  for (let step = 0; step < RUN_MS / STEP_MS; step += 1) {
    if (step % 10 === 0 && step > 600) {
      for (const { fault, chance } of faults) {
        if (random.nextFraction() < chance) {
          fault(world, world.hosts[random.nextInteger(world.hosts.length)]);
        }
      }
    }
    for (const host of world.hosts) {
      world.offer(host, random.nextInteger(host.endsWith("1") ? 8 : 3));
    }
    await world.step(STEP_MS);
    mostInFlight = Math.max(mostInFlight, world.inFlight);
    totals.push(world.admitted);
    checkLimits(world, contract, totals);
  }
  return { admitted: world.admitted, mostInFlight };
}

/** The rate over the whole run and over the last 5 s, and the calls in flight. */
function checkLimits(
  world: AdmissionWorld,
  contract: Contract,
  totals: readonly number[],
): void {
  const { requestsPerSecond, concurrency } = contract.limits;
  const seconds = totals.length * STEP_MS / 1_000;
  assert.ok(
    world.inFlight <= concurrency,
    `${world.inFlight} calls in flight at ${seconds} s`,
  );
  assert.ok(
    world.admitted <= requestsPerSecond * seconds,
    `${world.admitted} calls in ${seconds} s`,
  );
  const window = 5_000 / STEP_MS;
  const recent = world.admitted - (totals[totals.length - 1 - window] ?? 0);
  // Buckets hold one second of their rates, and at least one call each.
  assert.ok(
    recent <= requestsPerSecond * 6 + world.hosts.length,
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

test("without faults leases follow the demand, so the contract is used", async () => {
  const [byConcurrency, byRate] = await Promise.all(
    CONTRACTS.map((contract) => runScenario(contract, [], 1)),
  );
  // The parts are established after 4 s; nearly all of the rest is admitted.
  assert.ok(byRate.admitted > 0.9 * 26 * 400, JSON.stringify(byRate));
  assert.ok(byConcurrency.mostInFlight > 54, JSON.stringify(byConcurrency));
});
