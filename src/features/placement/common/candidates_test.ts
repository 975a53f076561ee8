import assert from "node:assert/strict";
import { test } from "node:test";
import { VirtualClock } from "../../../base/common/clock.ts";
import { type CandidateSources, listCandidates } from "./candidates.ts";

const LOAD = {
  running: 0,
  waiting: 0,
  limit: 4,
  relativeServiceTime: 1,
  failureRate: 0,
};

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
    gates: { countOutstanding: () => 0, isUnresponsive: () => false },
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
