/**
 * The router of a daemon. It keeps the health and concurrency limit of each instance.
 *
 * @module
 */

import type { Clock } from "../../../base/common/clock.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { RandomSource } from "../../../base/common/random_source.ts";
import type { ServiceName } from "../../../world/common/names.ts";
import type { UpstreamInstance } from "../../../world/common/upstream_instance.ts";
import type { Directory } from "../../membership/common/directory.ts";
import type { TrafficShift } from "../../move/common/traffic_shift.ts";
import {
  computeLimit,
  type ConcurrencyState,
  createConcurrencyState,
  recordShed,
  recordSuccess,
} from "./allowed_concurrency.ts";
import {
  eject,
  type HealthState,
  HEALTHY,
  isEjected,
  isOutlier,
  markSuspect,
  mayEjectAnother,
  recordHealth,
} from "./ejection.ts";
import { chooseInstance } from "./instance_choice.ts";
import type {
  Assignment,
  AttemptResult,
  InstanceRequest,
  InstanceRouter,
} from "./instance_router.ts";
import {
  DEFAULT_ROUTING_POLICY,
  type RoutingPolicy,
} from "./routing_policy.ts";
import { isRoutedToCandidate, listVersionGroups } from "./version_choice.ts";

/**
 * Instances that a daemon discovers within this time of its start were running before it and get no
 * slow start.
 */
export const INITIAL_DISCOVERY_MS: Milliseconds = 3_000;

/** The state of an instance that has left the directory is kept for this time. */
const ABSENT_RETENTION_MS: Milliseconds = 60_000;

export interface InstanceRouterOptions {
  readonly directory: Pick<Directory, "self" | "instances" | "onChanged">;
  readonly shift: Pick<TrafficShift, "splitOf">;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly policy?: RoutingPolicy;
}

interface InstanceState {
  instance: UpstreamInstance;
  concurrency: ConcurrencyState;
  health: HealthState;
  inFlight: number;
  /** Undefined while the instance is in the directory. */
  absentSince: Milliseconds | undefined;
}

export function createInstanceRouter(
  options: InstanceRouterOptions,
): InstanceRouter {
  const { directory, shift, clock, random } = options;
  const policy = options.policy ?? DEFAULT_ROUTING_POLICY;
  const startedAt = clock.now();
  const instanceStates = new Map<string, InstanceState>();
  let byService = new Map<ServiceName, UpstreamInstance[]>();
  const registration = directory.onChanged(updateInstances);
  updateInstances();

  function updateInstances(): void {
    const now = clock.now();
    const isInitialDiscovery = now - startedAt < INITIAL_DISCOVERY_MS;
    const present = new Set<string>();
    byService = new Map();
    for (const instance of directory.instances) {
      present.add(keyOf(instance));
      trackInstance(instance, isInitialDiscovery ? -Infinity : now);
      const list = byService.get(instance.service);
      if (list === undefined) {
        byService.set(instance.service, [instance]);
      } else {
        list.push(instance);
      }
    }
    for (const [key, state] of instanceStates) {
      if (present.has(key)) {
        continue;
      }
      state.absentSince ??= now;
      if (
        state.inFlight === 0 && now - state.absentSince > ABSENT_RETENTION_MS
      ) {
        instanceStates.delete(key);
      }
    }
  }

  function trackInstance(
    instance: UpstreamInstance,
    slowStartBeganAt: Milliseconds,
  ) {
    const state = instanceStates.get(keyOf(instance));
    const concurrency = createConcurrencyState(
      instance.slots,
      slowStartBeganAt,
      policy,
    );
    if (state === undefined) {
      instanceStates.set(keyOf(instance), {
        instance,
        concurrency,
        health: HEALTHY,
        inFlight: 0,
        absentSince: undefined,
      });
      return;
    }
    if (state.absentSince !== undefined) {
      // An instance that returns to the directory was restarted and is cold.
      state.absentSince = undefined;
      state.concurrency = concurrency;
    }
    state.instance = instance;
  }

  function describeLoad(instance: UpstreamInstance, now: Milliseconds) {
    const state = instanceStates.get(keyOf(instance))!;
    return {
      state,
      failureDomain: instance.failureDomain,
      inFlight: state.inFlight,
      limit: computeLimit(state.concurrency, now, {
        slots: instance.slots,
        policy,
      }),
      isEjected: isEjected(state.health, now),
      isSuspect: now < state.health.suspectUntil,
    };
  }

  function assign(
    request: InstanceRequest,
  ): Assignment | "no-instance" | "all-busy" {
    const split = shift.splitOf(request.service);
    const instances = byService.get(request.service) ?? [];
    if (split === undefined) {
      return "no-instance";
    }
    const now = clock.now();
    const isCandidate = isRoutedToCandidate(
      split,
      request.service,
      request.callIdentity,
    );
    let isBusy = false;
    for (const group of listVersionGroups(instances, split, isCandidate)) {
      const views = group
        .filter(({ identity }) => !request.exclude.has(identity))
        .map((instance) => describeLoad(instance, now));
      const chosen = chooseInstance(views, {
        failureDomain: directory.self.failureDomain,
        random,
        sampleSize: policy.sampleSize,
      });
      if (chosen !== undefined) {
        return acquire(chosen.state, now);
      }
      isBusy ||= views.some((one) => !one.isEjected);
    }
    return isBusy ? "all-busy" : "no-instance";
  }

  function acquire(state: InstanceState, assignedAt: Milliseconds): Assignment {
    let finished = false;
    state.inFlight += 1;
    return {
      instance: state.instance,
      finish(result) {
        if (!finished) {
          finished = true;
          state.inFlight -= 1;
          recordResult(state, result, assignedAt);
        }
      },
    };
  }

  function recordResult(
    state: InstanceState,
    result: AttemptResult,
    assignedAt: Milliseconds,
  ): void {
    const now = clock.now();
    if (result === "cancelled") {
      return;
    }
    if (result === "shed") {
      state.concurrency = recordShed(state.concurrency, assignedAt, {
        now,
        policy,
      });
      return;
    }
    if (result === "success") {
      state.concurrency = recordSuccess(
        state.concurrency,
        state.instance.slots,
      );
    }
    state.health = recordHealth(state.health, result, now);
    if (result !== "success") {
      ejectIfOutlier(state, now);
    }
  }

  function ejectIfOutlier(state: InstanceState, now: Milliseconds): void {
    const { service, version } = state.instance;
    const peers = (byService.get(service) ?? [])
      .map((instance) => instanceStates.get(keyOf(instance))!);
    const ejected = peers.filter((peer) => isEjected(peer.health, now)).length;
    // Only instances of the same version are compared; the move compares its versions itself.
    const others = peers.filter((peer) =>
      peer !== state && peer.instance.version === version
    );
    const isFailureOutlier = isOutlier(
      state.health,
      others.map((peer) => peer.health),
      policy.ejection,
    );
    if (!isFailureOutlier || isEjected(state.health, now)) {
      return;
    }
    if (!mayEjectAnother(ejected, peers.length, policy.ejection)) {
      state.health = markSuspect(state.health, now, policy.ejection);
      return;
    }
    state.health = eject(state.health, now, policy.ejection);
    state.concurrency = createConcurrencyState(
      state.instance.slots,
      state.health.ejectedUntil,
      policy,
    );
  }

  return {
    assign,
    dispose() {
      registration.dispose();
      instanceStates.clear();
    },
  };
}

/** Includes the version: another version at the same address starts with a new state. */
function keyOf(instance: UpstreamInstance): string {
  return `${instance.identity}|${instance.version}`;
}
