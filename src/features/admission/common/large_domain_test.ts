import assert from "node:assert/strict";
import { test } from "node:test";
import { createRandomSource } from "../../../base/common/random_source.ts";
import type { Contract } from "../../../world/common/contract.ts";
import {
  type AdmissionFleet,
  createAdmissionFleet,
} from "./admission_fleet.ts";
import type { HostIdentity } from "../../../world/common/host.ts";
import type { Member } from "../../membership/common/directory.ts";
import { measureAdmission } from "./admission_measure.ts";
import { createCustomerAccount } from "./customer_account.ts";
import { grantLease, recordIdlePledge } from "./lease_ledger.ts";
import type { CustomerLeaseRequest } from "./lease_messages.ts";
import { findEstablishedLimits } from "./quota.ts";

const CONTRACTS: Contract[] = [60, 1_000].map((concurrency) => ({
  customer: "hollister",
  routes: ["availability"],
  limits: { requestsPerSecond: 400, concurrency, retryShare: 0.1 },
}));
const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];
const STEP_MS = 10;
const RUN_MS = 60_000;
const WINDOW_MS = 2_000;
const CALLERS_CHANGE_MS = 5_000;

interface Fault {
  readonly probability: number;
  run(fleet: AdmissionFleet, host: string): void;
}

const FAULTS: Record<string, Fault[]> = {
  "none": [],
  "restarts, replacements, pauses and isolated hosts": [
    {
      probability: 0.01,
      run(fleet, host) {
        fleet.kill(host);
        fleet.clock.schedule(2_000, () => fleet.start(host));
      },
    },
    {
      probability: 0.005,
      run(fleet, host) {
        fleet.kill(host);
        const at = fleet.clock.now();
        const successor = `${host.split("-")[0]}-at${at}`;
        fleet.clock.schedule(1_500, () => fleet.start(successor));
      },
    },
    { probability: 0.02, run: (fleet, host) => fleet.pause(host, 2_500) },
    {
      probability: 0.01,
      run(fleet, host) {
        fleet.isolate(host);
        fleet.clock.schedule(12_000, () => fleet.rejoin(host));
      },
    },
  ],
};

/** Runs a large domain. Its callers move between hosts, so that accounts become idle and active. */
async function runLargeDomain(
  contract: Contract,
  faults: Fault[],
  seed: number,
): Promise<number> {
  const random = createRandomSource(seed);
  const fleet = createAdmissionFleet({
    contract,
    domains: ["tacoma"],
    longestCall: 1_000,
    random,
    otherCustomers: 20,
  });
  [1, 2, 3, 4, 5, 6].forEach((index) => fleet.start(`tacoma-${index}`));
  let callers: string[] = [];
  const totals: number[] = [];
  for (let elapsed = 0; elapsed < RUN_MS; elapsed += STEP_MS) {
    if (elapsed % CALLERS_CHANGE_MS === 0) {
      callers = fleet.hosts.filter(() => random.nextFraction() < 0.4);
    }
    for (const { probability, run } of elapsed % 100 === 0 ? faults : []) {
      if (elapsed > 6_000 && random.nextFraction() < probability) {
        run(fleet, fleet.hosts[random.nextInteger(fleet.hosts.length)]);
      }
    }
    callers.forEach((host) => fleet.offer(host, random.nextInteger(8)));
    await fleet.step(STEP_MS);
    const { requestsPerSecond, concurrency } = contract.limits;
    const seconds = (elapsed + STEP_MS) / 1_000;
    assert.ok(
      fleet.inFlight <= concurrency,
      `${fleet.inFlight} calls in flight at ${seconds} s, seed ${seed}`,
    );
    assert.ok(
      fleet.admitted <= requestsPerSecond * seconds,
      `${fleet.admitted} calls in ${seconds} s, seed ${seed}`,
    );
    // Token buckets hold one second of their rates, and at least one call each.
    const recent = fleet.admitted - (totals.at(-WINDOW_MS / STEP_MS) ?? 0);
    assert.ok(
      recent <= requestsPerSecond * (1 + WINDOW_MS / 1_000) + 12,
      `${recent} calls in 2 s at ${seconds} s, seed ${seed}`,
    );
    totals.push(fleet.admitted);
  }
  return fleet.admitted;
}

for (const [name, faults] of Object.entries(FAULTS)) {
  test(`long pledges and leases never admit more than the contract: ${name}`, async () => {
    for (const contract of CONTRACTS) {
      let admitted = 0;
      for (const seed of SEEDS) {
        admitted += await runLargeDomain(contract, faults, seed);
      }
      // A fleet that admits almost nothing would pass the checks of the limits.
      const least = (faults.length === 0 ? 6_000 : 1_800) * SEEDS.length;
      assert.ok(admitted > least, `${admitted} calls`);
    }
  });
}

