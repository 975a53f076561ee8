/**
 * The share of a service's calls that the target version of a rollout gets over time.
 *
 * Load pattern: a rollout of some seconds at the full rate of the service. A bad version may get a
 * tenth of the calls, so most of the time is spent at a share well below that, long enough for
 * a version that turns bad late to show it. A version that is bad only under load shows nothing
 * at that share. Two of its instances then get the load that they will have at the whole share, and after
 * that all of them get the whole share for a moment, as some versions turn bad by the load of the
 * service and not by that of an instance. What that moment showed is judged at a small share,
 * since calls still run and evidence is still under way when it ends.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";

export interface PlanStep {
  /** When the step begins, as a part of the time to the deadline. */
  readonly from: number;
  readonly share: number;
  /** Instances that take the share; all of the target version when absent. */
  readonly instances?: number;
}

/** A step of the plan with its place in it. */
export interface PlannedStep extends PlanStep {
  /** From 0; the highest stands for the whole share for good. */
  readonly step: number;
}

/** A verdict needs more than one instance, since one broken host is not a bad version. */
const CONCENTRATED_INSTANCES = 2;
/** The load of each of them, relative to its load at the whole share. */
const CONCENTRATED_LOAD = 0.9;
const CONCENTRATED_SHARE = 0.25;

const STEPS: readonly PlanStep[] = [
  { from: 0, share: 0.03 },
  {
    from: 0.4,
    share: CONCENTRATED_SHARE,
    instances: CONCENTRATED_INSTANCES,
  },
  { from: 0.47, share: 1 },
  { from: 0.505, share: 0.05 },
  { from: 0.57, share: 1 },
];

/** The step at which the target version has the whole share for good. */
export const LAST_STEP = STEPS.length - 1;

/** No step of the plan has been taken. */
export const NO_STEP = -1;

/** The last part of the time is a reserve for writing the result. */
const COMPLETE_FROM = 0.78;
/** Calls on the replaced version end within this time after the last step. */
const LAST_STEP_MS: Milliseconds = 1_500;

export interface PlanPosition {
  readonly elapsed: Milliseconds;
  readonly duration: Milliseconds;
  /** Instances of the target version that serve. */
  readonly targetInstances: number;
}

export function planStep(
  { elapsed, duration, targetInstances }: PlanPosition,
): PlannedStep {
  const part = elapsed / duration;
  const step = Math.max(0, STEPS.findLastIndex(({ from }) => part >= from));
  const planned = { ...STEPS[step], step };
  return planned.instances === undefined ? planned : {
    ...planned,
    share: Math.min(
      planned.share,
      CONCENTRATED_LOAD * planned.instances / Math.max(1, targetInstances),
    ),
  };
}

/** Whether the rollout may end well, once the share has been 1 for `atFullShare`. */
export function mayComplete(
  position: Omit<PlanPosition, "targetInstances">,
  atFullShare: Milliseconds,
): boolean {
  return position.elapsed >= COMPLETE_FROM * position.duration &&
    atFullShare >= LAST_STEP_MS;
}
