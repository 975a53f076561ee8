import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { VirtualClock } from "../../../base/common/clock.ts";
import { createRandomSource } from "../../../base/common/random_source.ts";
import { chooseGate } from "./gate_choice.ts";
import { createHostDelays } from "./host_delays.ts";

const HOSTS = 13;
const USUAL_MS = 90;
const OBJECTIVE_MS = 300;
const LATE_MS = 200;

interface Replay {
  /** The part of the calls that are sent to late hosts while these are late, and afterwards. */
  readonly toLate: number;
  readonly toLateAfterwards: number;
  readonly inObjective: number;
}

/** Two hosts of 13 hold each call for 200 ms during the first 10 of 25 s. */
function replay(isMeasured: boolean): Replay {
  const clock = new VirtualClock();
  const random = createRandomSource(5);
  const delays = createHostDelays();
  const counts = { before: 0, after: 0, lateBefore: 0, lateAfter: 0, good: 0 };

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
        isSilent: false,
        hostDelay: isMeasured ? delays.current(String(index), startedAt) : 0,
      })),
      {
        usualMilliseconds: USUAL_MS,
        objectiveMilliseconds: OBJECTIVE_MS,
        relayedBytes: 5_000,
        ownHost: "own",
        ownFailureDomain: "east",
      },
      random,
    );
    const { host } = placed!.candidate;
    const isLateHost = Number(host) < 2;
    const isBefore = startedAt < 10_000;
    const held = isLateHost && isBefore ? LATE_MS : 0;
    const work = USUAL_MS * (0.5 + random.nextFraction());
    counts[isBefore ? "before" : "after"] += 1;
    if (isLateHost) {
      counts[isBefore ? "lateBefore" : "lateAfter"] += 1;
    }
    clock.schedule(work + held, () => {
      delays.record(host, clock.now() - startedAt - work, clock.now());
      counts.good += clock.now() - startedAt <= OBJECTIVE_MS ? 1 : 0;
    });
  }

  for (let at = 0; at < 25_000; at += 12) {
    clock.schedule(at, arrive);
  }
  clock.advance(30_000);
  return {
    toLate: counts.lateBefore / counts.before,
    toLateAfterwards: counts.lateAfter / counts.after,
    inObjective: counts.good / (counts.before + counts.after),
  };
}

describe("two hosts of 13 that are late by themselves", () => {
  test("get a third of their calls while they are late, and all when they are not", (context) => {
    const measured = replay(true);
    const blind = replay(false);
    context.diagnostic(`measured ${JSON.stringify(measured)}`);
    context.diagnostic(`blind ${JSON.stringify(blind)}`);
    assert.ok(measured.toLate < blind.toLate / 3);
    assert.ok(measured.toLateAfterwards > 0.5 * blind.toLateAfterwards);
  });
});

describe("what counts as a delay", () => {
  const cases = [
    { name: "some milliseconds do not", delays: [4, 6, 5], isZero: true },
    { name: "less than expected does not", delays: [-80, -20], isZero: true },
    { name: "a tenth of a second does", delays: [100, 90], isZero: false },
    {
      name: "one of long ago does not",
      delays: [300, 300],
      waits: 12_000,
      isZero: true,
    },
  ];
  for (const { name, delays, waits = 0, isZero } of cases) {
    test(name, () => {
      const known = createHostDelays();
      delays.forEach((delay, at) => known.record("host", delay, at));
      assert.equal(known.current("host", delays.length + waits) === 0, isZero);
    });
  }
});
