/**
 * The share of a service's calls that the target version of a rollout gets over time.
 *
 * Load pattern: a rollout of some seconds at the full rate of the service. A bad version may get a
 * tenth of the calls, so most of the time is spent at a share well below that, long enough for
 * a version that turns bad late to show it; then the share rises in steps that each last long
 * enough for failures under load to be seen before the next.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";

interface PlanStep {
  /** When the step begins, as a part of the time to the deadline. */
  readonly from: number;
  readonly share: number;
}

const STEPS: readonly PlanStep[] = [
  { from: 0, share: 0.04 },
  { from: 0.42, share: 0.15 },
  { from: 0.5, share: 0.4 },
  { from: 0.58, share: 0.7 },
  { from: 0.66, share: 1 },
];

/** The last part of the time is a reserve for writing the result. */
const COMPLETE_FROM = 0.78;
/** Calls on the replaced version end within this time after the last step. */
const LAST_STEP_MS: Milliseconds = 1_500;

export interface PlanPosition {
  readonly elapsed: Milliseconds;
  readonly duration: Milliseconds;
}

export function planShare({ elapsed, duration }: PlanPosition): number {
  const part = elapsed / duration;
  return STEPS.findLast((step) => part >= step.from)?.share ?? 0;
}

/** Whether the rollout may end well, once the share has been 1 for `atFullShare`. */
export function mayComplete(
  position: PlanPosition,
  atFullShare: Milliseconds,
): boolean {
  return position.elapsed >= COMPLETE_FROM * position.duration &&
    atFullShare >= LAST_STEP_MS;
}
