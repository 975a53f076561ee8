import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { rankByRendezvous } from "../../../base/common/hashing.ts";
import { domainOf, listHostNames } from "./account_fleet.ts";
import { chooseGrantingHosts, GRANTING_HOSTS } from "./granter_choice.ts";

describe("the hosts that grant", () => {
  const cases: readonly [number, number][] = [[0, 0], [1, 1], [8, 8], [85, 8]];
  for (const [hosts, expected] of cases) {
    test(`are ${expected} of ${hosts}, the first in rendezvous order`, () =>
      assert.deepEqual(
        chooseGrantingHosts(listHostNames(hosts)),
        rankByRendezvous("account-granter", listHostNames(hosts)).slice(
          0,
          expected,
        ),
      ));
  }

  // Guards against a change of a host by which accounts of other granters move.
  test("change by one at most when a host leaves", () => {
    const hosts = listHostNames(85);
    const chosen = chooseGrantingHosts(hosts);
    for (const gone of hosts) {
      const next = chooseGrantingHosts(hosts.filter((host) => host !== gone));
      const kept = next.filter((host) => chosen.includes(host));
      assert.equal(
        kept.length,
        chosen.includes(gone) ? GRANTING_HOSTS - 1 : GRANTING_HOSTS,
      );
    }
  });

  test("are in several failure domains", () => {
    const domains = new Set(
      chooseGrantingHosts(listHostNames(85)).map(domainOf),
    );
    assert.equal(domains.size, 3);
  });
});
