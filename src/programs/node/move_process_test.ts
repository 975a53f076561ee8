import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { DEMO_SERVICE, NEW_VERSION } from "./demo_fleet.ts";
import { startProcessCallers } from "./process_callers.ts";
import {
  type FleetUpstream,
  startProcessFleet,
  TEST_TIMEOUT_MS,
  waitUntil,
} from "./process_fleet.ts";

/** At about 1,300 calls per second the first step has hundreds of failures within this time. */
const DETECTION_LIMIT_MS = 30_000;
const MOVE_IDENTITY = "move-bad";
const ROUTE_FAULT = {
  fault: "fail",
  pathPrefix: "/v1/reservations",
} as const;
/** The largest fraction of all calls that a bad version may receive (G4). */
const MAXIMUM_BAD_SHARE = 0.05;
/** Time from sufficient evidence until a bad version gets no more calls (G4). */
const BAD_VERSION_LIMIT_MS = 3_000;

async function startMoveFleet(context: TestContext) {
  const fleet = await startProcessFleet(context, {
    upstreams: [0, 1, 2].flatMap((daemon) => [
      { daemon },
      { daemon, version: NEW_VERSION },
    ]),
  });
  const bad = fleet.upstreams.filter(({ settings }) =>
    settings.version === NEW_VERSION
  );
  // Claims need owners that have been members for 5 s.
  await sleep(5_500);
  const callers = startProcessCallers(context, {
    daemons: fleet.daemons,
    routes: "both",
    callers: 24,
  });
  return { fleet, bad, callers };
}

async function countCalls(upstreams: readonly FleetUpstream[]) {
  const runs = await Promise.all(upstreams.map((item) => item.readRuns()));
  return runs.reduce((sum, { calls }) => sum + calls, 0);
}

test(
  "a version that fails on one route only is taken back with the reason and gets no more calls within the limit, with the platform up or down",
  {
    timeout: TEST_TIMEOUT_MS,
  },
  async (context) => {
    for (const isDown of [false, true]) {
      await context.test(
        isDown ? "platform down" : "platform up",
        async (inner) => {
          const { fleet, bad, callers } = await startMoveFleet(inner);
          const [first] = fleet.daemons;
          const showMove = () => first.request(`/moves/${MOVE_IDENTITY}`);
          const answer = await first.request("/moves", {
            identity: MOVE_IDENTITY,
            service: DEMO_SERVICE,
            toVersion: NEW_VERSION,
            withinMilliseconds: 60_000,
          });
          assert.equal(answer?.result, "accepted", String(answer?.reason));
          await fleet.waitForVersion(Number(answer?.offset));
          const before = callers.calls.length;
          await fleet.setFaults({ isDown });
          await Promise.all(bad.map((item) => item.setBehaviour(ROUTE_FAULT)));
          await waitUntil(
            "the version is found bad",
            async () =>
              /tak(en|ing) back|being taken back/.test(
                String((await showMove())?.description),
              ),
            DETECTION_LIMIT_MS,
          );
          await sleep(BAD_VERSION_LIMIT_MS);
          const count = await countCalls(bad);
          const sent = callers.calls.length;
          await waitUntil(
            "more calls",
            () => callers.calls.length > sent + 300,
          );
          assert.equal(await countCalls(bad), count, "calls to a bad version");
          assert.ok(count > 0, "the new version was tried");
          const part = count / (callers.calls.length - before);
          assert.ok(part < MAXIMUM_BAD_SHARE, `a part of ${part}`);
          if (isDown) {
            assert.equal((await showMove())?.state, "open");
            await fleet.setFaults({ isDown: false });
          }
          await waitUntil(
            "the operator reads the result",
            async () => (await showMove())?.state === "taken-back",
          );
          const result = await fleet.runCommand(first, [
            "status",
            MOVE_IDENTITY,
          ]);
          assert.equal(result.code, 1, result.output);
          assert.match(result.output, /taken back: .*reservations/);
        },
      );
    }
  },
);
