/**
 * What callers, instances and the machine saw of a run, and the bounds that hold for it.
 *
 * @module
 */

import type { Milliseconds } from "../src/base/common/milliseconds.ts";

export type CallKind = "safe" | "unsafe" | "upload";

export interface SeenCall {
  readonly identity: string;
  readonly kind: CallKind;
  readonly host: string;
  /** The process that took the call, by the number of its start on the host. */
  readonly processNumber: number;
  /** The number in the route, for routes that a configuration adds and a later one removes. */
  readonly routeNumber: number | undefined;
  /** How long the caller waits, and how long the route lets it wait. */
  readonly deadline: Milliseconds;
  readonly routeTimeout: Milliseconds;
  readonly sentAt: Milliseconds;
  /** When the last byte of the call was handed to the connection; `Infinity` if it was not. */
  readonly lastByteAt: Milliseconds;
  readonly endedAt: Milliseconds;
  /** 0 when the connection ended without an answer. */
  readonly status: number;
  /** The answer bears the seal of an instance. */
  readonly isFromInstance: boolean;
  /** An earlier call on the connection had no answer when this one was sent. */
  readonly isBehind: boolean;
  /** The answer names this call and has the body that its instance gave. */
  readonly isOwnAnswer: boolean;
  /** The connection was established, so that the process may have read the call. */
  readonly wasConnected: boolean;
  /** How late the event loop of the observer was at most meanwhile. */
  readonly observerDelay: Milliseconds;
}

export interface SeenRun {
  readonly identity: string;
  readonly instance: string;
  readonly at: Milliseconds;
  /** `Infinity` while the instance is at work. */
  readonly endedAt: Milliseconds;
  /** Whether the daemon or the instance ended the connection before the answer. */
  readonly outcome: "running" | "answered" | "cut" | "broke-off";
  readonly callerService: string;
}

/** A signal to the daemon of a host. */
export interface SeenSignal {
  readonly host: string;
  readonly at: Milliseconds;
}

/** A daemon that ended without being asked to. */
export interface SeenOwnEnd extends SeenSignal {
  readonly cause: string;
}

export interface SeenDraining {
  readonly instance: string;
  readonly acknowledgedAt: Milliseconds;
}

export interface SeenConfiguration {
  readonly number: number;
  readonly acceptedAt: Milliseconds;
}

/** A time in which promises with a bound do not hold; `host` undefined when it struck the store. */
export interface Disruption {
  readonly host: string | undefined;
  readonly from: Milliseconds;
  readonly until: Milliseconds;
  /** A stop by SIGTERM, which must cut no call. */
  readonly isPlanned: boolean;
  /** The machine gave the daemon no processor: not a fault of the run. */
  readonly isStarvation?: boolean;
}

export interface Observations {
  readonly calls: readonly SeenCall[];
  readonly runs: readonly SeenRun[];
  readonly drainings: readonly SeenDraining[];
  readonly configurations: readonly SeenConfiguration[];
  readonly disruptions: readonly Disruption[];
  /** By SIGTERM. */
  readonly stops: readonly SeenSignal[];
  readonly reloads: readonly SeenSignal[];
  readonly ownEnds: readonly SeenOwnEnd[];
  /** The most memory that a daemon held. */
  readonly memoryPeakMegabytes: number;
  readonly serviceOf: (host: string) => string;
}

export interface Violation {
  readonly promise:
    | "own-answer"
    | "at-most-once"
    | "true-refusal"
    | "known-call"
    | "caller-service"
    | "final-in-time"
    | "newest-configuration"
    | "no-older-configuration"
    | "drained"
    | "stopped-without-cut"
    | "stopped-without-breaking-off"
    | "calm-without-cut"
    | "stayed-up"
    | "memory"
    | "recovered";
  readonly call?: string;
  readonly detail: string;
}

/** The bounds that the platform states. */
export interface PromiseBounds {
  readonly timeoutSlack: Milliseconds;
  readonly applyWithin: Milliseconds;
  readonly revertSlack: Milliseconds;
  readonly stableFor: Milliseconds;
  readonly drainWithin: Milliseconds;
  readonly lossSlack: Milliseconds;
  /** From SIGTERM until the process is ended by force. */
  readonly grace: Milliseconds;
  /** For this long after the grace a stop still binds. */
  readonly stopSlack: Milliseconds;
  /** A call that is sent later after SIGTERM is answered by the end of the grace. */
  readonly longCallSentWithin: Milliseconds;
  /** Calls with a run that may be cut with no fault and no planned work near. */
  readonly calmCuts: number;
  readonly memoryMegabytes: number;
  readonly recoverWithin: Milliseconds;
  /** The least part of the calls that is served after the recovery. */
  readonly recoveredPart: number;
}

/** The bounds of the deployments, and the part of the calls that must be served after the faults. */
export const DEPLOYED_BOUNDS: PromiseBounds = {
  timeoutSlack: 500,
  applyWithin: 2_000,
  revertSlack: 250,
  stableFor: 3_000,
  drainWithin: 2_000,
  lossSlack: 200,
  grace: 6_000,
  stopSlack: 1_000,
  longCallSentWithin: 3_000,
  calmCuts: 3,
  memoryMegabytes: 350,
  recoverWithin: 4_000,
  recoveredPart: 0.95,
};

/** The runs of each call. */
export function groupRuns(
  runs: readonly SeenRun[],
): ReadonlyMap<string, readonly SeenRun[]> {
  const groups = new Map<string, SeenRun[]>();
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

export function reportCall(
  promise: Violation["promise"],
  { identity, kind, host }: SeenCall,
  detail: string,
): Violation {
  return { promise, call: identity, detail: `${kind} at ${host}: ${detail}` };
}
