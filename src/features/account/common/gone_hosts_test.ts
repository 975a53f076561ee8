import assert from "node:assert/strict";
import { test } from "node:test";
import {
  createAccountFleet,
  type FleetAccount,
  listHostNames,
} from "./account_fleet.ts";
import { createGranterContacts } from "./granter_contacts.ts";

const HOSTS = listHostNames(85);
/** The part of the calls below the limit that may be refused without a fault. */
const MAXIMUM_REFUSED = 0.001;

// Guards against a limit that hosts hold which have been gone for good but are still listed.
test("an account is not limited at its usual demand while two fifths of the listed hosts are gone", () => {
  const gone = HOSTS.filter((_, index) => index % 5 < 2);
  const alive = HOSTS.filter((host) => !gone.includes(host));
  const account: FleetAccount = {
    name: "press",
    limit: { requestsPerSecond: 60, burst: 30 },
    demand: 60 / 1.6,
    hosts: alive,
  };
  const fleet = createAccountFleet({
    hosts: HOSTS,
    accounts: [account],
    seed: 1,
  });
  fleet.clock.advance(12_000);
  gone.forEach((host) => fleet.kill(host));
  fleet.run(35_000);
  fleet.resetCounts();
  fleet.run(30_000);
  const { refusedBelowLimit, excess } = fleet.measure("press", account.limit);
  assert.ok(
    refusedBelowLimit <= MAXIMUM_REFUSED,
    `${refusedBelowLimit} refused`,
  );
  assert.ok(excess <= 1);
});

// Guards against both sides of a cut that use the whole limit, and against a share that a returning host gets late.
test("an unreachable host holds a share for 30 s, and again as soon as it is reachable", () => {
  let isReachable = true;
  const contacts = createGranterContacts({
    self: "h0",
    startedAt: 0,
    countLinks: () => 2,
    areHostsListed: () => true,
    listHosts: () => [
      { host: "h0", isReachable: true },
      { host: "h1", isReachable },
      { host: "h2", isReachable: true },
    ],
  });
  const observe = (now: number, reachable: boolean) => {
    isReachable = reachable;
    contacts.update(now);
    return [
      contacts.hosts.known,
      contacts.hosts.unreachable.size,
      contacts.sharingHosts,
    ];
  };
  assert.deepEqual(observe(10_000, true), [3, 0, 3]);
  assert.deepEqual(observe(11_000, false), [3, 1, 3]);
  for (let now = 12_000; now < 41_000; now += 1_000) {
    assert.deepEqual(observe(now, false), [3, 1, 3]);
  }
  assert.deepEqual(observe(41_000, false), [2, 0, 2]);
  assert.deepEqual(observe(42_000, true), [3, 0, 3]);
  // A second cut begins with the share again.
  assert.deepEqual(observe(43_000, false), [3, 1, 3]);
  // A daemon without calls for a minute does not know whether the host was reachable in between.
  assert.deepEqual(observe(103_000, false), [3, 1, 3]);
});
