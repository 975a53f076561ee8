/**
 * Offers calls to gates, and hedges reads that take long.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import { deferAfterStall } from "../../../base/node/loop_delay.ts";
import type { HostName } from "../../../world/common/names.ts";
import {
  copyEndToEndHeaders,
  formatHeaderLines,
} from "../../attempt/common/call_headers.ts";
import type { GateOutcome } from "../../gate/common/gate_call.ts";
import type { VersionedCandidate } from "../../placement/common/candidates.ts";
import { computeHedgeDelay } from "../common/hedge_delay.ts";
import {
  hasReachedInstance,
  serviceTimeOf,
} from "../common/outcome_properties.ts";
import type { RouteMeasurements } from "../common/route_measurements.ts";
import type { ServiceRetryBudgets } from "../common/service_retry_budgets.ts";
import { type CallEnding, DEFAULT_RETRY_AFTER_MS } from "./call_ending.ts";
import type { CallPlace, CallPlacement } from "./call_placement.ts";
import {
  type IngressCall,
  type PendingOffer,
  retryClassOf,
} from "./ingress_call.ts";
import type { IngressOptions } from "./ingress_options.ts";

/** Limits how long a retryable call waits for a lost link to resume; it can be retried elsewhere. */
const RETRYABLE_RESUME_MS: Milliseconds = 300;

export interface CallOffers {
  /** Offers a call to the best gate that was not asked yet. */
  offerToNextGate(call: IngressCall): void;
  /** Offers reads that wait at a host that does not respond to a second gate. */
  hedgeCallsAt(host: HostName): void;
  /** Takes a retry from the budget, unless one that was taken is unused. */
  takeRetry(call: IngressCall, now: Milliseconds): boolean;
  /** The time left for a call: until its deadline, or until calls are terminated during a stop. */
  timeLeftFor(call: IngressCall, now: Milliseconds): Milliseconds;
}

export interface CallOfferParts {
  readonly measurements: RouteMeasurements;
  readonly retryBudgets: ServiceRetryBudgets;
  readonly placement: CallPlacement;
  readonly ending: CallEnding;
  /** Called with each outcome, and with a refusal without a host if there is no gate. */
  readonly handleOutcome: (
    call: IngressCall,
    host: HostName | undefined,
    outcome: GateOutcome,
  ) => void;
}

