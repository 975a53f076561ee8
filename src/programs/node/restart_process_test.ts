import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import {
  assertAllServed,
  assertRunsMatch,
  startProcessCallers,
} from "./process_callers.ts";
import {
  everyAsync,
  type FleetDaemon,
  listHosts,
  startProcessFleet,
  TEST_TIMEOUT_MS,
  waitUntil,
} from "./process_fleet.ts";
import { watchVersions } from "./version_watch.ts";

/** A claim needs owners that have been members for 5 s when its key is created. */
const CLAIM_MARGIN_MS = 5_500;

test(
  "half of the daemons are killed and restarted with the platform down: they recover from peers, never go back to an older version, and no call at the other daemons is lost",
  { timeout: TEST_TIMEOUT_MS },
  async (context) => {
    const fleet = await startProcessFleet(context, {
      failureDomains: ["tacoma", "everett"],
      upstreams: [{ daemon: 0 }, { daemon: 1 }, { daemon: 3 }],
    });
    const { daemons } = fleet;
    const killed = [daemons[1], daemons[2], daemons[5]];
    const liveDaemons = daemons.filter((daemon) => !killed.includes(daemon));
    await fleet.publishEverywhere();
    const inForce = await fleet.publishEverywhere();
    const watch = watchVersions(context, daemons);
    const callers = startProcessCallers(context, { daemons: liveDaemons });
    await fleet.setFaults({ isDown: true });
    await sleep(500);
    await Promise.all(killed.map((daemon) => daemon.kill()));
    await sleep(1_000);
    killed.forEach((daemon) => daemon.restart());
    await fleet.waitForVersion(inForce, killed);

    const callersAtRestarted = startProcessCallers(context, {
      daemons: killed,
    });
    await waitUntil(
      "calls at the restarted daemons",
      () => callersAtRestarted.calls.length > 200,
    );
    assertAllServed(await callersAtRestarted.stop());
    await fleet.setFaults({ isDown: false });
    await fleet.publishEverywhere();
    const calls = await callers.stop();
    assert.ok(calls.length > 200, `only ${calls.length} calls`);
    assertAllServed(calls);
    assert.deepEqual(await watch.stop(), []);
  },
);

async function waitForMembers(
  observers: readonly FleetDaemon[],
  count: number,
): Promise<void> {
  await waitUntil(
    `${count} members`,
    () =>
      everyAsync(observers, async (daemon) => {
        const members = await daemon.request("/members");
        return listHosts(members, "localMembers").length === count;
      }),
  );
}

test(
  "a claim owner is killed while callers retry their keys at other daemons: no key runs twice, and new keys are served again",
  { timeout: TEST_TIMEOUT_MS },
  async (context) => {
    const fleet = await startProcessFleet(context, {
      upstreams: [{ daemon: 0 }, { daemon: 1 }],
    });
    const { daemons, upstreams } = fleet;
    await sleep(CLAIM_MARGIN_MS);
    const callers = startProcessCallers(context, {
      daemons,
      routes: "reservations",
      retriesUnknown: true,
      minimumAttempts: 2,
      maximumAttempts: 4,
      callers: 9,
    });
    const served = () =>
      callers.calls.filter(({ results }) =>
        results.some(({ status }) => status === 200)
      ).length;
    await waitUntil("reservations before the kill", () => served() > 100);
    await daemons[2].kill();
    await waitForMembers(daemons.slice(0, 2), 2);
    const before = served();
    await waitUntil(
      "reservations after the kill",
      () => served() > before + 100,
    );
    const calls = await callers.stop();
    await assertRunsMatch(calls, upstreams);
    const repeated = calls.filter(({ results }) => results.length > 1);
    assert.ok(repeated.length > 0, "no call was repeated");
  },
);

test(
  "SIGTERM of a daemon and of an upstream under load: exit code 0 and no call is cut",
  { timeout: TEST_TIMEOUT_MS },
  async (context) => {
    const fleet = await startProcessFleet(context, {
      upstreams: [
        { daemon: 0, workMilliseconds: 50 },
        { daemon: 1, workMilliseconds: 50 },
        { daemon: 0, workMilliseconds: 50 },
      ],
    });
    const { daemons, upstreams } = fleet;
    await sleep(CLAIM_MARGIN_MS);
    const callers = startProcessCallers(context, {
      daemons,
      routes: "both",
      callers: 9,
    });
    await waitUntil("calls before", () => callers.calls.length > 100);
    assert.equal(await upstreams[2].terminate(), 0, "upstream's exit code");
    const { length } = callers.calls;
    assert.equal(await daemons[2].terminate(), 0, "daemon's exit code");
    await waitUntil("calls after", () => callers.calls.length > length + 100);
    const calls = await callers.stop();
    const cut = calls.filter(({ results }) =>
      results.some(({ kind }) => kind === "cut" || kind === "unknown")
    );
    assert.deepEqual(cut.slice(0, 3), [], `${cut.length} of ${calls.length}`);
    assertAllServed(calls);
  },
);
