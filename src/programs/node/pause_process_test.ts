import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import {
  assertAllServed,
  assertRunsMatch,
  type RecordedCall,
  startProcessCallers,
} from "./process_callers.ts";
import {
  everyAsync,
  type FleetDaemon,
  type FleetUpstream,
  holdsWithin,
  listHosts,
  startProcessFleet,
  TEST_TIMEOUT_MS,
  waitUntil,
} from "./process_fleet.ts";
import { watchVersions } from "./version_watch.ts";

const CLAIM_MARGIN_MS = 5_500;
/**
 * A daemon gets no share of the limits for a minute when another departs within 11 s of its own
 * start, because a partitioned daemon may not count it (`isPossiblyUnknown` of admission).
 */
const ESTABLISH_MARGIN_MS = 12_000;
/** The deadline of the routes plus scheduling delay of the caller on a loaded machine. */
const RESPONSE_LIMIT_MS = 3_000 + 3_000;
/** It is rare that no reservation arrives during a pause; this does not happen six times in a row. */
const MAXIMUM_PAUSES = 6;
/** Runs after which a resumed upstream gets its usual share of calls again. */
const MINIMUM_RUNS_BETWEEN_PAUSES = 20;

async function isMember(
  observer: FleetDaemon,
  { settings }: FleetDaemon,
): Promise<boolean> {
  const members = await observer.request("/members");
  return listHosts(members, "localMembers").includes(settings.host);
}

test(
  "a daemon that is paused until it is declared dead catches up, rejoins and never goes back to an older version",
  { timeout: TEST_TIMEOUT_MS },
  async (context) => {
    const fleet = await startProcessFleet(context, {
      upstreams: [{ daemon: 0 }, { daemon: 1 }],
    });
    const [first, second, paused] = fleet.daemons;
    const liveDaemons = [first, second];
    await sleep(ESTABLISH_MARGIN_MS);
    const watch = watchVersions(context, fleet.daemons);
    const callers = startProcessCallers(context, { daemons: liveDaemons });
    paused.pause();
    await waitUntil("the paused daemon is declared dead", async () => {
      await fleet.publishEverywhere(liveDaemons);
      return everyAsync(
        liveDaemons,
        async (daemon) => !await isMember(daemon, paused),
      );
    });
    const inForce = await fleet.publishEverywhere(liveDaemons);
    paused.resume();
    await fleet.waitForVersion(inForce, [paused]);
    await waitUntil(
      "the paused daemon is a member",
      () => everyAsync(liveDaemons, (daemon) => isMember(daemon, paused)),
    );
    // Until the lease holder knows it again, it may refuse calls as not run.
    const callersAtPaused = startProcessCallers(context, { daemons: [paused] });
    await waitUntil(
      "calls are served at it",
      () =>
        callersAtPaused.calls.filter(({ results }) =>
          results.some(({ kind, status }) =>
            kind === "answered" && status === 200
          )
        ).length > 50,
    );
    await fleet.publishEverywhere();
    const lost = [...await callersAtPaused.stop(), ...await callers.stop()]
      .flatMap(({ results }) => results)
      .filter(({ kind }) => kind !== "answered" && kind !== "not-run");
    assert.deepEqual(lost.slice(0, 3), [], `${lost.length} lost`);
    assert.deepEqual(await watch.stop(), []);
  },
);

/**
 * Pauses an upstream until a call is lost there. A pause during which only reads arrive loses none:
 * they are answered from the cache, and after 3 s without an announcement no call is routed there.
 * The upstream is then resumed and paused again.
 */
async function pauseUntilCallLost(
  upstream: FleetUpstream,
  calls: readonly RecordedCall[],
): Promise<void> {
  const isCallLost = () =>
    calls.some(({ results }) => results.some(({ kind }) => kind === "unknown"));
  for (let pauses = 1; pauses <= MAXIMUM_PAUSES; pauses += 1) {
    upstream.pause();
    if (await holdsWithin(RESPONSE_LIMIT_MS, isCallLost)) {
      return;
    }
    upstream.resume();
    const { runs } = await upstream.readRuns();
    await waitUntil(
      "the upstream gets calls again",
      async () =>
        (await upstream.readRuns()).runs > runs + MINIMUM_RUNS_BETWEEN_PAUSES,
    );
  }
  assert.fail(`No call is lost in ${MAXIMUM_PAUSES} pauses of the upstream`);
}

test(
  "when an upstream is paused during calls, callers get a response in time, no key runs twice and no call runs that was refused as not run",
  { timeout: TEST_TIMEOUT_MS },
  async (context) => {
    const fleet = await startProcessFleet(context, {
      upstreams: [
        { daemon: 0, workMilliseconds: 50 },
        { daemon: 1, workMilliseconds: 50 },
        { daemon: 2, workMilliseconds: 50 },
      ],
    });
    const { daemons, upstreams } = fleet;
    await sleep(CLAIM_MARGIN_MS);
    const callers = startProcessCallers(context, {
      daemons,
      routes: "both",
      callers: 12,
    });
    const { calls } = callers;
    await waitUntil("calls before the pause", () => calls.length > 200);
    await pauseUntilCallLost(upstreams[0], calls);
    const during = calls.length;
    await waitUntil(
      "calls during the pause",
      () => calls.length > during + 200,
    );
    upstreams[0].resume();
    const after = calls.length;
    await waitUntil("calls after it", () => calls.length > after + 200);
    await callers.stop();
    await sleep(500);
    await assertRunsMatch(calls, upstreams);
    const answers = calls.flatMap((call) => call.results);
    const bad = answers.filter(({ kind, duration }) =>
      kind === "cut" || kind === "unreachable" || duration > RESPONSE_LIMIT_MS
    );
    assert.deepEqual(bad.slice(0, 3), [], `${bad.length} of ${answers.length}`);
  },
);

test(
  "calls at the other daemons are served while a paused daemon is suspected and declared dead",
  {
    timeout: TEST_TIMEOUT_MS,
  },
  async (context) => {
    const fleet = await startProcessFleet(context, {
      upstreams: [{ daemon: 0 }, { daemon: 1 }],
    });
    const [first, second, paused] = fleet.daemons;
    await sleep(ESTABLISH_MARGIN_MS);
    const callers = startProcessCallers(context, { daemons: [first, second] });
    paused.pause();
    await waitUntil(
      "the paused daemon is declared dead",
      () =>
        everyAsync(
          [first, second],
          async (daemon) => !await isMember(daemon, paused),
        ),
    );
    assertAllServed(await callers.stop());
  },
);