test("a lease ends before the lock of any pledge that may cover it, and an idle pledge keeps reservations", () => {
  const createRequest = (
    overrides: Partial<CustomerLeaseRequest>,
  ): CustomerLeaseRequest => ({
    customer: "hollister",
    pledged: { rate: 6, concurrency: 6 },
    pledgedUntil: 1_000,
    demand: { rate: 30, concurrency: 30 },
    holding: { rate: 0, concurrency: 0 },
    inUse: 0,
    longestCall: 500,
    ...overrides,
  });
  const long = { leaseMilliseconds: 3_000 };
  const first = grantLease(new Map(), createRequest(long), {
    host: "a",
    now: 0,
  });
  assert.equal(first.leaseMilliseconds, 3_000);
  const second = grantLease(first.ledger, createRequest({}), {
    host: "b",
    now: 0,
  });
  assert.equal(second.leaseMilliseconds, 1_000);
  const third = grantLease(second.ledger, createRequest(long), {
    host: "a",
    now: 10,
  });
  assert.equal(third.leaseMilliseconds, 1_000);
  const ledger = recordIdlePledge(
    first.ledger,
    ["hollister", 6, 6, 20_000],
    { host: "a", now: 100 },
  );
  const fourth = grantLease(ledger, createRequest({}), { host: "b", now: 200 });
  assert.deepEqual(fourth.granted, { rate: 6, concurrency: 6 });
  // The long lease of `a` is valid until 3,000 ms although its next lease is short.
  const short = grantLease(
    first.ledger,
    createRequest({ holding: { rate: 6, concurrency: 6 } }),
    { host: "a", now: 100 },
  );
  const late = grantLease(
    short.ledger,
    createRequest({ pledgedUntil: 9_000 }),
    {
      host: "b",
      now: 2_900,
    },
  );
  assert.equal(late.granted.rate, 0);
});

test("a share under a long pledge goes to no other coordinator and no new host before the pledge ends", () => {
  const account = createCustomerAccount({
    customer: "hollister",
    now: 0,
    longestCall: () => 500,
    isLarge: () => true,
  });
  const part = { rate: 8, concurrency: 8 };
  account.setEntitlement(
    { own: { rate: 0, concurrency: 0 }, pledged: part },
    0,
  );
  const confirm = (host: string, at: number) =>
    account.confirmPledge({
      coordinator: { host, epoch: 1 },
      time: 70_000 + at,
      receivedAt: at,
      nextAt: at,
    });
  confirm("a", 0);
  const pledge = account.preparePledge({ host: "a", epoch: 1 }, 10);
  assert.deepEqual(pledge, ["hollister", 8, 8, 92_000]);
  confirm("b", 1_000);
  // 22 s of pledge and 3 s of lease after the response of `a`, and for concurrency one call.
  const cases = [[24_900, 0, 0], [25_100, 8, 0], [25_600, 8, 8]] as const;
  for (const [at, rate, concurrency] of cases) {
    const next = account.preparePledge({ host: "b", epoch: 1 }, at);
    assert.deepEqual(next.slice(1, 3), [rate, concurrency], `${at}`);
  }
  const member = (host: string, startedAt: number) =>
    ({ process: { host, startedAt }, state: "alive" }) as unknown as Member;
  const self = { process: { host: "a", startedAt: 100_000 } } as HostIdentity;
  const findLimits = (age: number, otherStartedAt: number) =>
    Object.values(findEstablishedLimits(
      {
        self,
        localMembers: [member("a", 100_000), member("b", otherStartedAt)],
        departures: [],
      },
      100_000 + age,
      1_000,
      true,
    ));
  // The others count the new host after 2 s; their earlier pledges and leases end 25 s later.
  assert.deepEqual(findLimits(26_900, 0), [false, false]);
  assert.deepEqual(findLimits(27_100, 0), [true, false]);
  assert.deepEqual(findLimits(28_100, 0), [true, true]);
  assert.deepEqual(findLimits(4_100, 99_000), [true, true], "a cold start");
});

test("a large domain sends few lease requests and refuses hardly any call of a new customer within the quota", async () => {
  const measured = await measureAdmission({
    daemons: 20,
    customers: 30,
    measure: (message) => JSON.stringify(message).length,
  });
  assert.equal(measured.steadyRefusedShare, 0);
  assert.ok(measured.newDemandRefusedShare < 0.02, JSON.stringify(measured));
  assert.ok(measured.requestsPerSecond < 6, JSON.stringify(measured));
  assert.ok(measured.meanBytesPerSecond < 6_000, JSON.stringify(measured));
});