export function createCallOffers(
  options: IngressOptions,
  { measurements, retryBudgets, placement, ending, handleOutcome }:
    CallOfferParts,
): CallOffers {
  const { clock, log, headers } = options;
  const { runStep } = ending;
  const droppedHeaders = new Set([
    headers.deadline,
    headers.expectedInstance,
    headers.callerService,
    "content-length",
    "expect",
  ]);
  /** Where callers have keys, the instance learns the account from the daemon only. */
  const droppedAccountHeaders = new Set([
    ...droppedHeaders,
    headers.clientKey,
    headers.clientAccount,
  ]);
  let lastOfferNumber = 0;

  function formatForwardedHeaders(call: IngressCall): string {
    const { rawHeaders } = call.request;
    if (options.accounts() === undefined) {
      return formatHeaderLines(copyEndToEndHeaders(rawHeaders, droppedHeaders));
    }
    const kept = copyEndToEndHeaders(rawHeaders, droppedAccountHeaders);
    // The instance learns of an account only from a key, or from a parent where a key would be needed.
    if (call.account !== undefined && call.route.isPublic !== true) {
      kept.push(headers.clientAccount, call.account);
    }
    return formatHeaderLines(kept);
  }

  function timeLeftFor(call: IngressCall, now: Milliseconds): Milliseconds {
    return Math.min(call.deadlineAt - now, options.timeUntilStopped());
  }

  function offerToNextGate(call: IngressCall): void {
    const placed = placement.placeCall(call);
    if (placed === undefined) {
      handleOutcome(call, undefined, {
        type: "refused",
        reason: "no-instance",
        retryAfter: DEFAULT_RETRY_AFTER_MS,
        reachedInstance: false,
      });
      return;
    }
    sendOffer(call, placed);
  }

  function sendOffer(
    call: IngressCall,
    { candidate, expectedWait, mayBeReturned }: CallPlace,
  ): void {
    const { host, version } = candidate;
    const now = clock.now();
    const timeLeft = timeLeftFor(call, now);
    const meanServiceMilliseconds = measurements.meanServiceTime(call.route);
    const pendingOffer: PendingOffer = {
      host,
      retryTakenAt: call.unusedRetries.pop(),
      ticket: undefined,
    };
    call.offeredHosts.add(host);
    call.pendingOffers.add(pendingOffer);
    lastOfferNumber += 1;
    pendingOffer.ticket = options.gates.offer(host, {
      request: {
        identity: `${options.processIdentity}#${lastOfferNumber}`,
        requestIdentity: call.identity,
        service: call.service,
        version,
        route: call.route.name,
        method: call.request.method ?? "GET",
        target: call.request.url ?? "/",
        headerLines: formatForwardedHeaders(call),
        body: call.body,
        callerService: options.callerService(),
        ...(call.account === undefined ? {} : { account: call.account }),
        isNested: call.parent !== undefined,
        rank: call.rank,
        objectiveInMilliseconds: call.arrivedAt +
          call.route.objectiveMilliseconds - now,
        deadlineInMilliseconds: timeLeft,
        meanServiceMilliseconds,
        ...(mayBeReturned ? { mayBeReturned } : {}),
      },
      resumeTimeout: call.route.kind === "safe"
        ? Math.min(RETRYABLE_RESUME_MS, timeLeft)
        : timeLeft,
      settle: (outcome) => runStep(call, () => settleOffer(outcome)),
    });

    function settleOffer(outcome: GateOutcome): void {
      call.pendingOffers.delete(pendingOffer);
      call.mayHaveRun ||= outcome.type !== "refused";
      if (
        pendingOffer.retryTakenAt !== undefined &&
        !hasReachedInstance(outcome)
      ) {
        call.unusedRetries.push(pendingOffer.retryTakenAt);
      }
      const settledAt = clock.now();
      if (outcome.type === "answer") {
        measurements.recordResponseTime(call.route.name, settledAt - now);
      }
      const serviceTime = serviceTimeOf(outcome);
      if (host !== options.host && serviceTime !== undefined) {
        const explainedTime = expectedWait + serviceTime +
          options.loopDelay();
        options.hostDelays.record(
          host,
          settledAt - now - explainedTime,
          settledAt,
        );
      }
      handleOutcome(call, host, outcome);
    }

    if (call.pendingOffers.has(pendingOffer) && call.route.kind === "safe") {
      scheduleHedge(call, candidate, now);
    }
  }

  function scheduleHedge(
    call: IngressCall,
    { load }: VersionedCandidate,
    now: Milliseconds,
  ): void {
    const objectiveAt = call.arrivedAt + call.route.objectiveMilliseconds;
    const delay = computeHedgeDelay({
      meanServiceMilliseconds: measurements.meanServiceTime(call.route),
      meanResponseMilliseconds: measurements.meanResponseTime(call.route.name),
      relativeServiceTime: load.relativeServiceTime,
      objectiveIn: objectiveAt - now,
    });
    call.hedgeTimer?.dispose();
    call.hedgeTimer = clock.schedule(
      delay,
      () =>
        deferAfterStall(
          options.loopDelay(),
          () => runStep(call, () => sendHedge(call)),
        ),
    );
  }

  function sendHedge(call: IngressCall): void {
    const now = clock.now();
    const meanServiceMilliseconds = measurements.meanServiceTime(call.route);
    if (
      call.isEnded || call.pendingOffers.size !== 1 ||
      call.instancesReached + 1 >= call.route.maximumInstances ||
      timeLeftFor(call, now) < meanServiceMilliseconds
    ) {
      return;
    }
    const placed = placement.placeCall(call);
    if (
      placed === undefined || placed.expectedWait > 0 || !takeRetry(call, now)
    ) {
      return;
    }
    log.write("debug", "call.second-send", {
      request: call.identity,
      route: call.route.name,
      first: [...call.pendingOffers][0].host,
      second: placed.candidate.host,
      after: Math.round(now - call.arrivedAt),
      usual: Math.round(meanServiceMilliseconds),
    });
    sendOffer(call, placed);
  }

  function takeRetry(call: IngressCall, now: Milliseconds): boolean {
    const isTaken = call.unusedRetries.length > 0 ||
      retryBudgets.of(call.service).takeRetry(retryClassOf(call), now);
    if (isTaken && call.unusedRetries.length === 0) {
      call.unusedRetries.push(now);
    }
    return isTaken;
  }

  return {
    offerToNextGate,
    hedgeCallsAt(host) {
      for (const call of ending.activeCalls) {
        if (
          call.route.kind === "safe" &&
          [...call.pendingOffers].some((offer) => offer.host === host)
        ) {
          runStep(call, () => sendHedge(call));
        }
      }
    },
    takeRetry,
    timeLeftFor,
  };
}
