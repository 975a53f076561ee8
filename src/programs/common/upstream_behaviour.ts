/**
 * The behaviour of the upstream stand-in: cold starts, load shedding and the faults of a bad
 * version. All functions are pure, so that tests can predict the result of a call.
 *
 * @module
 */

import * as valibot from "valibot";
import type { Milliseconds } from "../../base/common/milliseconds.ts";

const SHARE_SCHEMA = valibot.pipe(
  valibot.number(),
  valibot.minValue(0),
  valibot.maxValue(1),
);
const DURATION_SCHEMA = valibot.pipe(valibot.number(), valibot.minValue(0));

/**
 * The fault of a version. `fail`: answers 500. `slow`: takes longer. `silent`: never answers.
 * `cut`: closes the connection in the middle of the response. `false-success`: answers 200
 * without doing the work.
 */
export const BEHAVIOUR_SCHEMA = valibot.strictObject({
  fault: valibot.optional(
    valibot.picklist([
      "none",
      "fail",
      "slow",
      "silent",
      "cut",
      "false-success",
    ]),
    "none",
  ),
  /** The fraction of the matching calls that are affected. */
  share: valibot.optional(SHARE_SCHEMA, 1),
  slowMilliseconds: valibot.optional(DURATION_SCHEMA, 500),
  /** The fault begins this long after the start of the instance. */
  afterMilliseconds: valibot.optional(DURATION_SCHEMA, 0),
  /** The fault occurs only when at least this fraction of the slots is in use. */
  minimumLoad: valibot.optional(SHARE_SCHEMA, 0),
  /** The fault affects only paths with this prefix. */
  pathPrefix: valibot.optional(valibot.string(), "/"),
  /** Whether the health and load endpoints report the current state, a past one or a false one. */
  reports: valibot.optional(
    valibot.picklist(["true", "lagging", "false"]),
    "true",
  ),
  reportLagMilliseconds: valibot.optional(DURATION_SCHEMA, 5_000),
});

export type UpstreamBehaviour = valibot.InferOutput<typeof BEHAVIOUR_SCHEMA>;

export const GOOD_BEHAVIOUR: UpstreamBehaviour = valibot.parse(
  BEHAVIOUR_SCHEMA,
  {},
);

/** The state of an instance when a call arrives. */
export interface InstanceState {
  readonly age: Milliseconds;
  readonly inFlight: number;
  readonly slots: number;
}

export interface ServiceTimes {
  readonly serviceMilliseconds: Milliseconds;
  /** How long a new instance is slower than usual. */
  readonly coldMilliseconds: Milliseconds;
  /** How many times longer the first call of a new instance takes. */
  readonly coldFactor: number;
}

/** How a call is handled. `run` has the service time and the fault to apply. */
export type CallPlan =
  | { readonly kind: "shed" }
  | { readonly kind: "deadline" }
  | {
    readonly kind: "run";
    readonly duration: Milliseconds;
    readonly fault: UpstreamBehaviour["fault"];
  };

export interface PlanOptions {
  readonly path: string;
  readonly instanceState: InstanceState;
  readonly serviceTimes: ServiceTimes;
  /** The time until the caller's deadline; Infinity when the call has none. */
  readonly timeLeft: Milliseconds;
  /** A random number from 0 to 1; the fault applies when it is below `share`. */
  readonly fraction: number;
}

export function planCall(
  behaviour: UpstreamBehaviour,
  options: PlanOptions,
): CallPlan {
  const { instanceState, serviceTimes } = options;
  if (options.timeLeft <= 0) {
    return { kind: "deadline" };
  }
  if (instanceState.inFlight >= instanceState.slots) {
    return { kind: "shed" };
  }
  const fault = hasFault(behaviour, options) ? behaviour.fault : "none";
  const addedDelay = fault === "slow" ? behaviour.slowMilliseconds : 0;
  return {
    kind: "run",
    duration: computeServiceTime(serviceTimes, instanceState.age) + addedDelay,
    fault,
  };
}

export function computeServiceTime(
  times: ServiceTimes,
  age: Milliseconds,
): Milliseconds {
  const warmUpProgress = times.coldMilliseconds === 0
    ? 1
    : Math.min(1, age / times.coldMilliseconds);
  const factor = times.coldFactor - (times.coldFactor - 1) * warmUpProgress;
  return times.serviceMilliseconds * factor;
}

function hasFault(behaviour: UpstreamBehaviour, options: PlanOptions): boolean {
  const { instanceState } = options;
  // Includes this call, so that the load is 1 when all slots are in use.
  const load = (instanceState.inFlight + 1) / instanceState.slots;
  return behaviour.fault !== "none" &&
    instanceState.age >= behaviour.afterMilliseconds &&
    load >= behaviour.minimumLoad &&
    options.path.startsWith(behaviour.pathPrefix) &&
    options.fraction < behaviour.share;
}

export interface UpstreamReport {
  readonly healthy: boolean;
  readonly inFlight: number;
  readonly slots: number;
}

/**
 * Returns the report of the health and load endpoints. A lagging endpoint repeats an earlier
 * report; a false one always reports a healthy, idle instance.
 */
export function describeReport(
  behaviour: UpstreamBehaviour,
  now: UpstreamReport,
  earlier: UpstreamReport,
): UpstreamReport {
  switch (behaviour.reports) {
    case "true":
      return now;
    case "lagging":
      return earlier;
    case "false":
      return { healthy: true, inFlight: 0, slots: now.slots };
  }
}
