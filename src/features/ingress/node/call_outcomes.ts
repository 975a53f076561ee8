/**
 * Acts on the outcome of a call at a gate: delivers it, asks the next gate, or ends the call.
 *
 * @module
 */

import type { HostName } from "../../../world/common/names.ts";
import type { GateOutcome } from "../../gate/common/gate_call.ts";
import { createNotRunReply } from "../common/local_reply.ts";
import {
  decideNextStep,
  isCapacityRefusal,
  isFullForAll,
} from "../common/next_step.ts";
import { hasReachedInstance, isSuccess } from "../common/outcome_properties.ts";
import type { RouteMeasurements } from "../common/route_measurements.ts";
import type { CallEnding } from "./call_ending.ts";
import type { CallOffers } from "./call_offers.ts";
import type { CallPlacement } from "./call_placement.ts";
import type { IngressCall } from "./ingress_call.ts";
import type { IngressOptions } from "./ingress_options.ts";

export interface CallOutcomeParts {
  readonly measurements: RouteMeasurements;
  readonly placement: CallPlacement;
  readonly ending: CallEnding;
  readonly offers: () => CallOffers;
}

export interface CallOutcomes {
  /** Acts on an outcome; `host` is undefined if there was no gate to offer the call to. */
  handleOutcome(
    call: IngressCall,
    host: HostName | undefined,
    outcome: GateOutcome,
  ): void;
}

export function createCallOutcomes(
  { clock, log, accounts }: Pick<IngressOptions, "clock" | "log" | "accounts">,
  { measurements, placement, ending, offers }: CallOutcomeParts,
): CallOutcomes {
  function handleOutcome(
    call: IngressCall,
    host: HostName | undefined,
    outcome: GateOutcome,
  ): void {
    if (call.isEnded) {
      return;
    }
    recordOutcome(call, host, outcome);
    if (call.pendingOffers.size > 0 && !isSuccess(outcome)) {
      logStep(call, host, outcome, "await-other");
      return;
    }
    const now = clock.now();
    const next = decideNextStep(outcome, {
      kind: call.route.kind,
      instancesReached: call.instancesReached,
      fullGateCount: call.fullGateCount,
      protectsParent: call.parent !== undefined && accounts() !== undefined,
      maximumInstances: call.route.maximumInstances,
      mayHaveRun: call.mayHaveRun,
      hasCandidate: () => placement.hasCandidate(call),
      timeLeft: offers().timeLeftFor(call, now),
      meanServiceMilliseconds: measurements.meanServiceTime(call.route),
    }, () => offers().takeRetry(call, now));
    if (next.type !== "deliver" || !isSuccess(outcome)) {
      logStep(call, host, outcome, next.type);
    }
    switch (next.type) {
      case "deliver":
        if (outcome.type === "answer") {
          ending.deliverResponse(call, outcome);
        }
        break;
      case "ask-next":
        offers().offerToNextGate(call);
        break;
      case "refuse":
        call.parent?.recordNestedRefusal();
        ending.endWithLocalReply(
          call,
          createNotRunReply(
            "No instance can serve the call in time",
            next.retryAfter,
          ),
        );
        break;
      case "fail":
        ending.endWithLocalReply(call, {
          status: next.status,
          message: "The call failed and may have been executed",
        });
        break;
    }
  }

  function recordOutcome(
    call: IngressCall,
    host: HostName | undefined,
    outcome: GateOutcome,
  ): void {
    measurements.recordOutcome(call.route.name, outcome);
    if (isCapacityRefusal(outcome)) {
      call.fullGateCount += 1;
      if (host !== undefined && isFullForAll(outcome)) {
        placement.recordFull(call, host);
      }
    }
    if (hasReachedInstance(outcome)) {
      call.instancesReached += 1;
    }
  }

  function logStep(
    call: IngressCall,
    host: HostName | undefined,
    outcome: GateOutcome,
    next: string,
  ): void {
    log.write("info", "call.step", {
      request: call.identity,
      route: call.route.name,
      kind: call.route.kind,
      nested: call.parent !== undefined,
      rank: call.rank,
      gate: host,
      outcome: outcome.type,
      reason: "reason" in outcome ? outcome.reason : undefined,
      status: "status" in outcome ? outcome.status : undefined,
      next,
      reached: call.instancesReached,
      timeLeft: Math.round(call.deadlineAt - clock.now()),
    });
  }

  return { handleOutcome };
}
