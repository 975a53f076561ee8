/**
 * Finds calls that a daemon lost or aborted during planned work: a stop by SIGTERM or a reload.
 *
 * @module
 */

import type { Milliseconds } from "../src/base/common/milliseconds.ts";
import {
  createCallViolation,
  groupRunsByCall,
  type GuaranteeBounds,
  type Observations,
  type ObservedCall,
  type ObservedRun,
  type ObservedSignal,
  type Violation,
} from "./observations.ts";

/** Caller and daemon start their timers at the two ends of a connection, and times are rounded. */
const CLOCK_TOLERANCE_MS: Milliseconds = 3;
/** Maximum time between the detection of a cut run by the instance and by the caller. */
const CUT_DETECTION_SKEW_MS: Milliseconds = 50;

export function checkStops(
  observations: Observations,
  bounds: GuaranteeBounds,
): Violation[] {
  const runsByCall = groupRunsByCall(observations.runs);
  return observations.calls.flatMap((call) => {
    const runs = runsByCall.get(call.identity) ?? [];
    if (
      reachedDeadline(call) ||
      !isDuringPlannedWork(observations, call, runs, bounds)
    ) {
      return [];
    }
    const elapsed = `${call.endedAt - call.sentAt} ms after it was sent`;
    if (
      isCut(call, runs, bounds) && !isHostDisrupted(observations, call, bounds)
    ) {
      return [
        createCallViolation("stopped-without-cut", call, `cut ${elapsed}`),
      ];
    }
    if (
      isAnsweredByDaemon(call, runs) &&
      !isAnyHostDisrupted(observations, call, bounds)
    ) {
      const { instance } = runs.at(-1)!;
      return [
        createCallViolation(
          "stopped-without-breaking-off",
          call,
          `${call.status} ${elapsed}, while ${instance} was running it`,
        ),
      ];
    }
    return [];
  });
}

/** Without a disruption, daemons may lose a few calls on persistent connections. */
export function checkUnexplainedCuts(
  observations: Observations,
  bounds: GuaranteeBounds,
): Violation[] {
  const executedCalls = new Set(
    observations.runs.map(({ identity }) => identity),
  );
  const cut = observations.calls.filter((call) =>
    call.status === 0 && executedCalls.has(call.identity) &&
    !reachedDeadline(call) &&
    !observations.disruptions.some((each) =>
      each.host === call.host && isNear(each, call, bounds)
    )
  );
  return cut.length <= bounds.maximumUnexplainedCuts
    ? []
    : cut.map((call) => createCallViolation("calm-without-cut", call, "cut"));
}

function reachedDeadline(call: ObservedCall): boolean {
  return call.endedAt - call.sentAt + CLOCK_TOLERANCE_MS >=
    Math.min(call.deadline, call.routeTimeout);
}

function isDuringPlannedWork(
  { stops, reloads }: Observations,
  call: ObservedCall,
  runs: readonly ObservedRun[],
  { grace, stopSlack, applyWithin, longCallSentWithin }: GuaranteeBounds,
): boolean {
  const isNearSignal = (signal: ObservedSignal, within: Milliseconds) =>
    signal.host === call.host && call.endedAt >= signal.at &&
    call.sentAt <= signal.at + within;
  return reloads.some((reload) => isNearSignal(reload, applyWithin)) ||
    stops.some((stop) => {
      const isLong = call.sentAt <= stop.at + longCallSentWithin &&
        runs.some(({ endedAt }) => endedAt >= stop.at + (5 / 6) * grace);
      return isNearSignal(stop, grace + stopSlack) && !isLong;
    });
}

/** The connection ended before the whole response, although the daemon had read the whole call. */
function isCut(
  call: ObservedCall,
  runs: readonly ObservedRun[],
  { lossSlack }: GuaranteeBounds,
): boolean {
  return call.status === 0 && call.wasConnected &&
    (runs.length > 0 ||
      (!call.isBehind &&
        call.endedAt - call.lastByteAt - call.observerDelay > lossSlack));
}

/** The daemon sent its own response while an instance was running the call. */
function isAnsweredByDaemon(
  call: ObservedCall,
  runs: readonly ObservedRun[],
): boolean {
  return call.status >= 400 && !call.isFromInstance &&
    runs.some((run) =>
      run.outcome === "cut" && run.at <= call.endedAt &&
      run.endedAt >= call.endedAt - CUT_DETECTION_SKEW_MS
    );
}

/** Faults of other hosts and of the store do not excuse a call that ends without a response. */
function isHostDisrupted(
  { disruptions }: Observations,
  call: ObservedCall,
  bounds: GuaranteeBounds,
): boolean {
  return disruptions.some((each) =>
    !each.isPlanned && each.host === call.host && isNear(each, call, bounds)
  );
}

function isAnyHostDisrupted(
  { disruptions }: Observations,
  call: ObservedCall,
  bounds: GuaranteeBounds,
): boolean {
  return disruptions.some((each) =>
    !each.isPlanned && each.host !== undefined && isNear(each, call, bounds)
  );
}

function isNear(
  { from, until }: {
    readonly from: Milliseconds;
    readonly until: Milliseconds;
  },
  call: ObservedCall,
  { stableFor }: GuaranteeBounds,
): boolean {
  return from <= call.endedAt && until >= call.sentAt - stableFor;
}
