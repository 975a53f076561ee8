import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { VirtualClock } from "../../../base/common/clock.ts";
import type { FleetMember } from "../../fleet/common/fleet.ts";
import { type CandidateSources, listCandidates } from "./candidates.ts";

const LOAD = {
  running: 3,
  waiting: 0,
  limit: 13,
  relativeServiceTime: 1,
  failureRate: 0,
};

function listOthers(load: FleetMember["load"], loadReceivedAt: number) {
  const clock = new VirtualClock(5_000);
  const sources = {
    self: { host: "own", failureDomain: "east" },
    clock,
    gate: { isServing: false },
    gates: {
      countOutstanding: () => 4,
      countOfferedSince: (_host: string, instant: number) =>
        instant === loadReceivedAt ? 2 : 0,
      isUnresponsive: () => false,
    },
    fleet: {
      members: [{
        host: "other",
        failureDomain: "west",
        status: {
          instance: { service: "booking", version: "v1", isServing: true },
          isStopping: false,
        },
        load,
        loadReceivedAt,
        coldUntil: 0,
      }],
    },
    network: { getOverdueTime: () => -1 },
    hostDelays: { current: () => 0 },
    isEvacuated: () => false,
    loopDelay: 0,
  } as unknown as CandidateSources;
  return listCandidates("booking", sources);
}

describe("the candidates of a call", () => {
  // Guards against a figure of a spell that is over.
  test("have the speed of their host faded by the age of its report", () => {
    const [fresh] = listOthers({ ...LOAD, currentServiceTime: 2.5 }, 5_000);
    assert.equal(fresh.currentServiceTime, 2.5);
    const [old] = listOthers({ ...LOAD, currentServiceTime: 2.5 }, 600);
    assert.ok(old.currentServiceTime! > 1 && old.currentServiceTime! < 1.01);
    assert.equal(old.loadAge, 4_400);
    assert.equal(old.offeredSinceReport, 2);
  });

  test("have none if their load report has none", () => {
    assert.equal(listOthers(LOAD, 5_000)[0].currentServiceTime, undefined);
  });
});

function createMember(host: string, failureDomain: string) {
  return {
    host,
    failureDomain,
    load: LOAD,
    coldUntil: 0,
    status: {
      instance: { service: "a", version: "v1", isServing: true },
      isStopping: false,
    },
  };
}

// Guards against offers to a failure domain whose daemons have not heard of its evacuation, or are of an earlier release.
test("the gates of an evacuated failure domain are no candidates, although they say that they serve", () => {
  const sources = {
    self: { host: "own", failureDomain: "north" },
    clock: new VirtualClock(),
    gate: { isServing: false },
    gates: {
      countOutstanding: () => 0,
      countOfferedSince: () => 0,
      isUnresponsive: () => false,
    },
    fleet: {
      members: [createMember("e", "east"), createMember("w", "west")],
    },
    network: { getOverdueTime: () => 0 },
    hostDelays: { current: () => 0 },
    isEvacuated: (failureDomain: string) => failureDomain === "east",
    loopDelay: 0,
  } as unknown as CandidateSources;
  const hosts = listCandidates("a", sources).map(({ host }) => host);
  assert.deepEqual(hosts, ["w"]);
});
