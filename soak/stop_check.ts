/**
 * Which calls a daemon lost or broke off around planned work: a stop by SIGTERM or a reload.
 *
 * @module
 */

import type { Milliseconds } from "../src/base/common/milliseconds.ts";
import {
  groupRuns,
  type Observations,
  type PromiseBounds,
  reportCall,
  type SeenCall,
  type SeenRun,
  type SeenSignal,
  type Violation,
} from "./observations.ts";

/** The clocks of caller and daemon start at the two ends of a connection, and are rounded. */
const ROUNDING_MS: Milliseconds = 3;
/** An instance whose run is cut and the caller hear of it within this time of each other. */
const SAME_MOMENT_MS: Milliseconds = 50;

export function checkStops(
  seen: Observations,
  bounds: PromiseBounds,
): Violation[] {
  const runsOf = groupRuns(seen.runs);
  return seen.calls.flatMap((call) => {
    const runs = runsOf.get(call.identity) ?? [];
    if (hadItsTime(call) || !isInPlannedWork(seen, call, runs, bounds)) {
      return [];
    }
    const after = `${call.endedAt - call.sentAt} ms after it was sent`;
    if (isCut(call, runs, bounds) && !isDisturbed(seen, call, bounds)) {
      return [reportCall("stopped-without-cut", call, `cut ${after}`)];
    }
    if (isReplaced(call, runs) && !isDisturbedAnywhere(seen, call, bounds)) {
      const { instance } = runs.at(-1)!;
      return [
        reportCall(
          "stopped-without-breaking-off",
          call,
          `${call.status} ${after}, while ${instance} was at work`,
        ),
      ];
    }
    return [];
  });
}

/** Daemons may lose some calls on kept connections at any other time, but not more than a few. */
export function checkCalmCuts(
  seen: Observations,
  bounds: PromiseBounds,
): Violation[] {
  const ran = new Set(seen.runs.map(({ identity }) => identity));
  const cut = seen.calls.filter((call) =>
    call.status === 0 && ran.has(call.identity) && !hadItsTime(call) &&
    !seen.disruptions.some((each) =>
      each.host === call.host && isNear(each, call, bounds)
    )
  );
  return cut.length <= bounds.calmCuts
    ? []
    : cut.map((call) => reportCall("calm-without-cut", call, "cut"));
}

function hadItsTime(call: SeenCall): boolean {
  return call.endedAt - call.sentAt + ROUNDING_MS >=
    Math.min(call.deadline, call.routeTimeout);
}

function isInPlannedWork(
  { stops, reloads }: Observations,
  call: SeenCall,
  runs: readonly SeenRun[],
  { grace, stopSlack, applyWithin, longCallSentWithin }: PromiseBounds,
): boolean {
  const isNearSignal = (signal: SeenSignal, within: Milliseconds) =>
    signal.host === call.host && call.endedAt >= signal.at &&
    call.sentAt <= signal.at + within;
  return reloads.some((reload) => isNearSignal(reload, applyWithin)) ||
    stops.some((stop) => {
      const isLong = call.sentAt <= stop.at + longCallSentWithin &&
        runs.some(({ endedAt }) => endedAt >= stop.at + (5 / 6) * grace);
      return isNearSignal(stop, grace + stopSlack) && !isLong;
    });
}

/** The connection ended without the whole answer, though the daemon had read the whole call. */
function isCut(
  call: SeenCall,
  runs: readonly SeenRun[],
  { lossSlack }: PromiseBounds,
): boolean {
  return call.status === 0 && call.wasConnected &&
    (runs.length > 0 ||
      (!call.isBehind &&
        call.endedAt - call.lastByteAt - call.observerDelay > lossSlack));
}

/** The daemon gave an answer of its own while an instance was at work on the call. */
function isReplaced(call: SeenCall, runs: readonly SeenRun[]): boolean {
  return call.status >= 400 && !call.isFromInstance &&
    runs.some((run) =>
      run.outcome === "cut" && run.at <= call.endedAt &&
      run.endedAt >= call.endedAt - SAME_MOMENT_MS
    );
}

/** A fault of another host is no reason to end a call without an answer, nor is one of the store. */
function isDisturbed(
  { disruptions }: Observations,
  call: SeenCall,
  bounds: PromiseBounds,
): boolean {
  return disruptions.some((each) =>
    !each.isPlanned && each.host === call.host && isNear(each, call, bounds)
  );
}

function isDisturbedAnywhere(
  { disruptions }: Observations,
  call: SeenCall,
  bounds: PromiseBounds,
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
  call: SeenCall,
  { stableFor }: PromiseBounds,
): boolean {
  return from <= call.endedAt && until >= call.sentAt - stableFor;
}
