/**
 * Places calls: chooses the gate to which a call is offered next.
 *
 * @module
 */

import type { HostName } from "../../../world/common/names.ts";
import { sampleCandidates } from "../../placement/common/candidate_sample.ts";
import type { VersionedCandidate } from "../../placement/common/candidates.ts";
import {
  chooseGate,
  type GatePlacement,
} from "../../placement/common/gate_choice.ts";
import { selectCandidates } from "../common/candidate_selection.ts";
import { createFullGates } from "../common/full_gates.ts";
import type { RouteMeasurements } from "../common/route_measurements.ts";
import type { IngressCall } from "./ingress_call.ts";
import type { IngressOptions } from "./ingress_options.ts";

export interface CallPlacement {
  /** Undefined if there is no gate to which the call has not been offered. */
  placeCall(call: IngressCall): GatePlacement<VersionedCandidate> | undefined;
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

  /**
   * Never true for nested calls, since refusing one wastes the work of its parent, nor for the own gate,
   * since offering a call to it needs no message.
   */
  function isKnownFull(call: IngressCall, host: HostName): boolean {
    return call.parent === undefined && host !== options.host &&
      fullGates.isFull(host, call.rank, clock.now());
  }

  function listCandidates(call: IngressCall): readonly VersionedCandidate[] {
    const all = options.candidates(call.service);
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

  function placeCall(
    call: IngressCall,
  ): GatePlacement<VersionedCandidate> | undefined {
    const origin = {
      ownHost: options.host,
      ownFailureDomain: options.failureDomain,
    };
    const sampled = sampleCandidates(
      listCandidates(call),
      origin,
      options.random,
    );
    return chooseGate(sampled, {
      ...origin,
      meanServiceMilliseconds: measurements.meanServiceTime(call.route),
      objectiveMilliseconds: call.route.objectiveMilliseconds,
      transferredBytes: call.body.length +
        measurements.meanResponseBytes(call.route.name),
    }, options.random);
  }

  return {
    placeCall,
    hasCandidate: (call) => listCandidates(call).length > 0,
    recordFull: (call, host) =>
      fullGates.recordFull(host, call.rank, clock.now()),
  };
}
