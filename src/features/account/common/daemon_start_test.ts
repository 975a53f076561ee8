import assert from "node:assert/strict";
import { test } from "node:test";
import { createRandomSource } from "../../../base/common/random_source.ts";
import {
  createAccountFleet,
  domainOf,
  type FleetAccount,
  listHostNames,
} from "./account_fleet.ts";
import { rankGranters } from "./granter_choice.ts";

const HOSTS = listHostNames(85);
const STARTING = "h5";
/** The part of the calls below the limit that may be refused without a fault. */
const MAXIMUM_REFUSED = 0.001;
/** The same while daemons lose a granter. */
const MAXIMUM_REFUSED_IN_FAULTS = 0.02;
const SEEDS = [1, 2, 3];

/** 85 accounts of 2 to 380 calls a second, at a tenth of their limits, whose clients are on one host. */
function createCalmAccounts(): FleetAccount[] {
  return HOSTS.map((_, index) => {
    const requestsPerSecond = Math.max(2, 380 * (index + 1) ** -1.2);
    return {
      name: `account-${index}`,
      limit: { requestsPerSecond, burst: Math.ceil(requestsPerSecond / 2) },
      demand: requestsPerSecond / 10,
      hosts: [STARTING],
    };
  });
}

// Guards against first calls that are refused only since no granter has responded yet.
test("a daemon that has just started does not refuse calls far below the limits", () => {
  const refused = SEEDS.map((seed) => {
    const accounts = createCalmAccounts();
    const fleet = createAccountFleet({ hosts: HOSTS, accounts, seed });
    fleet.clock.advance(60_000);
    fleet.kill(STARTING);
    fleet.clock.advance(2_000);
    fleet.start(STARTING, 200);
    // The hosts are known and links are open after this time.
    fleet.clock.advance(1_200);
    fleet.resetCounts();
    fleet.run(10_000);
    const measured = accounts.map(({ name, limit }) =>
      fleet.measure(name, limit)
    );
    const owed = measured.reduce((sum, account) => sum + account.owed, 0);
    return measured.reduce(
      (sum, account) => sum + account.owed * account.refusedBelowLimit,
      0,
    ) / owed;
  });
  assert.ok(Math.max(...refused) <= MAXIMUM_REFUSED, `${refused} refused`);
});

// Guards against hosts of a restarted domain that admit freely until they know that the account is limited.
for (const requestsPerSecond of [380, 20, 2]) {
  test(`an account of ${requestsPerSecond}/s at 8 times its usual keeps its limit while a domain restarts`, () => {
    const excess = SEEDS.map((seed) => {
      const account: FleetAccount = {
        name: "press",
        limit: { requestsPerSecond, burst: Math.ceil(requestsPerSecond / 2) },
        demand: requestsPerSecond * 8 / 1.6,
        hosts: HOSTS,
      };
      const fleet = createAccountFleet({
        hosts: HOSTS,
        accounts: [account],
        seed,
      });
      const domain = HOSTS.filter((host) => domainOf(host) === "d1");
      const random = createRandomSource(seed);
      fleet.clock.advance(60_000);
      fleet.run(6_000);
      domain.forEach((host) => fleet.kill(host));
      fleet.run(1_000);
      domain.forEach((host) => fleet.start(host, random.nextInteger(2_000)));
      fleet.run(10_000);
      return fleet.measure(account.name, account.limit).excess;
    });
    console.log(`${requestsPerSecond}/s, domain restarted: ${excess}`);
    assert.ok(Math.max(...excess) <= 1, `${excess} of the allowed excess`);
  });
}

// Guards against a granter that has no configuration yet, and whose empty responses are taken for silence.
test("a daemon without a configuration is passed over as a granter", () => {
  const granter = rankGranters("press", HOSTS)[0];
  const account: FleetAccount = {
    name: "press",
    limit: { requestsPerSecond: 20, burst: 10 },
    demand: 20 / 1.6,
    hosts: HOSTS.filter((host) => host !== granter),
  };
  const fleet = createAccountFleet({
    hosts: HOSTS,
    accounts: [account],
    seed: 1,
    unconfiguredHosts: [granter],
  });
  fleet.clock.advance(12_000);
  fleet.run(6_000);
  fleet.resetCounts();
  fleet.run(20_000);
  const { refusedBelowLimit } = fleet.measure("press", account.limit);
  console.log(`granter without a configuration: ${refusedBelowLimit}`);
  assert.ok(refusedBelowLimit <= MAXIMUM_REFUSED, `${refusedBelowLimit}`);
});

// Guards against first calls of each host that are refused for 10 s although the granters know that the accounts are free.
test("from 4 s after a restart of all daemons, accounts are not refused at their usual demand", () => {
  const refused = SEEDS.map((seed) => {
    const accounts = createCalmAccounts().map((account): FleetAccount => ({
      ...account,
      demand: account.limit.requestsPerSecond / 1.6,
      hosts: HOSTS,
    }));
    const fleet = createAccountFleet({ hosts: HOSTS, accounts, seed });
    const random = createRandomSource(seed);
    fleet.clock.advance(40_000);
    fleet.run(6_000);
    HOSTS.forEach((host) => fleet.kill(host));
    fleet.run(1_000);
    HOSTS.forEach((host) => fleet.start(host, random.nextInteger(1_000)));
    fleet.run(4_000);
    fleet.resetCounts();
    fleet.run(4_000);
    const measured = accounts.map(({ name, limit }) =>
      fleet.measure(name, limit)
    );
    return measured.reduce(
      (sum, account) => sum + account.owed * account.refusedBelowLimit,
      0,
    ) / measured.reduce((sum, account) => sum + account.owed, 0);
  });
  console.log(`4 s after a restart: ${refused}`);
  assert.ok(
    Math.max(...refused) <= MAXIMUM_REFUSED_IN_FAULTS,
    `${refused} refused`,
  );
});
