import assert from "node:assert/strict";
import { describe, test } from "node:test";
import type { HostName } from "../../world/common/names.ts";
import { createSpreadFleet, type SpreadFleet } from "./spread_fixture.ts";

/** The time within which a version has to be in force on every host. */
const BOUND_MS = 2_500;
const START_MS = 4_000;
/** Longer than the oldest copy, so that what was written before is in it. */
const SETTLE_MS = 7_000;
/** How often it is checked that nothing has gone back. */
const CHECK_MS = 20;
const REWINDS_MS = [1_000, 3_000, 6_000];
const ROLLOUT = "rollout/a";
const EVACUATION = "evacuate/x";
const NEW_EVACUATION = "evacuate/y";

interface Change {
  readonly name: string;
  /** What the operator writes shortly before the store is rewound. */
  readonly write: (fleet: SpreadFleet) => unknown;
  /** What the operator writes again afterwards. */
  readonly writeAgain: (fleet: SpreadFleet) => void;
  /** What holds on a host that has seen the change, from the rewind on. */
  readonly kept: Readonly<Record<string, string | undefined>>;
  /** What holds on every host after it was written again. */
  readonly expected: Readonly<Record<string, string | undefined>>;
  readonly version: number;
}

const CHANGES: readonly Change[] = [
  {
    name: "nothing",
    write() {},
    writeAgain() {},
    kept: { [ROLLOUT]: "v1", [EVACUATION]: "order" },
    expected: { [ROLLOUT]: "v1", [EVACUATION]: "order" },
    version: 1,
  },
  {
    name: "a configuration",
    write: (fleet) => fleet.publish(),
    writeAgain: (fleet) => fleet.write("config", '{"version":2}'),
    kept: { [ROLLOUT]: "v1", [EVACUATION]: "order" },
    expected: { [ROLLOUT]: "v1", [EVACUATION]: "order" },
    version: 2,
  },
  {
    name: "the removal of a key",
    write: (fleet) => fleet.write(EVACUATION, ""),
    writeAgain: (fleet) => fleet.write(EVACUATION, ""),
    kept: { [ROLLOUT]: "v1", [EVACUATION]: undefined },
    expected: { [ROLLOUT]: "v1", [EVACUATION]: undefined },
    version: 1,
  },
  {
    name: "a new value of a key",
    write: (fleet) => fleet.write(ROLLOUT, "v2"),
    writeAgain: (fleet) => fleet.write(ROLLOUT, "v2"),
    kept: { [ROLLOUT]: "v2", [EVACUATION]: "order" },
    expected: { [ROLLOUT]: "v2", [EVACUATION]: "order" },
    version: 1,
  },
  {
    name: "a second new value of a key",
    async write(fleet) {
      fleet.write(EVACUATION, "second order");
      // Long enough for the second order to be read by itself.
      await fleet.advance(400);
      fleet.write(EVACUATION, "third order");
    },
    writeAgain: (fleet) => fleet.write(EVACUATION, "third order"),
    kept: { [EVACUATION]: "third order" },
    expected: { [EVACUATION]: "third order" },
    version: 1,
  },
  {
    name: "a new key, whose offset another record gets",
    write: (fleet) => fleet.write(NEW_EVACUATION, "order"),
    writeAgain(fleet) {
      fleet.write(EVACUATION, "other order");
      fleet.write(NEW_EVACUATION, "order");
    },
    kept: { [ROLLOUT]: "v1", [EVACUATION]: "order" },
    expected: {
      [ROLLOUT]: "v1",
      [EVACUATION]: "other order",
      [NEW_EVACUATION]: "order",
    },
    version: 1,
  },
];

async function startFleet(hosts: number, failureDomains: number) {
  const fleet = createSpreadFleet({ hosts, failureDomains });
  fleet.publish();
  fleet.write(ROLLOUT, "v1");
  fleet.write(EVACUATION, "order");
  await fleet.advance(START_MS + SETTLE_MS);
  return fleet;
}

function assertValues(
  fleet: SpreadFleet,
  hosts: readonly HostName[],
  values: Readonly<Record<string, string | undefined>>,
): void {
  for (const host of hosts) {
    for (const [key, value] of Object.entries(values)) {
      assert.equal(fleet.valueOf(host, key), value, `${key} on ${host}`);
    }
  }
}

function assertVersion(
  fleet: SpreadFleet,
  hosts: readonly HostName[],
  version: number,
): void {
  for (const host of hosts) {
    assert.equal(fleet.versionOf(host), version, `configuration on ${host}`);
  }
}

