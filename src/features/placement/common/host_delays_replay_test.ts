import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { VirtualClock } from "../../../base/common/clock.ts";
import { createRandomSource } from "../../../base/common/random_source.ts";
import { chooseGate } from "./gate_choice.ts";
import { createHostDelays } from "./host_delays.ts";

const HOSTS = 13;
const MEAN_SERVICE_MS = 90;
const OBJECTIVE_MS = 300;
const ADDED_DELAY_MS = 200;

interface SimulationResult {
  /** Shares of the calls that are sent to the slow hosts, during and after the added delay. */
  readonly shareToSlowHosts: number;
  readonly shareToSlowHostsAfterwards: number;
  readonly shareWithinObjective: number;
}

/** Two of 13 hosts delay each call by 200 ms during the first 10 of 25 s. */
function simulate(usesHostDelays: boolean): SimulationResult {
  const clock = new VirtualClock();
  const random = createRandomSource(5);
  const delays = createHostDelays();
  const counts = {
    during: 0,
    after: 0,
    slowDuring: 0,
    slowAfter: 0,
    withinObjective: 0,
  };

  function arrive(): void {
    const startedAt = clock.now();
    const placed = chooseGate(
      Array.from({ length: HOSTS }, (_, index) => ({
        host: String(index),
        failureDomain: "east",
        load: {
          running: 2,
          waiting: 0,
          limit: 14,
          relativeServiceTime: 1,
          failureRate: 0,
        },
        outstanding: 0,
        isCold: false,
        isUnresponsive: false,
        hostDelay: usesHostDelays
          ? delays.current(String(index), startedAt)
          : 0,
      })),
      {
        meanServiceMilliseconds: MEAN_SERVICE_MS,
        objectiveMilliseconds: OBJECTIVE_MS,
        transferredBytes: 5_000,
        ownHost: "own",
        ownFailureDomain: "east",
      },
      random,
    );
    const { host } = placed!.candidate;
    const isSlowHost = Number(host) < 2;
    const isDuringDelay = startedAt < 10_000;
    const addedDelay = isSlowHost && isDuringDelay ? ADDED_DELAY_MS : 0;
    const work = MEAN_SERVICE_MS * (0.5 + random.nextFraction());
    counts[isDuringDelay ? "during" : "after"] += 1;
    if (isSlowHost) {
      counts[isDuringDelay ? "slowDuring" : "slowAfter"] += 1;
    }
    clock.schedule(work + addedDelay, () => {
      delays.record(host, clock.now() - startedAt - work, clock.now());
      counts.withinObjective += clock.now() - startedAt <= OBJECTIVE_MS ? 1 : 0;
    });
  }

  for (let at = 0; at < 25_000; at += 12) {
    clock.schedule(at, arrive);
  }
  clock.advance(30_000);
  return {
    shareToSlowHosts: counts.slowDuring / counts.during,
    shareToSlowHostsAfterwards: counts.slowAfter / counts.after,
    shareWithinObjective: counts.withinObjective /
      (counts.during + counts.after),
  };
}

describe("two of 13 hosts that add a delay which their load does not explain", () => {
  test("get less than a third of their calls while they are slow, and over half again afterwards", (context) => {
    const measured = simulate(true);
    const unmeasured = simulate(false);
    context.diagnostic(`measured ${JSON.stringify(measured)}`);
    context.diagnostic(`unmeasured ${JSON.stringify(unmeasured)}`);
    assert.ok(measured.shareToSlowHosts < unmeasured.shareToSlowHosts / 3);
    assert.ok(
      measured.shareToSlowHostsAfterwards >
        0.5 * unmeasured.shareToSlowHostsAfterwards,
    );
  });
});

describe("host delay after recorded calls", () => {
  const cases = [
    { name: "a few milliseconds count as 0", delays: [4, 6, 5], isZero: true },
    {
      name: "calls faster than expected count as 0",
      delays: [-80, -20],
      isZero: true,
    },
    { name: "100 ms count", delays: [100, 90], isZero: false },
    {
      name: "an old delay has decayed to 0",
      delays: [300, 300],
      waits: 12_000,
      isZero: true,
    },
  ];
  for (const { name, delays, waits = 0, isZero } of cases) {
    test(name, () => {
      const hostDelays = createHostDelays();
      delays.forEach((delay, at) => hostDelays.record("host", delay, at));
      assert.equal(
        hostDelays.current("host", delays.length + waits) === 0,
        isZero,
      );
    });
  }
});
