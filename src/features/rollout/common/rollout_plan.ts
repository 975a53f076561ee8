/**
 * Plans the share of a service's calls that the target version of a rollout gets over time.
 *
 * Load pattern: a rollout of several seconds at the full rate of the service. A bad version may get at
 * most a tenth of the calls, so most of the time is spent at a share well below that, long enough to
 * reveal a version that fails only after a while. A version that fails only under load is not revealed
 * at that share. Two of its instances then get nearly the load of the full share, and after that all of
 * them get the full share for a short time, since some versions fail by the load of the service and
 * not of an instance. The result is evaluated at a small share, since calls are still in flight and
 * evidence is still being sent when the full share ends.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";

export interface PlanStep {
  /** When the step begins, as a fraction of the rollout's duration. */
  readonly startFraction: number;
  readonly share: number;
  /** Number of instances of the target version that get the share; all if absent. */
  readonly instances?: number;
}

/** A step of the plan with its index. */
export interface PlannedStep extends PlanStep {
  /** Zero-based index; the last step is the final full share. */
  readonly step: number;
}

/** More than one, since one broken host does not make a version bad. */
const CONCENTRATED_INSTANCES = 2;
/** Load of each of these instances, relative to its load at the full share. */
const CONCENTRATED_RELATIVE_LOAD = 0.9;
const CONCENTRATED_SHARE = 0.25;

const PLAN_STEPS: readonly PlanStep[] = [
  { startFraction: 0, share: 0.03 },
  {
    startFraction: 0.4,
    share: CONCENTRATED_SHARE,
    instances: CONCENTRATED_INSTANCES,
  },
  { startFraction: 0.47, share: 1 },
  { startFraction: 0.505, share: 0.05 },
  { startFraction: 0.57, share: 1 },
];

/** The final step, at which the target version keeps the full share. */
export const LAST_STEP = PLAN_STEPS.length - 1;

/** The step before the plan has started. */
export const NO_STEP = -1;

/** The rollout may complete from this fraction of its duration; the rest is reserved for storing the result. */
const COMPLETION_START_FRACTION = 0.78;
/** Calls on the replaced version end within this time after the last step begins. */
const MINIMUM_FULL_SHARE_MS: Milliseconds = 1_500;

export interface PlanPosition {
  readonly elapsed: Milliseconds;
  readonly duration: Milliseconds;
  /** Number of serving instances of the target version. */
  readonly targetInstances: number;
}

export function planStep(
  { elapsed, duration, targetInstances }: PlanPosition,
): PlannedStep {
  const elapsedFraction = elapsed / duration;
  const step = Math.max(
    0,
    PLAN_STEPS.findLastIndex(({ startFraction }) =>
      elapsedFraction >= startFraction
    ),
  );
  const planned = { ...PLAN_STEPS[step], step };
  return planned.instances === undefined ? planned : {
    ...planned,
    share: Math.min(
      planned.share,
      CONCENTRATED_RELATIVE_LOAD * planned.instances /
        Math.max(1, targetInstances),
    ),
  };
}

/** A later step arrives this much after its time at most, unless its leader is late or unreachable. */
const STEP_TOLERANCE_MS: Milliseconds = 300;

export interface RolloutShare {
  readonly share: number;
  readonly instances?: number;
}

/**
 * Limits how long a raised share is in force on a daemon that does not learn of the next step. The leader
 * that ends the step may be slow, paused, cut off or restarted, and a bad version would go on to get calls.
 */
export function limitShare(
  { step, share, instances }: RolloutShare & { readonly step: number },
  { timeAtStep, duration }: {
    readonly timeAtStep: Milliseconds;
    readonly duration: Milliseconds;
  },
): RolloutShare {
  const [lowest] = PLAN_STEPS;
  if (step < 0 || step >= LAST_STEP || share <= lowest.share) {
    return { share, instances };
  }
  const plannedTime = duration *
    (PLAN_STEPS[step + 1].startFraction - PLAN_STEPS[step].startFraction);
  return timeAtStep <= plannedTime + STEP_TOLERANCE_MS
    ? { share, instances }
    : { share: lowest.share, instances: undefined };
}

/** Whether the rollout can complete after `timeAtFullShare` at the final full share. */
export function canComplete(
  position: Omit<PlanPosition, "targetInstances">,
  timeAtFullShare: Milliseconds,
): boolean {
  return position.elapsed >= COMPLETION_START_FRACTION * position.duration &&
    timeAtFullShare >= MINIMUM_FULL_SHARE_MS;
}
