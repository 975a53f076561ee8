/**
 * Finds violated guarantees in what callers and instances observed.
 *
 * @module
 */

import type { Milliseconds } from "../src/base/common/milliseconds.ts";
import {
  type ColdTime,
  createCallViolation,
  groupRunsByCall,
  type GuaranteeBounds,
  isDisrupted,
  type Observations,
  type Violation,
} from "./observations.ts";
import { checkRecovery } from "./recovery_check.ts";
import { checkStops, checkUnexplainedCuts } from "./stop_check.ts";

/** Statuses which state that the call has not run and never will. */
const NOT_RUN_STATUSES = [408, 421, 429, 503];

export function checkGuarantees(
  observations: Observations,
  bounds: GuaranteeBounds,
): Violation[] {
  return [
    ...checkResponses(observations),
    ...checkRuns(observations),
    ...checkResponseTimes(observations, bounds),
    ...checkConfigurations(observations, bounds),
    ...checkDrains(observations, bounds),
    ...checkRateLimits(observations, bounds),
    ...checkColdInstances(observations, bounds),
    ...checkEvacuations(observations, bounds),
    ...checkStops(observations, bounds),
    ...checkUnexplainedCuts(observations, bounds),
    ...checkProcesses(observations, bounds),
    ...checkRecovery(observations, bounds),
  ];
}

function checkResponses({ calls }: Observations): Violation[] {
  return calls
    .filter(({ status, isOwnAnswer }) =>
      status >= 200 && status < 300 && !isOwnAnswer
    )
    .map((call) =>
      createCallViolation("own-answer", call, `status ${call.status}`)
    );
}

function checkRuns(
  { calls, runs, hosts, accountOf }: Observations,
): Violation[] {
  const violations: Violation[] = [];
  const callsByIdentity = new Map(calls.map((call) => [call.identity, call]));
  for (const [identity, runsOfCall] of groupRunsByCall(runs)) {
    const call = callsByIdentity.get(identity);
    if (call === undefined) {
      violations.push({
        promise: "known-call",
        call: identity,
        detail: `run by ${runsOfCall[0].instance}`,
      });
      continue;
    }
    const locations = runsOfCall.map(({ instance, at }) => `${instance}@${at}`);
    if (call.kind !== "safe" && runsOfCall.length > 1) {
      violations.push(
        createCallViolation("at-most-once", call, locations.join(", ")),
      );
    }
    if (call.kind !== "safe" && NOT_RUN_STATUSES.includes(call.status)) {
      violations.push(
        createCallViolation(
          "true-refusal",
          call,
          `${call.status}, run by ${locations}`,
        ),
      );
    }
    for (const { callerService, account, hasKey } of runsOfCall) {
      if (account !== accountOf(identity) || hasKey) {
        violations.push(
          createCallViolation(
            "client-account",
            call,
            `${account ?? "none"}${hasKey ? ", with the key" : ""}`,
          ),
        );
      }
      const host = hosts.find(({ name }) => name === call.host);
      if (callerService !== host?.service) {
        violations.push(
          createCallViolation("caller-service", call, callerService),
        );
      }
    }
  }
  return violations;
}

function checkResponseTimes(
  observations: Observations,
  bounds: GuaranteeBounds,
): Violation[] {
  return observations.calls
    .filter((call) =>
      call.endedAt - call.sentAt - call.observerDelay >
        call.routeTimeout + bounds.timeoutSlack &&
      !isDisrupted(observations, call, {
        from: call.sentAt - bounds.stableFor,
        until: call.endedAt,
      })
    )
    .map((call) =>
      createCallViolation(
        "final-in-time",
        call,
        `${call.endedAt - call.sentAt} ms`,
      )
    );
}

