/**
 * How far a rollout is, as daemons tell each other.
 *
 * @module
 */

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
  /** The step of the plan that is in force; the share of a later one may be lower. */
  readonly step: number;
  /** The share of the service's calls that the target version gets, 0 to 1. */
  readonly share: number;
  /** Instances of the target version that take the share; all when undefined. */
  readonly instances?: number;
  readonly state: RolloutState;
  /** Whether the state stands in the platform's store. */
  readonly isStored: boolean;
}

const STATE_ORDER: readonly RolloutState[] = [
  "running",
  "complete",
  "reverted",
];

/**
 * Combines what two daemons know, in any order with the same result. A final state in the store
 * stands; otherwise `reverted` wins, since a version that one daemon has found bad must not get
 * calls from another.
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
  const winner =
    STATE_ORDER.indexOf(left.state) >= STATE_ORDER.indexOf(right.state)
      ? left
      : right;
  const { step, share, instances } = left.step >= right.step ? left : right;
  return {
    ...winner,
    step,
    share,
    instances,
    isStored: (left.state === winner.state && left.isStored) ||
      (right.state === winner.state && right.isStored),
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
