/**
 * Which promises a run broke, from what callers and instances saw.
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
  type Violation,
} from "./observations.ts";
import { checkCalmCuts, checkStops } from "./stop_check.ts";

/** Each of these says that the call has not run and never will. */
const NOT_RUN = [408, 421, 429, 503];

export function checkPromises(
  seen: Observations,
  bounds: PromiseBounds,
): Violation[] {
  return [
    ...checkAnswers(seen),
    ...checkRuns(seen),
    ...checkTimes(seen, bounds),
    ...checkConfigurations(seen, bounds),
    ...checkDrains(seen, bounds),
    ...checkStops(seen, bounds),
    ...checkCalmCuts(seen, bounds),
    ...checkProcesses(seen, bounds),
    ...checkRecovery(seen, bounds),
  ];
}

function checkAnswers({ calls }: Observations): Violation[] {
  return calls
    .filter(({ status, isOwnAnswer }) =>
      status >= 200 && status < 300 && !isOwnAnswer
    )
    .map((call) => reportCall("own-answer", call, `status ${call.status}`));
}

function checkRuns({ calls, runs, serviceOf }: Observations): Violation[] {
  const violations: Violation[] = [];
  const known = new Map(calls.map((call) => [call.identity, call]));
  for (const [identity, ofCall] of groupRuns(runs)) {
    const call = known.get(identity);
    if (call === undefined) {
      violations.push({
        promise: "known-call",
        call: identity,
        detail: `run by ${ofCall[0].instance}`,
      });
      continue;
    }
    const places = ofCall.map(({ instance, at }) => `${instance}@${at}`);
    if (call.kind !== "safe" && ofCall.length > 1) {
      violations.push(reportCall("at-most-once", call, places.join(", ")));
    }
    if (call.kind !== "safe" && NOT_RUN.includes(call.status)) {
      violations.push(
        reportCall("true-refusal", call, `${call.status}, run by ${places}`),
      );
    }
    for (const { callerService } of ofCall) {
      if (callerService !== serviceOf(call.host)) {
        violations.push(reportCall("caller-service", call, callerService));
      }
    }
  }
  return violations;
}

function checkTimes(seen: Observations, bounds: PromiseBounds): Violation[] {
  return seen.calls
    .filter((call) =>
      call.endedAt - call.sentAt - call.observerDelay >
        call.routeTimeout + bounds.timeoutSlack &&
      !isDisrupted(seen, call, {
        from: call.sentAt - bounds.stableFor,
        until: call.endedAt,
      })
    )
    .map((call) =>
      reportCall("final-in-time", call, `${call.endedAt - call.sentAt} ms`)
    );
}

function checkConfigurations(
  seen: Observations,
  bounds: PromiseBounds,
): Violation[] {
  const violations: Violation[] = [];
  /** For each process, the newest route on which it served a call, and since when. */
  const served = new Map<string, { number: number; at: Milliseconds }[]>();
  const inOrder = seen.calls.filter(({ routeNumber }) =>
    routeNumber !== undefined
  ).sort((left, right) => left.sentAt - right.sentAt);
  for (const call of inOrder) {
    const number = call.routeNumber!;
    const process = `${call.host}#${call.processNumber}`;
    const history = served.get(process) ?? [];
    served.set(process, history);
    if (call.status === 200) {
      history.push({ number, at: call.endedAt });
    }
    const added = seen.configurations.find((each) => each.number === number);
    // A route is in its configuration and in the next one.
    const removed = seen.configurations.find((each) =>
      each.number === number + 2
    );
    const isRemoved = removed !== undefined &&
      call.endedAt >= removed.acceptedAt;
    if (call.status !== 404 || added === undefined || isRemoved) {
      continue;
    }
    const before = history.find((each) =>
      each.number >= number && call.sentAt > each.at + bounds.revertSlack
    );
    if (before !== undefined) {
      violations.push(
        reportCall(
          "no-older-configuration",
          call,
          `404 for route ${number} after ${before.number} was served`,
        ),
      );
    }
    if (
      call.sentAt > added.acceptedAt + bounds.applyWithin &&
      !isDisrupted(seen, call, {
        from: call.sentAt - bounds.stableFor,
        until: call.endedAt,
        includesStore: true,
      })
    ) {
      violations.push(
        reportCall(
          "newest-configuration",
          call,
          `404 for route ${number}, ${
            call.sentAt - added.acceptedAt
          } ms after it was accepted`,
        ),
      );
    }
  }
  return violations;
}

function checkDrains(
  { runs, drainings }: Observations,
  { drainWithin }: PromiseBounds,
): Violation[] {
  return drainings.flatMap(({ instance, acknowledgedAt }) =>
    runs
      .filter((run) =>
        run.instance === instance && run.at > acknowledgedAt + drainWithin
      )
      .map(({ identity, at }): Violation => ({
        promise: "drained",
        call: identity,
        detail: `${at - acknowledgedAt} ms after ${instance} began to drain`,
      }))
  );
}

function checkProcesses(
  { ownEnds, memoryPeakMegabytes }: Observations,
  { memoryMegabytes }: PromiseBounds,
): Violation[] {
  return [
    ...ownEnds.map(({ host, at, cause }): Violation => ({
      promise: "stayed-up",
      detail: `${host} ended by itself at ${at} ms: ${cause}`,
    })),
    ...(memoryPeakMegabytes <= memoryMegabytes ? [] : [{
      promise: "memory" as const,
      detail: `a daemon held ${memoryPeakMegabytes} MB`,
    }]),
  ];
}

function checkRecovery(seen: Observations, bounds: PromiseBounds): Violation[] {
  const faults = seen.disruptions.filter(({ isStarvation }) => !isStarvation);
  const quietAt = Math.max(0, ...faults.map(({ until }) => until)) +
    bounds.recoverWithin;
  const calls = seen.calls.filter((call) =>
    call.sentAt > quietAt && call.routeNumber === undefined &&
    !isDisrupted(seen, call, { from: call.sentAt, until: call.endedAt })
  );
  const served = calls.filter(({ status }) => status === 200).length;
  return calls.length === 0 || served < bounds.recoveredPart * calls.length
    ? [{
      promise: "recovered",
      detail: `${served} of ${calls.length} calls served`,
    }]
    : [];
}

function isDisrupted(
  { disruptions }: Observations,
  { host }: SeenCall,
  { from, until, includesStore = false }: {
    readonly from: Milliseconds;
    readonly until: Milliseconds;
    readonly includesStore?: boolean;
  },
): boolean {
  return disruptions.some((each) =>
    (each.host === host || (includesStore && each.host === undefined)) &&
    each.from <= until && each.until >= from
  );
}
