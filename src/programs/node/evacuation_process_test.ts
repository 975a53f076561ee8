import assert from "node:assert/strict";
import { test } from "node:test";
import type { Milliseconds } from "../../base/common/milliseconds.ts";
import { assertAllServed, startProcessCallers } from "./process_callers.ts";
import {
  everyAsync,
  type FleetDaemon,
  type FleetUpstream,
  holdsWithin,
  startProcessFleet,
  TEST_TIMEOUT_MS,
  waitUntil,
} from "./process_fleet.ts";

/** An accepted configuration is in force everywhere within this time. */
const IN_FORCE_MS: Milliseconds = 5_000;
/** The time to the confirmation of an order while nothing fails. */
const CONFIRMATION_MS: Milliseconds = 1_000;

async function areEvacuated(
  daemons: readonly FleetDaemon[],
  expected: readonly string[],
): Promise<boolean> {
  return await everyAsync(daemons, async (daemon) => {
    const answer = await daemon.request("/evacuations");
    const domains = (answer?.failureDomains ?? []) as {
      readonly failureDomain: string;
      readonly state: string;
    }[];
    const evacuated = domains.filter(({ state }) => state === "evacuated");
    return answer?.ready === true &&
      evacuated.map((each) => each.failureDomain).join() === expected.join();
  });
}

async function countRuns(
  upstreams: readonly FleetUpstream[],
): Promise<number> {
  const runs = await Promise.all(upstreams.map((each) => each.readRuns()));
  return runs.reduce((sum, each) => sum + each.runs, 0);
}

test(
  "an evacuated failure domain gets no calls, also after restarts without the platform and a pause, until it is restored",
  { timeout: TEST_TIMEOUT_MS },
  async (context) => {
    const fleet = await startProcessFleet(context, {
      failureDomains: ["tacoma", "everett"],
      upstreams: [{ daemon: 0 }, { daemon: 1 }, { daemon: 3 }, { daemon: 4 }],
    });
    const { daemons, upstreams } = fleet;
    const [first, second, , fourth, fifth, sixth] = daemons;
    const emptied = upstreams.slice(2);
    const run = (daemon: FleetDaemon, ...words: string[]) =>
      fleet.runCommand(daemon, words);

    const before = (await first.readReadiness())!.version;
    const unknown = await run(first, "evacuate", "nowhere");
    assert.equal(unknown.code, 1);
    assert.match(unknown.output, /known are everett, tacoma/);
    assert.equal((await first.readReadiness())?.version, before);

    const callers = startProcessCallers(context, {
      daemons: [first, daemons[2], fifth],
    });
    await waitUntil(
      "calls in both failure domains",
      async () => await countRuns(emptied) > 50,
    );
    sixth.pause();
    const orderedAt = Date.now();
    const order = { failureDomain: "everett", action: "evacuate" };
    const answer = await first.request("/evacuations", order);
    const confirmedAfter = Date.now() - orderedAt;
    assert.equal(answer?.result, "accepted");
    assert.ok(confirmedAfter <= CONFIRMATION_MS, `${confirmedAfter} ms`);
    const others = daemons.filter((daemon) => daemon !== sixth);
    const isInForce = () => areEvacuated(others, ["everett"]);
    assert.ok(await holdsWithin(IN_FORCE_MS, isInForce));
    context.diagnostic(
      `confirmed after ${confirmedAfter} ms, in force after ${
        Date.now() - orderedAt
      } ms`,
    );
    const sentBefore = [...callers.calls];
    await waitUntil(
      "the end of the calls that were sent before the order was in force",
      () => sentBefore.every(({ results }) => results.length > 0),
    );
    const runs = await countRuns(emptied);
    sixth.resume();
    assert.ok(
      await holdsWithin(IN_FORCE_MS, () => areEvacuated([sixth], ["everett"])),
      "the paused daemon",
    );

    const last = await run(second, "evacuate", "tacoma");
    assert.equal(last.code, 1);
    assert.match(last.output, /only tacoma has an instance of service booking/);
    const again = await run(fourth, "evacuate", "everett");
    assert.equal(again.code, 0, again.output);

    await fleet.setFaults({ isDown: true });
    const refused = await run(first, "restore", "everett");
    assert.equal(refused.code, 3, refused.output);
    await Promise.all([second, fourth].map((daemon) => daemon.kill()));
    [second, fourth].forEach((daemon) => daemon.restart());
    await waitUntil(
      "the order at restarted daemons",
      () => areEvacuated(daemons, ["everett"]),
    );
    const atRestarted = startProcessCallers(context, {
      daemons: [second, fourth, sixth],
    });
    await waitUntil("calls there", () => atRestarted.calls.length > 200);
    assertAllServed(await atRestarted.stop());
    assert.equal(await countRuns(emptied), runs, "runs during the evacuation");
    const status = await run(fourth, "status");
    assert.match(status.output, /^everett: evacuated since .* by demo, /m);

    await fleet.setFaults({ isDown: false });
    await waitUntil(
      "the restoration",
      async () => (await run(first, "restore", "everett")).code === 0,
    );
    assert.ok(await holdsWithin(IN_FORCE_MS, () => areEvacuated(daemons, [])));
    await waitUntil(
      "calls at the restored instances",
      async () => await countRuns(emptied) > runs + 50,
    );
    const calls = await callers.stop();
    assertAllServed(calls);
    const repeated = calls.filter(({ results }) => results.length > 1);
    context.diagnostic(
      `${repeated.length} of ${calls.length} calls were sent again`,
    );
  },
);