function checkConfigurations(
  observations: Observations,
  bounds: GuaranteeBounds,
): Violation[] {
  const violations: Violation[] = [];
  /** The numbered routes on which each process served a call, and when it did. */
  const servedRoutes = new Map<
    string,
    { number: number; at: Milliseconds }[]
  >();
  const callsInOrder = observations.calls.filter(({ routeNumber }) =>
    routeNumber !== undefined
  ).sort((left, right) => left.sentAt - right.sentAt);
  for (const call of callsInOrder) {
    const number = call.routeNumber!;
    const process = `${call.host}#${call.processNumber}`;
    const history = servedRoutes.get(process) ?? [];
    servedRoutes.set(process, history);
    if (call.status === 200) {
      history.push({ number, at: call.endedAt });
    }
    const added = observations.configurations.find((each) =>
      each.number === number
    );
    // A route is part of its configuration and of the next one.
    const removed = observations.configurations.find((each) =>
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
        createCallViolation(
          "no-older-configuration",
          call,
          `404 for route ${number} after ${before.number} was served`,
        ),
      );
    }
    if (
      call.sentAt > added.acceptedAt + bounds.applyWithin &&
      !isDisrupted(observations, call, {
        from: call.sentAt - bounds.stableFor,
        until: call.endedAt,
        includesStore: true,
      })
    ) {
      violations.push(
        createCallViolation(
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
  { runs, drainAcknowledgements }: Observations,
  { drainWithin }: GuaranteeBounds,
): Violation[] {
  return drainAcknowledgements.flatMap(({ instance, acknowledgedAt }) =>
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

function checkRateLimits(
  { runs, namedLimits }: Observations,
  { stableFor, limitWindow, limitFactor, limitExtra }: GuaranteeBounds,
): Violation[] {
  return namedLimits.flatMap(({ instance, perSecond, from, until }) => {
    const times = runs.filter((run) =>
      run.instance === instance && run.at >= from + stableFor && run.at <= until
    ).map(({ at }) => at);
    const most = Math.max(
      0,
      ...times.map((start) =>
        times.filter((at) => at >= start && at < start + limitWindow).length
      ),
    );
    const allowed = limitFactor * perSecond * limitWindow / 1_000 + limitExtra;
    return most <= allowed ? [] : [{
      promise: "rate-limited" as const,
      detail:
        `${most} runs at ${instance} in ${limitWindow} ms, ${allowed} allowed since ${from} ms`,
    }];
  });
}

function checkColdInstances(
  { runs, coldTimes }: Observations,
  { coldWindow, coldFactor, coldExtra }: GuaranteeBounds,
): Violation[] {
  return joinColdTimes(coldTimes).flatMap((coldTime) => {
    const { instance, perSecond, from, until } = coldTime;
    const arrivals = runs.filter((run) => run.instance === instance)
      .map(({ at, observerDelay }) => ({ earliest: at - observerDelay, at }))
      .filter(({ earliest, at }) => earliest >= from && at <= until);
    const most = Math.max(
      0,
      ...arrivals.map(({ earliest: start }) =>
        arrivals.filter(({ earliest, at }) =>
          earliest >= start && at < start + coldWindow
        ).length
      ),
    );
    const allowed = coldFactor * perSecond * coldWindow / 1_000 + coldExtra;
    return most <= allowed ? [] : [{
      promise: "cold-limited" as const,
      detail:
        `${most} runs at ${instance} in ${coldWindow} ms, ${allowed} allowed while it is cold from ${from} ms`,
    }];
  });
}

/** An instance that becomes cold again while it is cold stays cold, so a second may span both times. */
function joinColdTimes(coldTimes: readonly ColdTime[]): readonly ColdTime[] {
  const joined: ColdTime[] = [];
  for (const each of coldTimes.toSorted((a, b) => a.from - b.from)) {
    const index = joined.findIndex(({ instance, until }) =>
      instance === each.instance && each.from <= until
    );
    if (index < 0) {
      joined.push(each);
    } else {
      const before = joined[index];
      const until = Math.max(before.until, each.until);
      joined[index] = { ...before, until };
    }
  }
  return joined;
}

function checkEvacuations(
  observations: Observations,
  { evacuateWithin, stableFor }: GuaranteeBounds,
): Violation[] {
  const { calls, runs, hosts, evacuations } = observations;
  const callsByIdentity = new Map(calls.map((call) => [call.identity, call]));
  return evacuations.flatMap(({ failureDomain, acceptedAt, until }) => {
    const inDomain = new Set(
      hosts.filter((host) => host.failureDomain === failureDomain)
        .map(({ name }) => name),
    );
    return runs
      .filter((run) =>
        inDomain.has(hostOf(run.instance)) && run.at <= until &&
        run.at - run.observerDelay > acceptedAt + evacuateWithin
      )
      .flatMap((run): Violation[] => {
        const call = callsByIdentity.get(run.identity);
        const isExcused = call === undefined ||
          isDisrupted(observations, call, {
            from: call.sentAt - stableFor,
            until: run.at,
            includesStore: true,
          });
        return isExcused ? [] : [
          createCallViolation(
            "evacuated",
            call,
            `run by ${run.instance} ${
              run.at - acceptedAt
            } ms after the evacuation of ${failureDomain}`,
          ),
        ];
      });
  });
}

/** The host of an instance, which its identity names. */
function hostOf(instance: string): string {
  return instance.replace(/-i\d+$/, "");
}

function checkProcesses(
  { unexpectedExits, peakMemoryMegabytes }: Observations,
  { maximumMemoryMegabytes }: GuaranteeBounds,
): Violation[] {
  return [
    ...unexpectedExits.map(({ host, at, cause }): Violation => ({
      promise: "stayed-up",
      detail: `${host} exited unexpectedly at ${at} ms: ${cause}`,
    })),
    ...(peakMemoryMegabytes <= maximumMemoryMegabytes ? [] : [{
      promise: "memory" as const,
      detail: `a daemon used ${peakMemoryMegabytes} MB`,
    }]),
  ];
}
