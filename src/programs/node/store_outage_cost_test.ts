import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { createSpreadFleet, type HostFault } from "./spread_fixture.ts";

const FLEETS = [
  { hosts: 12, failureDomains: 4, bound: 2_000 },
  { hosts: 200, failureDomains: 6, bound: 3_000 },
];
const OUTAGES: readonly { readonly name: string; readonly fault: HostFault }[] =
  [
    { name: "refuses all calls", fault: { isStoreRefusing: true } },
    { name: "does not respond", fault: { isStoreSilent: true } },
  ];
const START_MS = 4_000;
const OUTAGE_MS = 9_000;
/** Two daemons of each failure domain may call the store this often while it is away. */
const CALLS_PER_SECOND = 2;
/** A daemon may find out once or twice by itself that the store is away, and that it is still away. */
const CALLS_PER_HOST = 3;

// Guards against calls to the store that grow with the number of hosts while it is away.
describe("the calls to a store that is away", () => {
  for (const { hosts, failureDomains, bound } of FLEETS) {
    for (const { name, fault } of OUTAGES) {
      test(`${hosts} hosts, the store ${name}`, async (context) => {
        const fleet = createSpreadFleet({ hosts, failureDomains });
        context.after(fleet.dispose);
        fleet.publish();
        await fleet.advance(START_MS);
        const countCalls = () =>
          fleet.hosts.reduce(
            (sum, host) => sum + fleet.countStoreCalls(host),
            0,
          );
        const before = countCalls();
        for (const host of fleet.hosts) {
          fleet.setFault(host, fault);
        }
        await fleet.advance(OUTAGE_MS);
        const calls = countCalls() - before;
        const maximum = CALLS_PER_HOST * hosts +
          2 * failureDomains * CALLS_PER_SECOND * OUTAGE_MS / 1_000;
        context.diagnostic(`${calls} calls, at most ${maximum}`);
        for (const host of fleet.hosts) {
          fleet.setFault(host, {});
        }
        // A configuration that is written as soon as the store is back must be in force in time nevertheless.
        const publishedAt = fleet.now;
        const position = fleet.publish();
        await fleet.advance(bound + 2_000);
        const latest = Math.max(
          ...fleet.hosts.map((host) =>
            (fleet.appliedAt(host, position) ?? Infinity) - publishedAt
          ),
        );
        context.diagnostic(`in force after ${Math.round(latest)} ms`);
        assert.ok(calls <= maximum, `${calls} calls`);
        assert.ok(latest <= bound, `${latest} ms`);
      });
    }
  }
});
