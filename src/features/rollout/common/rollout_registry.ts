/**
 * Tracks the rollouts that a daemon knows and decides which versions of a service may run a call.
 *
 * The evaluators get the evidence of all daemons and evaluate it. The leader of a rollout advances its steps, and the others adopt
 * the latest step that they receive. A revert decision is adopted immediately from any daemon.
 *
 * @module
 */

import { hashToFraction } from "../../../base/common/hashing.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { RolloutOrder } from "../../../world/common/mesh_configuration.ts";
import type {
  ServiceName,
  ServiceVersion,
} from "../../../world/common/names.ts";
import {
  canComplete,
  LAST_STEP,
  limitShare,
  NO_STEP,
  planStep,
} from "./rollout_plan.ts";
import {
  isFinal,
  isSameProgress,
  mergeProgress,
  type RolloutProgress,
} from "./rollout_progress.ts";
import {
  findVersionRegression,
  type HostEvidence,
  type VersionRegression,
} from "./version_evidence.ts";

export interface VersionPreference {
  /** Whether the call should run on the version. */
  isPreferred(version: ServiceVersion): boolean;
  /** The same for a retry, and for a call for which a gate of the preferred version had no capacity. */
  isPreferredForRetry(version: ServiceVersion): boolean;
  /** Whether the version may run the call when no preferred one can. */
  isAllowed(version: ServiceVersion): boolean;
  /** How many instances of the target version may run the call; all if undefined. */
  readonly maximumInstances?: number;
  /**
   * Whether any version may run the call while no instance of an allowed version is known. Instances of
   * the other versions are stopped after a rollout completes, so none may be left while a restarted
   * daemon still believes that the rollout is running.
   */
  readonly allowsAnyAsFallback?: boolean;
}

export interface RolloutAdvanceInput {
  readonly evidence: readonly HostEvidence[];
  /** Whether this daemon advances the share and completes the rollout. */
  readonly isLeader: boolean;
  /** Counts the instances of the target version that can serve. */
  readonly countTargetInstances: (progress: RolloutProgress) => number;
  readonly now: Milliseconds;
}

export type RolloutEvent =
  | { readonly type: "share"; readonly progress: RolloutProgress }
  | {
    readonly type: "reverted";
    readonly progress: RolloutProgress;
    readonly regression: VersionRegression;
  }
  | { readonly type: "complete"; readonly progress: RolloutProgress };

interface Rollout {
  progress: RolloutProgress;
  duration: Milliseconds;
  /** Whether the order was read, and not only the progress of another daemon. */
  isOrderKnown: boolean;
  /** When the first daemon that is known to have read the order did so. */
  orderedAt: Milliseconds;
  /** When this daemon took the current step. */
  stepSince: Milliseconds;
  fullShareSince: Milliseconds | undefined;
}

export interface RolloutRegistry {
  readonly progress: readonly RolloutProgress[];
  /** The progress as it is sent to other daemons. */
  listProgress(now: Milliseconds): readonly RolloutProgress[];
  /**
   * Adds an order; returns false if it or a later one is already known. An order that is written again in a later era of
   * the store is the same order.
   */
  addOrder(order: RolloutOrder, offset: number, now: Milliseconds): boolean;
  /** Merges the progress from another daemon or the store; returns whether anything changed. */
  mergeProgress(progress: RolloutProgress, now: Milliseconds): boolean;
  /** Evaluates the evidence and advances or reverts the running rollouts. */
  advance(input: RolloutAdvanceInput): readonly RolloutEvent[];
  chooseVersion(
    service: ServiceName,
    callIdentity: string,
    now: Milliseconds,
  ): VersionPreference;
  find(service: ServiceName): RolloutProgress | undefined;
}

const NO_PREFERENCE: VersionPreference = {
  isPreferred: () => true,
  isPreferredForRetry: () => true,
  isAllowed: () => true,
};

/** Used while only the progress of a rollout is known and its order is not. */
const DEFAULT_DURATION_MS: Milliseconds = 12_000;

export interface RolloutRegistryOptions {
  /** The era of the store in which an order was written. */
  readonly getEra: (orderOffset: number) => number;
}

