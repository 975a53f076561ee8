/**
 * The progress of a rollout, as exchanged between daemons.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { RolloutState } from "../../../world/common/mesh_configuration.ts";
import type {
  ServiceName,
  ServiceVersion,
} from "../../../world/common/names.ts";

export interface RolloutProgress {
  readonly service: ServiceName;
  readonly targetVersion: ServiceVersion;
  /** The offset of the order; a later order replaces an earlier one. */
  readonly orderOffset: number;
  /** The current step of the plan; a later step may have a lower share. */
  readonly step: number;
  /** Share of the service's calls that the target version gets, 0 to 1. */
  readonly share: number;
  /** Number of instances of the target version that get the share; all if undefined. */
  readonly instances?: number;
  readonly state: RolloutState;
  /** Whether the state is written in the platform's store. */
  readonly isStored: boolean;
  /** Only in messages: the time since the first daemon read the order, as far as the sender knows. */
  readonly elapsed?: Milliseconds;
}

const STATES_BY_PRECEDENCE: readonly RolloutState[] = [
  "running",
  "complete",
  "reverted",
];

/**
 * Merges the progress known to two daemons; commutative. A final state in the store takes precedence;
 * otherwise `reverted` wins, since a version that one daemon has found bad must not get calls from
 * another.
 */
export function mergeProgress(
  left: RolloutProgress,
  right: RolloutProgress,
): RolloutProgress {
  if (left.orderOffset !== right.orderOffset) {
    return left.orderOffset > right.orderOffset ? left : right;
  }
  if (isFinal(left) && isFinal(right) && left.isStored !== right.isStored) {
    return left.isStored ? left : right;
  }
  const preferred = STATES_BY_PRECEDENCE.indexOf(left.state) >=
      STATES_BY_PRECEDENCE.indexOf(right.state)
    ? left
    : right;
  const { step, share, instances } = left.step >= right.step ? left : right;
  return {
    ...preferred,
    step,
    share,
    instances,
    isStored: (left.state === preferred.state && left.isStored) ||
      (right.state === preferred.state && right.isStored),
  };
}

export function isFinal(progress: RolloutProgress): boolean {
  return progress.state !== "running";
}

export function isSameProgress(
  left: RolloutProgress,
  right: RolloutProgress,
): boolean {
  return left.orderOffset === right.orderOffset &&
    left.step === right.step && left.state === right.state &&
    left.isStored === right.isStored;
}
