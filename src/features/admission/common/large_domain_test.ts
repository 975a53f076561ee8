import assert from "node:assert/strict";
import { test } from "node:test";
import { createRandomSource } from "../../../base/common/random_source.ts";
import type { Contract } from "../../../world/common/contract.ts";
import {
  type AdmissionWorld,
  createAdmissionWorld,
} from "./admission_world.ts";
import type { HostIdentity } from "../../../world/common/host.ts";
import type { Member } from "../../membership/common/directory.ts";
import { measureAdmission } from "./admission_measure.ts";
import { createCustomerAccount } from "./customer_account.ts";
import { answerAsk, takeIdlePledge } from "./lease_ledger.ts";
import type { LeaseAsk } from "./lease_messages.ts";
import { judgeEstablishment } from "./quota.ts";

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

interface Change {
  readonly chance: number;
  run(world: AdmissionWorld, host: string): void;
}

const CHANGES: Record<string, Change[]> = {
  "none": [],
  "restarts, replacements, pauses and cuts": [
    {
      chance: 0.01,
      run(world, host) {
        world.kill(host);
        world.clock.schedule(2_000, () => world.start(host));
      },
    },
    {
      chance: 0.005,
      run(world, host) {
        world.kill(host);
        const at = world.clock.now();
        const successor = `${host.split("-")[0]}-at${at}`;
        world.clock.schedule(1_500, () => world.start(successor));
      },
    },
    { chance: 0.02, run: (world, host) => world.pause(host, 2_500) },
    {
      chance: 0.01,
      run(world, host) {
        world.isolate(host);
        world.clock.schedule(12_000, () => world.rejoin(host));
      },
    },
  ],
};

/** Runs a domain whose callers move between hosts, so that accounts fall idle and wake. */
async function runLarge(
  contract: Contract,
  changes: Change[],
  seed: number,
): Promise<number> {
  const random = createRandomSource(seed);
  const world = createAdmissionWorld({
    contract,
    domains: ["tacoma"],
    longestCall: 1_000,
    random,
    otherCustomers: 20,
  });
  [1, 2, 3, 4, 5, 6].forEach((index) => world.start(`tacoma-${index}`));
  let callers: string[] = [];
  const totals: number[] = [];
  for (let elapsed = 0; elapsed < RUN_MS; elapsed += STEP_MS) {
    if (elapsed % CALLERS_CHANGE_MS === 0) {
      callers = world.hosts.filter(() => random.nextFraction() < 0.4);
    }
    for (const { chance, run } of elapsed % 100 === 0 ? changes : []) {
      if (elapsed > 6_000 && random.nextFraction() < chance) {
        run(world, world.hosts[random.nextInteger(world.hosts.length)]);
      }
    }
    callers.forEach((host) => world.offer(host, random.nextInteger(8)));
    await world.step(STEP_MS);
    const { requestsPerSecond, concurrency } = contract.limits;
    const seconds = (elapsed + STEP_MS) / 1_000;
    assert.ok(
      world.inFlight <= concurrency,
      `${world.inFlight} calls in flight at ${seconds} s, seed ${seed}`,
    );
    assert.ok(
      world.admitted <= requestsPerSecond * seconds,
      `${world.admitted} calls in ${seconds} s, seed ${seed}`,
    );
    // Buckets hold one second of their rates, and at least one call each.
    const recent = world.admitted - (totals.at(-WINDOW_MS / STEP_MS) ?? 0);
    assert.ok(
      recent <= requestsPerSecond * (1 + WINDOW_MS / 1_000) + 12,
      `${recent} calls in 2 s at ${seconds} s, seed ${seed}`,
    );
    totals.push(world.admitted);
  }
  return world.admitted;
}

for (const [name, changes] of Object.entries(CHANGES)) {
  test(`long pledges and leases never admit more than the contract: ${name}`, async () => {
    for (const contract of CONTRACTS) {
      let admitted = 0;
      for (const seed of SEEDS) {
        admitted += await runLarge(contract, changes, seed);
      }
      // A fleet that admits next to nothing would keep every limit.
      const least = (changes.length === 0 ? 6_000 : 1_800) * SEEDS.length;
      assert.ok(admitted > least, `${admitted} calls`);
    }
  });
}

test("a lease ends before any pledge that it may come from, and an idle pledge keeps reservations", () => {
  const ask = (change: Partial<LeaseAsk>): LeaseAsk => ({
    customer: "hollister",
    pledged: { rate: 6, concurrency: 6 },
    pledgedUntil: 1_000,
    demand: { rate: 30, concurrency: 30 },
    holding: { rate: 0, concurrency: 0 },
    inUse: 0,
    longestCall: 500,
    ...change,
  });
  const long = { leaseMilliseconds: 3_000 };
  const first = answerAsk(new Map(), ask(long), { host: "a", now: 0 });
  assert.equal(first.leaseMilliseconds, 3_000);
  const second = answerAsk(first.ledger, ask({}), { host: "b", now: 0 });
  assert.equal(second.leaseMilliseconds, 1_000);
  const third = answerAsk(second.ledger, ask(long), { host: "a", now: 10 });
  assert.equal(third.leaseMilliseconds, 1_000);
  const ledger = takeIdlePledge(
    first.ledger,
    ["hollister", 6, 6, 20_000],
    { host: "a", now: 100 },
  );
  const fourth = answerAsk(ledger, ask({}), { host: "b", now: 200 });
  assert.deepEqual(fourth.granted, { rate: 6, concurrency: 6 });
  // The long lease of `a` is in force until 3,000 although its next one is short.
  const short = answerAsk(
    first.ledger,
    ask({ holding: { rate: 6, concurrency: 6 } }),
    { host: "a", now: 100 },
  );
  const late = answerAsk(short.ledger, ask({ pledgedUntil: 9_000 }), {
    host: "b",
    now: 2_900,
  });
  assert.equal(late.granted.rate, 0);
});

test("a part that was pledged for long is given to no other holder and counted for no new host before it ends", () => {
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
      holder: { host, epoch: 1 },
      time: 70_000 + at,
      receivedAt: at,
      nextAt: at,
    });
  confirm("a", 0);
  const pledge = account.preparePledge({ host: "a", epoch: 1 }, 10);
  assert.deepEqual(pledge, ["hollister", 8, 8, 92_000]);
  confirm("b", 1_000);
  // 22 s of pledge and 3 s of lease after the answer of `a`, and one call.
  const cases = [[24_900, 0, 0], [25_100, 8, 0], [25_600, 8, 8]] as const;
  for (const [at, rate, concurrency] of cases) {
    const next = account.preparePledge({ host: "b", epoch: 1 }, at);
    assert.deepEqual(next.slice(1, 3), [rate, concurrency], `${at}`);
  }
  const member = (host: string, startedAt: number) =>
    ({ process: { host, startedAt }, state: "alive" }) as unknown as Member;
  const self = { process: { host: "a", startedAt: 100_000 } } as HostIdentity;
  const judge = (age: number, elder: number) =>
    Object.values(judgeEstablishment(
      {
        self,
        localMembers: [member("a", 100_000), member("b", elder)],
        departures: [],
      },
      100_000 + age,
      1_000,
      true,
    ));
  // The parts of others count it after 2 s, and what they pledged before ends 25 s later.
  assert.deepEqual(judge(26_900, 0), [false, false]);
  assert.deepEqual(judge(27_100, 0), [true, false]);
  assert.deepEqual(judge(28_100, 0), [true, true]);
  assert.deepEqual(judge(4_100, 99_000), [true, true], "a cold start");
});

test("a large domain spends few requests, and a new demand meets no refusal while the quota is free", async () => {
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