export function createRolloutRegistry(
  { getEra }: RolloutRegistryOptions = { getEra: () => 0 },
): RolloutRegistry {
  const rollouts = new Map<ServiceName, Rollout>();

  function isSameOrderInLaterEra(
    { progress, duration, isOrderKnown }: Rollout,
    order: RolloutOrder,
    offset: number,
  ): boolean {
    return getEra(offset) > getEra(progress.orderOffset) &&
      order.targetVersion === progress.targetVersion &&
      (!isOrderKnown || order.durationMilliseconds === duration);
  }

  /**
   * Moves progress to the offset at which its order was written again. The store may have lost the status that was
   * written for it before.
   */
  function moveToOffset(
    progress: RolloutProgress,
    orderOffset: number,
  ): RolloutProgress {
    return progress.orderOffset === orderOffset
      ? progress
      : { ...progress, orderOffset, isStored: false };
  }

  function addOrder(
    order: RolloutOrder,
    offset: number,
    now: Milliseconds,
  ): boolean {
    const { service, targetVersion, durationMilliseconds } = order;
    const known = rollouts.get(service);
    if (known !== undefined && isSameOrderInLaterEra(known, order, offset)) {
      known.progress = moveToOffset(known.progress, offset);
    }
    if (known !== undefined && known.progress.orderOffset >= offset) {
      if (known.progress.orderOffset === offset) {
        known.duration = durationMilliseconds;
        known.isOrderKnown = true;
      }
      return false;
    }
    rollouts.set(service, {
      progress: {
        service,
        targetVersion,
        orderOffset: offset,
        step: NO_STEP,
        share: 0,
        state: "running",
        isStored: false,
      },
      duration: durationMilliseconds,
      isOrderKnown: true,
      orderedAt: now,
      stepSince: now,
      fullShareSince: undefined,
    });
    return true;
  }

  function mergeRemoteProgress(
    { elapsed = 0, ...received }: RolloutProgress,
    now: Milliseconds,
  ): boolean {
    const known = rollouts.get(received.service);
    const orderedAt = now - elapsed;
    if (known === undefined) {
      rollouts.set(received.service, {
        progress: received,
        duration: DEFAULT_DURATION_MS,
        isOrderKnown: false,
        orderedAt,
        stepSince: now,
        fullShareSince: received.step === LAST_STEP ? now : undefined,
      });
      return true;
    }
    const isOtherEra =
      getEra(known.progress.orderOffset) !== getEra(received.orderOffset);
    if (isOtherEra && known.progress.targetVersion !== received.targetVersion) {
      // The sender may have an older order from the store's copy. An order that replaces this one comes as a record.
      return false;
    }
    const offset = Math.max(known.progress.orderOffset, received.orderOffset);
    if (isOtherEra) {
      known.progress = moveToOffset(known.progress, offset);
    }
    const merged = mergeProgress(
      known.progress,
      isOtherEra ? moveToOffset(received, offset) : received,
    );
    const isChanged = !isSameProgress(merged, known.progress);
    if (merged.orderOffset !== known.progress.orderOffset) {
      known.orderedAt = orderedAt;
      known.fullShareSince = undefined;
    } else if (merged.orderOffset === received.orderOffset) {
      known.orderedAt = Math.min(known.orderedAt, orderedAt);
    }
    setProgress(known, merged, now);
    return isChanged;
  }

  function setProgress(
    rollout: Rollout,
    progress: RolloutProgress,
    now: Milliseconds,
  ): void {
    if (
      progress.step !== rollout.progress.step ||
      progress.orderOffset !== rollout.progress.orderOffset
    ) {
      rollout.stepSince = now;
    }
    rollout.progress = progress;
    if (progress.step === LAST_STEP) {
      rollout.fullShareSince ??= now;
    }
  }

  function advanceRollout(
    rollout: Rollout,
    input: RolloutAdvanceInput,
  ): RolloutEvent | undefined {
    const { progress } = rollout;
    if (isFinal(progress)) {
      return undefined;
    }
    const regression = findVersionRegression(input.evidence, {
      service: progress.service,
      version: progress.targetVersion,
    });
    if (regression !== undefined) {
      setProgress(rollout, { ...progress, state: "reverted" }, input.now);
      return {
        type: "reverted",
        progress: rollout.progress,
        regression,
      };
    }
    const targetInstances = input.isLeader
      ? input.countTargetInstances(progress)
      : 0;
    if (targetInstances === 0) {
      return undefined;
    }
    const position = {
      elapsed: input.now - rollout.orderedAt,
      duration: rollout.duration,
    };
    const planned = planStep({ ...position, targetInstances });
    if (planned.step > progress.step) {
      setProgress(rollout, {
        ...progress,
        step: planned.step,
        share: planned.share,
        instances: planned.instances,
      }, input.now);
      return { type: "share", progress: rollout.progress };
    }
    if (
      rollout.fullShareSince !== undefined &&
      canComplete(position, input.now - rollout.fullShareSince)
    ) {
      setProgress(rollout, { ...progress, state: "complete" }, input.now);
      return { type: "complete", progress: rollout.progress };
    }
    return undefined;
  }

  return {
    get progress() {
      return [...rollouts.values()].map(({ progress }) => progress);
    },
    listProgress: (now) =>
      [...rollouts.values()].map(({ progress, orderedAt }) => ({
        ...progress,
        elapsed: Math.round(now - orderedAt),
      })),
    addOrder,
    mergeProgress: mergeRemoteProgress,
    advance: (input) =>
      [...rollouts.values()].map((rollout) => advanceRollout(rollout, input))
        .filter((event) => event !== undefined),
    chooseVersion(service, callIdentity, now) {
      const rollout = rollouts.get(service);
      return rollout === undefined ? NO_PREFERENCE : createVersionPreference({
        ...rollout.progress,
        ...limitShare(rollout.progress, {
          timeAtStep: now - rollout.stepSince,
          duration: rollout.duration,
        }),
      }, callIdentity);
    },
    find: (service) => rollouts.get(service)?.progress,
  };
}

function createVersionPreference(
  { targetVersion, share, instances, state }: RolloutProgress,
  callIdentity: string,
): VersionPreference {
  const isTarget = (version: ServiceVersion) => version === targetVersion;
  const isOther = (version: ServiceVersion) => version !== targetVersion;
  switch (state) {
    case "reverted":
      return {
        isPreferred: isOther,
        isPreferredForRetry: isOther,
        isAllowed: isOther,
      };
    case "complete":
      return {
        isPreferred: isTarget,
        isPreferredForRetry: isTarget,
        isAllowed: () => true,
      };
    case "running": {
      const isRoutedToTarget =
        hashToFraction(`rollout|${callIdentity}`) < share;
      return {
        isPreferred: isRoutedToTarget ? isTarget : isOther,
        // A retry on the target version would fail again if that is bad, and would exceed its share.
        isPreferredForRetry: isOther,
        // Before the first step the target version gets no calls, even as a fallback.
        isAllowed: share === 0 ? isOther : () => true,
        maximumInstances: isRoutedToTarget ? instances : undefined,
        allowsAnyAsFallback: true,
      };
    }
  }
}
