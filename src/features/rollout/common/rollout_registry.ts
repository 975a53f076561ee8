/**
 * The rollouts that a daemon knows, and which versions of a service may get a call.
 *
 * Each daemon judges the evidence; the leader of a rollout raises the share, and the others take
 * over the highest share that they hear of. A verdict against the target version is taken over
 * from any daemon at once.
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
import { LAST_STEP, mayComplete, NO_STEP, planStep } from "./rollout_plan.ts";
import {
  isFinal,
  isSameProgress,
  mergeProgress,
  type RolloutProgress,
} from "./rollout_progress.ts";
import {
  findVersionDifference,
  type HostEvidence,
  type VersionDifference,
} from "./version_evidence.ts";

export interface VersionChoice {
  /** The version that the call should run on. */
  isPreferred(version: ServiceVersion): boolean;
  /** The version for a repeat, and for a call for which the preferred one had no place. */
  isPreferredNext(version: ServiceVersion): boolean;
  /** Versions that may run the call when no preferred one can. */
  isAllowed(version: ServiceVersion): boolean;
  /** How many instances of the target version may run it; all when undefined. */
  readonly instances?: number;
  /**
   * Whether any version may run the call while no instance of an allowed version is known. The other
   * instances are stopped when a rollout is complete, so there may be none when a daemon that has
   * restarted still takes the rollout for running.
   */
  readonly mayRunOnAny?: boolean;
}

export interface RolloutStep {
  readonly evidence: readonly HostEvidence[];
  /** Whether this daemon raises the share and ends the rollout. */
  readonly isLeader: boolean;
  /** How many instances of the target version can serve. */
  readonly countTargetInstances: (progress: RolloutProgress) => number;
  readonly now: Milliseconds;
}

export type RolloutEvent =
  | { readonly type: "share"; readonly progress: RolloutProgress }
  | {
    readonly type: "reverted";
    readonly progress: RolloutProgress;
    readonly regression: VersionDifference;
  }
  | { readonly type: "complete"; readonly progress: RolloutProgress };

interface Rollout {
  progress: RolloutProgress;
  duration: Milliseconds;
  orderedAt: Milliseconds;
  fullShareAt: Milliseconds | undefined;
}

export interface RolloutRegistry {
  readonly progress: readonly RolloutProgress[];
  /** Takes an order; returns false when it is known or older than one that is. */
  addOrder(order: RolloutOrder, offset: number, now: Milliseconds): boolean;
  /** Takes over what another daemon or the store tells; returns whether anything changed. */
  mergeProgress(progress: RolloutProgress, now: Milliseconds): boolean;
  /** Judges and advances the rollouts that run. */
  advance(step: RolloutStep): readonly RolloutEvent[];
  chooseVersion(service: ServiceName, callIdentity: string): VersionChoice;
  find(service: ServiceName): RolloutProgress | undefined;
}

const ANY_VERSION: VersionChoice = {
  isPreferred: () => true,
  isPreferredNext: () => true,
  isAllowed: () => true,
};

/** Assumed for a rollout of which only its progress is known. */
const UNKNOWN_DURATION_MS: Milliseconds = 12_000;

export function createRolloutRegistry(): RolloutRegistry {
  const rollouts = new Map<ServiceName, Rollout>();

  function order(
    { service, targetVersion, durationMilliseconds }: RolloutOrder,
    offset: number,
    now: Milliseconds,
  ): boolean {
    const known = rollouts.get(service);
    if (known !== undefined && known.progress.orderOffset >= offset) {
      known.duration = known.progress.orderOffset === offset
        ? durationMilliseconds
        : known.duration;
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
      orderedAt: now,
      fullShareAt: undefined,
    });
    return true;
  }

  function merge(theirs: RolloutProgress, now: Milliseconds): boolean {
    const known = rollouts.get(theirs.service);
    if (known === undefined) {
      rollouts.set(theirs.service, {
        progress: theirs,
        duration: UNKNOWN_DURATION_MS,
        orderedAt: now,
        fullShareAt: theirs.step === LAST_STEP ? now : undefined,
      });
      return true;
    }
    const merged = mergeProgress(known.progress, theirs);
    const isChanged = !isSameProgress(merged, known.progress);
    if (merged.orderOffset !== known.progress.orderOffset) {
      known.orderedAt = now;
      known.fullShareAt = undefined;
    }
    setProgress(known, merged, now);
    return isChanged;
  }

  function setProgress(
    rollout: Rollout,
    progress: RolloutProgress,
    now: Milliseconds,
  ): void {
    rollout.progress = progress;
    if (progress.step === LAST_STEP) {
      rollout.fullShareAt ??= now;
    }
  }

  function advanceOne(
    rollout: Rollout,
    step: RolloutStep,
  ): RolloutEvent | undefined {
    const { progress } = rollout;
    if (isFinal(progress)) {
      return undefined;
    }
    const difference = findVersionDifference(step.evidence, {
      service: progress.service,
      version: progress.targetVersion,
    });
    if (difference !== undefined) {
      setProgress(rollout, { ...progress, state: "reverted" }, step.now);
      return {
        type: "reverted",
        progress: rollout.progress,
        regression: difference,
      };
    }
    const targetInstances = step.isLeader
      ? step.countTargetInstances(progress)
      : 0;
    if (targetInstances === 0) {
      return undefined;
    }
    const position = {
      elapsed: step.now - rollout.orderedAt,
      duration: rollout.duration,
    };
    const planned = planStep({ ...position, targetInstances });
    if (planned.step > progress.step) {
      setProgress(rollout, {
        ...progress,
        step: planned.step,
        share: planned.share,
        instances: planned.instances,
      }, step.now);
      return { type: "share", progress: rollout.progress };
    }
    if (
      rollout.fullShareAt !== undefined &&
      mayComplete(position, step.now - rollout.fullShareAt)
    ) {
      setProgress(rollout, { ...progress, state: "complete" }, step.now);
      return { type: "complete", progress: rollout.progress };
    }
    return undefined;
  }

  return {
    get progress() {
      return [...rollouts.values()].map(({ progress }) => progress);
    },
    addOrder: order,
    mergeProgress: merge,
    advance: (step) =>
      [...rollouts.values()].map((rollout) => advanceOne(rollout, step))
        .filter((event) => event !== undefined),
    chooseVersion(service, callIdentity) {
      const progress = rollouts.get(service)?.progress;
      return progress === undefined
        ? ANY_VERSION
        : chooseBetween(progress, callIdentity);
    },
    find: (service) => rollouts.get(service)?.progress,
  };
}

function chooseBetween(
  { targetVersion, share, instances, state }: RolloutProgress,
  callIdentity: string,
): VersionChoice {
  const isTarget = (version: ServiceVersion) => version === targetVersion;
  const isOther = (version: ServiceVersion) => version !== targetVersion;
  switch (state) {
    case "reverted":
      return {
        isPreferred: isOther,
        isPreferredNext: isOther,
        isAllowed: isOther,
      };
    case "complete":
      return {
        isPreferred: isTarget,
        isPreferredNext: isTarget,
        isAllowed: () => true,
      };
    case "running": {
      const getsTarget = hashToFraction(`rollout|${callIdentity}`) < share;
      return {
        isPreferred: getsTarget ? isTarget : isOther,
        // A repeat on the version under test would fail again if that is bad, and adds to its calls.
        isPreferredNext: isOther,
        // Before the first share nothing but an order speaks for the version.
        isAllowed: share === 0 ? isOther : () => true,
        instances: getsTarget ? instances : undefined,
        mayRunOnAny: true,
      };
    }
  }
}
