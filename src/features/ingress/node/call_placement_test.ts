import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { VirtualClock } from "../../../base/common/clock.ts";
import { createRandomSource } from "../../../base/common/random_source.ts";
import { sampleCandidates } from "../../placement/common/candidate_sample.ts";
import type { VersionedCandidate } from "../../placement/common/candidates.ts";
import { chooseGate } from "../../placement/common/gate_choice.ts";
import { createRouteMeasurements } from "../common/route_measurements.ts";
import { createCallPlacement } from "./call_placement.ts";
import { FIXTURE_ROUTE } from "./ingress_fixture.ts";
import type { IngressCall } from "./ingress_call.ts";
import type { IngressOptions } from "./ingress_options.ts";

const ORIGIN = { ownHost: "own", ownFailureDomain: "east" };
const ANY_VERSION = {
  isPreferred: () => true,
  isPreferredForRetry: () => true,
  isAllowed: () => true,
  allowsAnyAsFallback: true,
  maximumInstances: undefined,
};

/** Gates of which every other one reports a speed, or none. */
function createCandidates(
  count: number,
  reportsSpeed: (index: number) => boolean,
): readonly VersionedCandidate[] {
  return Array.from({ length: count }, (_, index) => ({
    host: `host-${index}`,
    failureDomain: index % 2 === 0 ? "east" : "west",
    version: "v1",
    load: {
      running: index % 14,
      waiting: 0,
      limit: 13,
      relativeServiceTime: 1 + index % 3 / 10,
      failureRate: 0,
      ...(reportsSpeed(index) ? { currentServiceTime: 1.5 } : {}),
    },
    currentServiceTime: reportsSpeed(index) ? 1.4 : undefined,
    loadAge: 100 * index,
    offeredSinceReport: index % 4,
    outstanding: index % 5,
    isCold: false,
    isUnresponsive: false,
    hostDelay: 0,
  }));
}

function createPlacement(
  candidates: readonly VersionedCandidate[],
  { hasAccounts = false } = {},
) {
  const measurements = createRouteMeasurements();
  const options = {
    clock: new VirtualClock(1_000),
    random: createRandomSource(5),
    host: ORIGIN.ownHost,
    failureDomain: ORIGIN.ownFailureDomain,
    candidates: () => candidates,
    accounts: () => hasAccounts ? {} : undefined,
  } as unknown as IngressOptions;
  return createCallPlacement(options, measurements);
}

function createCall(fullGateCount = 0): IngressCall {
  return {
    route: FIXTURE_ROUTE,
    service: "booking",
    versionPreference: ANY_VERSION,
    arrivedAt: 1_000,
    rank: 1,
    parent: undefined,
    body: Buffer.alloc(10),
    offeredHosts: new Set(),
    pendingOffers: new Set(),
    instancesReached: 0,
    fullGateCount,
  } as unknown as IngressCall;
}

describe("the placement of a call", () => {
  // Guards against a change of fleets whose instances state no speed.
  test("is that by load alone while no instance states a speed", () => {
    const candidates = createCandidates(40, () => false);
    const placement = createPlacement(candidates);
    const random = createRandomSource(5);
    for (let index = 0; index < 500; index += 1) {
      const expected = chooseGate(
        sampleCandidates(candidates, ORIGIN, random),
        {
          ...ORIGIN,
          meanServiceMilliseconds: FIXTURE_ROUTE.objectiveMilliseconds / 3,
          objectiveMilliseconds: FIXTURE_ROUTE.objectiveMilliseconds,
          transferredBytes: 10,
        },
        random,
      );
      assert.deepEqual(placement.placeCall(createCall()), {
        ...expected,
        mayBeReturned: false,
      });
    }
  });

  // Guards against callers with accounts whose calls wait at full instances of few slots, or leave their domain.
  test("is that by room where callers have accounts, though no instance states a speed", () => {
    const placement = createPlacement(createCandidates(40, () => false), {
      hasAccounts: true,
    });
    for (let index = 0; index < 500; index += 1) {
      const { candidate, mayBeReturned } = placement.placeCall(createCall())!;
      assert.equal(candidate.failureDomain, ORIGIN.ownFailureDomain);
      assert.equal(mayBeReturned, true);
    }
  });

  // Guards against offers that a daemon of the release before does not read: it reports no speed.
  test("permits returns only to gates that report a speed", () => {
    const placement = createPlacement(
      createCandidates(40, (index) => index % 4 === 0),
    );
    const permitted = new Set<boolean>();
    for (let index = 0; index < 500; index += 1) {
      const { candidate, mayBeReturned } = placement.placeCall(createCall())!;
      const { currentServiceTime } = candidate.load;
      assert.equal(mayBeReturned, currentServiceTime !== undefined);
      permitted.add(mayBeReturned);
    }
    assert.equal(permitted.size, 2);
  });

  // Guards against calls that are refused by the last gate that is asked though it could queue them.
  test("permits no return by the last gate that is asked", () => {
    const placement = createPlacement(createCandidates(40, () => true));
    const permitted = [0, 1, 2].map((count) =>
      placement.placeCall(createCall(count))!.mayBeReturned
    );
    assert.deepEqual(permitted, [true, true, false]);
    const single = createPlacement(createCandidates(1, () => true));
    assert.equal(single.placeCall(createCall())!.mayBeReturned, false);
  });

  // Guards against calls that come back from a gate that could queue them and are then refused for want of another one.
  test("permits no return while all other gates are known to be full", () => {
    const candidates = createCandidates(4, () => true);
    const placement = createPlacement(candidates);
    for (const { host } of candidates.slice(1)) {
      placement.recordFull(createCall(), host);
    }
    const oneLeft = placement.placeCall(createCall())!;
    assert.equal(oneLeft.candidate.host, candidates[0].host);
    assert.equal(oneLeft.mayBeReturned, false);
    placement.recordFull(createCall(), candidates[0].host);
    for (let index = 0; index < 20; index += 1) {
      assert.equal(placement.placeCall(createCall())!.mayBeReturned, false);
    }
  });

  // Guards against refusals that cost every daemon work while no gate has room for a returned call.
  test("permits no return while all failure domains have a half more calls than slots", () => {
    const permits = (waitingInEast: number, waitingInWest: number) =>
      createPlacement(
        createCandidates(4, () => true).map((candidate) => ({
          ...candidate,
          loadAge: 0,
          load: {
            ...candidate.load,
            running: 10,
            limit: 10,
            waiting: candidate.failureDomain === "east"
              ? waitingInEast
              : waitingInWest,
          },
        })),
      ).placeCall(createCall())!.mayBeReturned;
    assert.equal(permits(5, 4), true);
    assert.equal(permits(4, 5), true);
    assert.equal(permits(5, 5), false);
  });

  test("permits no return if no version is preferred for a call that comes back", () => {
    const placement = createPlacement(createCandidates(4, () => true));
    const call = {
      ...createCall(),
      versionPreference: { ...ANY_VERSION, isPreferredForRetry: () => false },
    };
    assert.equal(placement.placeCall(call)!.mayBeReturned, false);
  });
});
