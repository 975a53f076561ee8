import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { hashText, rankByRendezvous } from "../../../base/common/hashing.ts";
import { createRandomSource } from "../../../base/common/random_source.ts";
import { createGranterRanking } from "./granter_ranking.ts";

const ACCOUNTS = Array.from({ length: 85 }, (_, index) => `account-${index}`);
const HOSTS = Array.from({ length: 85 }, (_, index) => `host-${index}`);

describe("the granters of accounts", () => {
  for (const seed of [1, 2, 3]) {
    test(`are the first in rendezvous order while hosts come and go, seed ${seed}`, () => {
      const random = createRandomSource(seed);
      const ranking = createGranterRanking();
      for (let round = 0; round < 40; round += 1) {
        const present = HOSTS.filter(() => random.nextFraction() < 0.7);
        ranking.setCandidates(present);
        for (const account of ACCOUNTS) {
          if (random.nextFraction() < 0.5) {
            assert.equal(
              ranking.find(account),
              rankByRendezvous(account, present)[0],
            );
          }
        }
      }
    });
  }

  // Guards against a host that is overdue for moments and makes all daemons rank all hosts for all accounts again.
  test("are not ranked again for a host that leaves and returns", (context) => {
    let weighed = 0;
    const ranking = createGranterRanking((account, host) => {
      weighed += 1;
      return hashText(`${account}|${host}`);
    });
    ranking.setCandidates(HOSTS);
    ACCOUNTS.forEach(ranking.find);
    assert.equal(weighed, ACCOUNTS.length * HOSTS.length);
    weighed = 0;
    for (const host of HOSTS) {
      ranking.setCandidates(HOSTS.filter((other) => other !== host));
      ACCOUNTS.forEach(ranking.find);
      ranking.setCandidates(HOSTS);
      ACCOUNTS.forEach(ranking.find);
    }
    const perChange = weighed / (2 * HOSTS.length);
    context.diagnostic(`${perChange} hashes a change`);
    assert.ok(perChange <= ACCOUNTS.length, `${perChange} hashes a change`);
  });

  test("are none without hosts", () =>
    assert.equal(createGranterRanking().find("account-1"), undefined));
});
