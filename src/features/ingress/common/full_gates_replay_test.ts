import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { VirtualClock } from "../../../base/common/clock.ts";
import { createRandomSource } from "../../../base/common/random_source.ts";
import { createFullGates } from "./full_gates.ts";

const GATES = 9;
const DAEMONS = 13;
const SLOTS = 14;
const MEAN_SERVICE_MS = 90;
/** Maximum running and queued calls at a gate; further calls could not complete in time. */
const MAXIMUM_CALLS = SLOTS * 2;
const MAXIMUM_OFFERS = 3;
const RANK = 2;

interface SimulationResult {
  readonly served: number;
  readonly offersPerRefusal: number;
}

function simulate(usesFullGates: boolean, load: number): SimulationResult {
  const clock = new VirtualClock();
  const random = createRandomSource(11);
  const occupied = Array.from({ length: GATES }, () => 0);
  const queues = Array.from({ length: GATES }, () => [] as (() => void)[]);
  const fullGatesByDaemon = Array.from({ length: DAEMONS }, createFullGates);
  let calls = 0;
  let served = 0;
  let refused = 0;
  let offersOfRefused = 0;

  function start(gate: number): void {
    clock.schedule(MEAN_SERVICE_MS * (0.5 + random.nextFraction()), () => {
      occupied[gate] -= 1;
      queues[gate].shift()?.();
    });
  }

  function arrive(): void {
    calls += 1;
    const fullGates = fullGatesByDaemon[random.nextInteger(DAEMONS)];
    const first = random.nextInteger(GATES);
    let offers = 0;
    for (let next = 0; next < GATES && offers < MAXIMUM_OFFERS; next += 1) {
      const gate = (first + next) % GATES;
      const host = String(gate);
      const isKnownFull = usesFullGates &&
        fullGates.isFull(host, RANK, clock.now());
      // If all gates are known to be full, the last one is tried anyway.
      if (isKnownFull && (offers > 0 || next < GATES - 1)) {
        continue;
      }
      offers += 1;
      if (occupied[gate] < MAXIMUM_CALLS) {
        occupied[gate] += 1;
        served += 1;
        if (occupied[gate] <= SLOTS) {
          start(gate);
        } else {
          queues[gate].push(() => start(gate));
        }
        return;
      }
      fullGates.recordFull(host, RANK, clock.now());
    }
    refused += 1;
    offersOfRefused += offers;
  }

  const perSecond = load * GATES * SLOTS * 1_000 / MEAN_SERVICE_MS;
  for (let at = 0; at < 10_000;) {
    at += random.nextFraction() * 2_000 / perSecond;
    clock.schedule(at, arrive);
  }
  clock.advance(12_000);
  return {
    served: served / calls,
    offersPerRefusal: offersOfRefused / Math.max(1, refused),
  };
}

describe("a service under sustained overload whose gates refuse calls", () => {
  const cases = [
    { name: "120% of capacity", load: 1.2 },
    { name: "twice the capacity", load: 2 },
  ];
  for (const { name, load } of cases) {
    test(`${name}: remembering full gates serves as many calls with less than half of the offers per refused call`, (context) => {
      const withMemory = simulate(true, load);
      const withoutMemory = simulate(false, load);
      context.diagnostic(`with memory ${JSON.stringify(withMemory)}`);
      context.diagnostic(`without memory ${JSON.stringify(withoutMemory)}`);
      assert.ok(withMemory.served > withoutMemory.served - 0.01);
      assert.ok(
        withMemory.offersPerRefusal < withoutMemory.offersPerRefusal / 2,
      );
    });
  }
});

describe("a gate that refused a call of rank 2", () => {
  const cases = [
    { name: "an equally urgent call", rank: 2, at: 50, isFull: true },
    { name: "a less urgent call", rank: 3, at: 50, isFull: true },
    { name: "a more urgent call", rank: 1, at: 50, isFull: false },
    {
      name: "an equally urgent call 150 ms later",
      rank: 2,
      at: 150,
      isFull: false,
    },
  ];
  for (const { name, rank, at, isFull } of cases) {
    test(`${name} is ${isFull ? "not " : ""}offered to it`, () => {
      const gates = createFullGates();
      gates.recordFull("host", 2, 0);
      assert.equal(gates.isFull("host", rank, at), isFull);
    });
  }
});
