/**
 * Places calls: chooses the gate to which a call is offered next.
 *
 * @module
 */

import type { HostName, ServiceName } from "../../../world/common/names.ts";
import { sampleCandidates } from "../../placement/common/candidate_sample.ts";
import type { VersionedCandidate } from "../../placement/common/candidates.ts";
import {
  chooseGate,
  type GatePlacement,
  type PlacementCall,
} from "../../placement/common/gate_choice.ts";
import {
  createRoomOfDomains,
  type RoomOfDomains,
} from "../../placement/common/room_of_domains.ts";
import {
  chooseGateBySpeed,
  knowsSpeeds,
} from "../../placement/common/speed_aware_choice.ts";
import { selectCandidates } from "../common/candidate_selection.ts";
import { createFullGates } from "../common/full_gates.ts";
import { mayReturn } from "../common/next_step.ts";
import type { RouteMeasurements } from "../common/route_measurements.ts";
import type { IngressCall } from "./ingress_call.ts";
import type { IngressOptions } from "./ingress_options.ts";

/**
 * No call is returned while each failure domain has more calls than this multiple of its slots: the next gate would
 * be full as well. A lower bound loses calls within the objective at twice the usual demand.
 */
const MAXIMUM_UTILIZATION = 1.5;

export interface CallPlace extends GatePlacement<VersionedCandidate> {
  /** Whether the gate may return the call instead of queueing it. */
  readonly mayBeReturned: boolean;
}

export interface CallPlacement {
  /** Undefined if there is no gate to which the call has not been offered. */
  placeCall(call: IngressCall): CallPlace | undefined;
  hasCandidate(call: IngressCall): boolean;
  /** Records that a gate had no capacity for the call. */
  recordFull(call: IngressCall, host: HostName): void;
}

export function createCallPlacement(
  options: IngressOptions,
  measurements: RouteMeasurements,
): CallPlacement {
  const { clock } = options;
  const fullGates = createFullGates();
  const roomByService = new Map<ServiceName, RoomOfDomains>();

  /**
   * Never true for nested calls, since refusing one wastes the work of its parent, nor for the own gate,
   * since offering a call to it needs no message.
   */
  function isKnownFull(call: IngressCall, host: HostName): boolean {
    return call.parent === undefined && host !== options.host &&
      fullGates.isFull(host, call.rank, clock.now());
  }

  function listCandidates(
    call: IngressCall,
    all = options.candidates(call.service),
  ): readonly VersionedCandidate[] {
    const selectExcept = (isExcluded: (host: HostName) => boolean) =>
      selectCandidates(all, {
        excludedHosts: {
          has: (host) => call.offeredHosts.has(host) || isExcluded(host),
        },
        versionPreference: call.versionPreference,
        wasOffered: call.fullGateCount > 0 || call.instancesReached > 0 ||
          call.pendingOffers.size > 0,
      });
    const notFull = selectExcept((host) => isKnownFull(call, host));
    return notFull.length > 0 || call.fullGateCount > 0
      ? notFull
      : selectExcept(() => false);
  }

  function placeCall(call: IngressCall): CallPlace | undefined {
    const origin = {
      ownHost: options.host,
      ownFailureDomain: options.failureDomain,
    };
    const all = options.candidates(call.service);
    const candidates = listCandidates(call, all);
    const properties = {
      ...origin,
      meanServiceMilliseconds: measurements.meanServiceTime(call.route),
      objectiveMilliseconds: call.route.objectiveMilliseconds,
      transferredBytes: call.body.length +
        measurements.meanResponseBytes(call.route.name),
    };
    if (knowsSpeeds(candidates) || hasAccounts()) {
      return placeBySpeed(call, properties, { all, candidates });
    }
    const sampled = sampleCandidates(candidates, origin, options.random);
    const placed = chooseGate(sampled, properties, options.random);
    return placed && { ...placed, mayBeReturned: false };
  }

  function placeBySpeed(
    call: IngressCall,
    properties: PlacementCall,
    { all, candidates }: {
      readonly all: readonly VersionedCandidate[];
      readonly candidates: readonly VersionedCandidate[];
    },
  ): CallPlace | undefined {
    const now = clock.now();
    const utilization = roomOf(call.service).summarize(all, now);
    const placed = chooseGateBySpeed(candidates, {
      ...properties,
      serviceMeanMilliseconds: measurements.meanServiceTimeOf(call.service) ??
        properties.meanServiceMilliseconds,
      objectiveLeft: call.arrivedAt + call.route.objectiveMilliseconds - now,
    }, {
      random: options.random,
      utilization,
    });
    return placed && {
      ...placed,
      mayBeReturned: readsReturns(placed.candidate) &&
        mayReturn(call.fullGateCount) &&
        Math.min(...utilization.values()) < MAXIMUM_UTILIZATION &&
        candidates.some((candidate) =>
          candidate !== placed.candidate && isNextGate(call, candidate)
        ),
    };
  }

  /**
   * A daemon that reports no speed may be of a release that does not read the permission, unless callers have
   * accounts: daemons of earlier releases know none.
   */
  function readsReturns({ load }: VersionedCandidate): boolean {
    return load.currentServiceTime !== undefined || hasAccounts();
  }

  function hasAccounts(): boolean {
    return options.accounts() !== undefined;
  }

  /** Whether the call could be offered to this gate next if it came back from another one now. */
  function isNextGate(
    call: IngressCall,
    { host, version }: VersionedCandidate,
  ): boolean {
    return call.versionPreference.isPreferredForRetry(version) &&
      !isKnownFull(call, host);
  }

  function roomOf(service: ServiceName): RoomOfDomains {
    let room = roomByService.get(service);
    if (room === undefined) {
      room = createRoomOfDomains();
      roomByService.set(service, room);
    }
    return room;
  }

  return {
    placeCall,
    hasCandidate: (call) => listCandidates(call).length > 0,
    recordFull: (call, host) =>
      fullGates.recordFull(host, call.rank, clock.now()),
  };
}
