/**
 * The observations of a soak run by callers, instances and the machine, and the bounds of the
 * guarantees.
 *
 * @module
 */

import type { Milliseconds } from "../src/base/common/milliseconds.ts";

export type CallKind = "safe" | "unsafe" | "upload";

export interface ObservedCall {
  readonly identity: string;
  readonly kind: CallKind;
  /** The service to which the route of the call leads. */
  readonly service: string;
  readonly host: string;
  /** Which start of the daemon on this host received the call, counted from 1. */
  readonly processNumber: number;
  /** The number in the path of a route that one configuration adds and a later one removes. */
  readonly routeNumber: number | undefined;
  /** The deadline of the caller, from the time of sending. */
  readonly deadline: Milliseconds;
  /** The timeout of the route. */
  readonly routeTimeout: Milliseconds;
  readonly sentAt: Milliseconds;
  /** When the last byte of the request was written to the socket; `Infinity` if it was not. */
  readonly lastByteAt: Milliseconds;
  readonly endedAt: Milliseconds;
  /** 0 when the connection ended without a response. */
  readonly status: number;
  /** The response has the `x-server-seal` header of an instance. */
  readonly isFromInstance: boolean;
  /** The call was pipelined: an earlier one on the connection had no response when it was sent. */
  readonly isBehind: boolean;
  /** The response body names this call and is complete. */
  readonly isOwnAnswer: boolean;
  /** The connection was established, so the process may have read the call. */
  readonly wasConnected: boolean;
  /** The maximum event loop delay of the observer since the start of the run. */
  readonly observerDelay: Milliseconds;
}

export interface ObservedRun {
  readonly identity: string;
  readonly instance: string;
  readonly at: Milliseconds;
  /** `Infinity` while the instance is running the call. */
  readonly endedAt: Milliseconds;
  /** Before the response, the daemon (`cut`) or the instance (`broke-off`) ended the connection. */
  readonly outcome: "running" | "answered" | "cut" | "broke-off";
  readonly callerService: string;
  /** The account that the request to the instance names; undefined if none. */
  readonly account: string | undefined;
  /** Whether the key of the client reached the instance. */
  readonly hasKey: boolean;
  /** How long the request may have waited for the event loop of the instance. */
  readonly observerDelay: Milliseconds;
}

/** A host and the instance on it. */
export interface ObservedHost {
  readonly name: string;
  readonly service: string;
  readonly failureDomain: string;
  /** The calls that the instance takes at a time. */
  readonly slots: number;
}

/** A signal to the daemon of a host. */
export interface ObservedSignal {
  readonly host: string;
  readonly at: Milliseconds;
}

/** A daemon that exited without a signal from the soak. */
export interface UnexpectedExit extends ObservedSignal {
  readonly cause: string;
}

export interface DrainAcknowledgement {
  readonly instance: string;
  readonly acknowledgedAt: Milliseconds;
}

/** A time in which an instance names a rate limit in all its responses. */
export interface NamedLimit {
  readonly instance: string;
  readonly perSecond: number;
  readonly from: Milliseconds;
  readonly until: Milliseconds;
}

/** A time in which an instance is cold. */
export interface ColdTime {
  readonly instance: string;
  /** Requests per second that the instance tolerates. */
  readonly perSecond: number;
  readonly from: Milliseconds;
  readonly until: Milliseconds;
}

/** An operator's order to send nothing to the instances of a failure domain. */
export interface Evacuation {
  readonly failureDomain: string;
  readonly acceptedAt: Milliseconds;
  /** When the order is taken back. */
  readonly until: Milliseconds;
}

export interface AcceptedConfiguration {
  readonly number: number;
  readonly acceptedAt: Milliseconds;
}

/** An interval in which guarantees with a bound do not hold; `host` is undefined for the store. */
export interface Disruption {
  readonly host: string | undefined;
  readonly from: Milliseconds;
  readonly until: Milliseconds;
  /** Planned work, such as a stop by SIGTERM, which must cut no call. */
  readonly isPlanned: boolean;
  /** The machine starved the daemon of processor time: not an injected fault. */
  readonly isStarvation?: boolean;
}

