/**
 * How the upstream stand-in behaves: cold starts, load shedding and the faults of a bad
 * version. All decisions are pure, so that a test can tell what a call will meet.
 *
 * @module
 */

import * as valibot from "valibot";
import type { Milliseconds } from "../../base/common/milliseconds.ts";

const SHARE = valibot.pipe(
  valibot.number(),
  valibot.minValue(0),
  valibot.maxValue(1),
);
const DURATION = valibot.pipe(valibot.number(), valibot.minValue(0));

/**
 * The fault of a version. `fail`: answers 500. `slow`: takes longer. `silent`: never answers.
 * `cut`: closes the connection in the middle of the answer. `false-success`: answers 200 at
 * once without doing the work.
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
  /** The part of the affected calls that meet the fault. */
  share: valibot.optional(SHARE, 1),
  slowMilliseconds: valibot.optional(DURATION, 500),
  /** The fault begins this long after the start of the instance. */
  afterMilliseconds: valibot.optional(DURATION, 0),
  /** The fault shows only when at least this part of the slots is in use. */
  minimumLoad: valibot.optional(SHARE, 0),
  /** The fault concerns only paths that begin with this. */
  pathPrefix: valibot.optional(valibot.string(), "/"),
  /** What the health and load endpoints say. */
  reports: valibot.optional(
    valibot.picklist(["true", "lagging", "false"]),
    "true",
  ),
  reportLagMilliseconds: valibot.optional(DURATION, 5_000),
});

export type UpstreamBehaviour = valibot.InferOutput<typeof BEHAVIOUR_SCHEMA>;

export const GOOD_BEHAVIOUR: UpstreamBehaviour = valibot.parse(
  BEHAVIOUR_SCHEMA,
  {},
);

/** An instance at the moment at which a call arrives. */
export interface InstanceMoment {
  readonly age: Milliseconds;
  readonly inFlight: number;
  readonly slots: number;
}

export interface ServiceTimes {
  readonly serviceMilliseconds: Milliseconds;
  /** A new instance is slower for this time. */
  readonly coldMilliseconds: Milliseconds;
  /** How many times longer the very first call takes. */
  readonly coldFactor: number;
}

/** What a call meets. `run` has the time that the work takes and the fault that ends it. */
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
  readonly moment: InstanceMoment;
  readonly times: ServiceTimes;
  /** The time that the caller still waits; Infinity when it did not say. */
  readonly remaining: Milliseconds;
  /** A random fraction that decides whether this call belongs to the faulty share. */
  readonly fraction: number;
}

export function planCall(
  behaviour: UpstreamBehaviour,
  options: PlanOptions,
): CallPlan {
  const { moment, times } = options;
  if (options.remaining <= 0) {
    return { kind: "deadline" };
  }
  if (moment.inFlight >= moment.slots) {
    return { kind: "shed" };
  }
  const fault = hasFault(behaviour, options) ? behaviour.fault : "none";
  const extra = fault === "slow" ? behaviour.slowMilliseconds : 0;
  return {
    kind: "run",
    duration: computeServiceTime(times, moment.age) + extra,
    fault,
  };
}

export function computeServiceTime(
  times: ServiceTimes,
  age: Milliseconds,
): Milliseconds {
  const warmth = times.coldMilliseconds === 0
    ? 1
    : Math.min(1, age / times.coldMilliseconds);
  const factor = times.coldFactor - (times.coldFactor - 1) * warmth;
  return times.serviceMilliseconds * factor;
}

function hasFault(behaviour: UpstreamBehaviour, options: PlanOptions): boolean {
  const { moment } = options;
  // The call itself counts, so that a share of 1 is reached with all slots in use.
  const load = (moment.inFlight + 1) / moment.slots;
  return behaviour.fault !== "none" &&
    moment.age >= behaviour.afterMilliseconds &&
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
 * What the health and load endpoints answer. A lagging endpoint repeats what was true a while
 * ago; a false one claims to be healthy and idle at any time.
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