// Guards against daemons that take the offsets of a rewound store for old ones, and ignore what is written again; and
// against older configurations and removed orders of the copy that take effect again.
describe("a store that comes back from an older copy", () => {
  for (const rewind of REWINDS_MS) {
    for (const change of CHANGES) {
      test(`${rewind} ms old, after which ${change.name} was written`, async () => {
        const fleet = await startFleet(9, 3);
        await change.write(fleet);
        await fleet.advance(rewind / 2);
        const running = fleet.hosts.slice(1);
        assertValues(fleet, running, change.kept);
        assertVersion(fleet, running, change.version);
        fleet.rewind(rewind);
        // A daemon that starts in the new era.
        fleet.restart(fleet.hosts[0]);
        for (let elapsed = 0; elapsed < BOUND_MS; elapsed += CHECK_MS) {
          await fleet.advance(CHECK_MS);
          assertValues(fleet, running, change.kept);
          assertVersion(fleet, running, change.version);
        }
        for (const host of running) {
          assert.equal(fleet.countEraChanges(host), 1, host);
        }
        // Configurations never go back, also on the host that has started since.
        assertVersion(fleet, fleet.hosts, change.version);
        change.writeAgain(fleet);
        await fleet.advance(BOUND_MS);
        assertValues(fleet, fleet.hosts, change.expected);
        assertVersion(fleet, fleet.hosts, change.version);
        fleet.publish();
        await fleet.advance(BOUND_MS);
        assertValues(fleet, fleet.hosts, change.expected);
        assertVersion(
          fleet,
          fleet.hosts,
          change.name === "a configuration" ? 3 : 2,
        );
        fleet.dispose();
      });
    }
  }

  test("a daemon that was cut off in the older era comes back, and keeps its newer configuration", async () => {
    const fleet = await startFleet(9, 3);
    fleet.publish();
    fleet.write(NEW_EVACUATION, "order");
    await fleet.advance(500);
    const [cutOff, ...others] = fleet.hosts;
    fleet.setFault(cutOff, { isCutOff: true, isStoreSilent: true });
    fleet.rewind(3_000);
    for (const host of others) {
      fleet.restart(host);
    }
    await fleet.advance(6_000);
    assertVersion(fleet, others, 1);
    fleet.setFault(cutOff, {});
    fleet.reconnect(cutOff);
    await fleet.advance(BOUND_MS);
    assertVersion(fleet, [cutOff], 2);
    // What it knows of the older era reaches no daemon that has read the later one.
    assertVersion(fleet, others, 1);
    assertValues(fleet, fleet.hosts, {
      [ROLLOUT]: "v1",
      [EVACUATION]: "order",
      [NEW_EVACUATION]: undefined,
    });
    fleet.write("config", '{"version":2}');
    await fleet.advance(BOUND_MS);
    assertVersion(fleet, fleet.hosts, 2);
    fleet.dispose();
  });

  test("a second rewind does not bring back what the first one did not", async () => {
    const fleet = await startFleet(9, 3);
    fleet.write(EVACUATION, "");
    await fleet.advance(500);
    fleet.rewind(1_000);
    await fleet.advance(BOUND_MS);
    fleet.rewind(1_000);
    await fleet.advance(BOUND_MS);
    assertValues(fleet, fleet.hosts, { [EVACUATION]: undefined });
    fleet.write(EVACUATION, "order");
    await fleet.advance(BOUND_MS);
    assertValues(fleet, fleet.hosts, { [EVACUATION]: "order" });
    fleet.dispose();
  });
});

// Guards against calls of all daemons at once, and against a version that waits for time-outs.
test("200 hosts take over a configuration that is written after a rewind", async (context) => {
  const fleet = await startFleet(200, 6);
  fleet.publish();
  await fleet.advance(1_000);
  const countCalls = () =>
    fleet.hosts.reduce((sum, host) => sum + fleet.countStoreCalls(host), 0);
  const before = countCalls();
  await fleet.advance(5_000);
  const callsWithout = countCalls() - before;
  fleet.rewind(6_000);
  const rewoundAt = countCalls();
  fleet.publish();
  const position = fleet.publish();
  const writtenAt = fleet.now;
  await fleet.advance(5_000);
  const calls = countCalls() - rewoundAt;
  const latest = Math.max(
    ...fleet.hosts.map((host) => fleet.appliedAt(host, position) ?? Infinity),
  ) - writtenAt;
  context.diagnostic(
    `in force everywhere after ${Math.round(latest)} ms; ${calls} calls of ` +
      `the store in 5 s, ${callsWithout} in the 5 s before`,
  );
  assertVersion(fleet, fleet.hosts, 4);
  assert.ok(latest <= BOUND_MS, `${latest} ms`);
  fleet.dispose();
});
