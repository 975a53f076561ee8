import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { createSpreadFleet } from "./spread_fixture.ts";

const FLEETS = [
  { hosts: 10, failureDomains: 3 },
  { hosts: 68, failureDomains: 4 },
  { hosts: 200, failureDomains: 6 },
];
const START_MS = 4_000;
const VERSIONS = 8;
const VERSION_INTERVAL_MS = 300;

/**
 * The messages that a daemon may send for a version, on average over the fleet: the announcement to four daemons of
 * its failure domain and one of each other, its part of the records that the reader sends to its domain, and a
 * request for records with its response.
 */
const maximumMessages = (failureDomains: number) => 4 + failureDomains + 2;

/** Counts the messages of all hosts, heartbeats apart, in a time in which versions are written or not. */
async function countMessages(
  options: { readonly hosts: number; readonly failureDomains: number },
  isPublishing: boolean,
): Promise<number> {
  const fleet = createSpreadFleet(options);
  fleet.publish();
  await fleet.advance(START_MS);
  const countAll = () =>
    fleet.hosts.reduce((sum, host) => sum + fleet.countSent(host), 0);
  const before = countAll();
  for (let version = 0; version < VERSIONS; version += 1) {
    if (isPublishing) {
      fleet.publish();
    }
    await fleet.advance(VERSION_INTERVAL_MS);
  }
  fleet.dispose();
  return countAll() - before;
}

// Guards against a cost of each version that is the square of the number of hosts.
describe("the messages for a version do not grow with the number of hosts", () => {
  for (const options of FLEETS) {
    const { hosts, failureDomains } = options;
    test(`${hosts} hosts in ${failureDomains} failure domains`, async (context) => {
      const usual = await countMessages(options, false);
      const withVersions = await countMessages(options, true);
      const perVersion = (withVersions - usual) / hosts / VERSIONS;
      context.diagnostic(
        `${perVersion.toFixed(1)} messages a version and host`,
      );
      assert.ok(
        perVersion <= maximumMessages(failureDomains),
        String(perVersion),
      );
    });
  }
});