export interface Observations {
  readonly calls: readonly ObservedCall[];
  readonly runs: readonly ObservedRun[];
  readonly drainAcknowledgements: readonly DrainAcknowledgement[];
  readonly namedLimits: readonly NamedLimit[];
  readonly coldTimes: readonly ColdTime[];
  readonly evacuations: readonly Evacuation[];
  readonly hosts: readonly ObservedHost[];
  readonly configurations: readonly AcceptedConfiguration[];
  readonly disruptions: readonly Disruption[];
  /** SIGTERM signals. */
  readonly stops: readonly ObservedSignal[];
  readonly reloads: readonly ObservedSignal[];
  readonly unexpectedExits: readonly UnexpectedExit[];
  /** The highest peak resident memory of any daemon. */
  readonly peakMemoryMegabytes: number;
  /** Returns the account of a call; undefined in a run without accounts. */
  readonly accountOf: (callIdentity: string) => string | undefined;
}

export interface Violation {
  readonly promise:
    | "own-answer"
    | "at-most-once"
    | "true-refusal"
    | "known-call"
    | "caller-service"
    | "client-account"
    | "final-in-time"
    | "newest-configuration"
    | "no-older-configuration"
    | "drained"
    | "rate-limited"
    | "cold-limited"
    | "evacuated"
    | "stopped-without-cut"
    | "stopped-without-breaking-off"
    | "calm-without-cut"
    | "stayed-up"
    | "memory"
    | "recovered";
  readonly call?: string;
  readonly detail: string;
}

/** The bounds that the platform states for its guarantees. */
export interface GuaranteeBounds {
  readonly timeoutSlack: Milliseconds;
  readonly applyWithin: Milliseconds;
  readonly revertSlack: Milliseconds;
  /** Time after a disruption until the guarantees hold again. */
  readonly stableFor: Milliseconds;
  readonly drainWithin: Milliseconds;
  /** An instance gets at most `limitFactor` times what its limit allows in this time, and `limitExtra` more. */
  readonly limitWindow: Milliseconds;
  readonly limitFactor: number;
  readonly limitExtra: number;
  /** A cold instance gets at most `coldFactor` times what it tolerates in this time, and `coldExtra` more. */
  readonly coldWindow: Milliseconds;
  readonly coldFactor: number;
  readonly coldExtra: number;
  /** An evacuation is in force this long after the store has accepted it. */
  readonly evacuateWithin: Milliseconds;
  readonly lossSlack: Milliseconds;
  /** Time from SIGTERM to SIGKILL. */
  readonly grace: Milliseconds;
  /** Calls sent this long after the grace period are still checked against the stop. */
  readonly stopSlack: Milliseconds;
  /** A call sent later than this after SIGTERM must be answered by the end of the grace period. */
  readonly longCallSentWithin: Milliseconds;
  /** Maximum number of calls with a run that are cut with no fault and no planned work near. */
  readonly maximumUnexplainedCuts: number;
  /** The memory that a host has for its daemon. */
  readonly maximumMemoryMegabytes: number;
  readonly recoverWithin: Milliseconds;
  /** Minimum share of the calls that are served after the recovery. */
  readonly recoveredShare: number;
}

/** The bounds of the deployments, and the share of calls that must be served after the faults. */
export const DEPLOYED_BOUNDS: GuaranteeBounds = {
  timeoutSlack: 500,
  applyWithin: 2_000,
  revertSlack: 250,
  stableFor: 3_000,
  drainWithin: 2_000,
  limitWindow: 4_000,
  limitFactor: 1.5,
  limitExtra: 5,
  coldWindow: 1_000,
  coldFactor: 1.5,
  coldExtra: 8,
  evacuateWithin: 5_000,
  lossSlack: 200,
  grace: 6_000,
  stopSlack: 1_000,
  longCallSentWithin: 3_000,
  maximumUnexplainedCuts: 3,
  maximumMemoryMegabytes: 350,
  recoverWithin: 4_000,
  recoveredShare: 0.95,
};

export function groupRunsByCall(
  runs: readonly ObservedRun[],
): ReadonlyMap<string, readonly ObservedRun[]> {
  const groups = new Map<string, ObservedRun[]>();
  for (const run of runs) {
    const group = groups.get(run.identity);
    if (group === undefined) {
      groups.set(run.identity, [run]);
    } else {
      group.push(run);
    }
  }
  return groups;
}

export function createCallViolation(
  promise: Violation["promise"],
  { identity, kind, host }: ObservedCall,
  detail: string,
): Violation {
  return { promise, call: identity, detail: `${kind} at ${host}: ${detail}` };
}

/** Whether a fault of its host, or of the store as well, excuses a call. */
export function isDisrupted(
  { disruptions }: Observations,
  { host }: ObservedCall,
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
