/**
 * The router of a daemon: it keeps what the daemon has seen of each instance.
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
  type ConcurrencyState,
  limitOf,
  recordShed,
  recordSuccess,
  startConcurrency,
} from "./allowed_concurrency.ts";
import {
  eject,
  hasRoomForEjection,
  type HealthState,
  HEALTHY,
  isEjected,
  isOutlier,
  recordHealth,
  suspect,
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
import { isForCandidate, listVersionGroups } from "./version_choice.ts";

/**
 * Instances that a starting daemon learns of in this time have been running before it, so
 * they need no slow start.
 */
export const LEARNING_TIME_MS: Milliseconds = 3_000;

/** What was seen of an instance that disappeared is kept for this time. */
const RETENTION_MS: Milliseconds = 60_000;

export interface InstanceRouterOptions {
  readonly directory: Pick<Directory, "self" | "instances" | "onChanged">;
  readonly shift: Pick<TrafficShift, "splitOf">;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly policy?: RoutingPolicy;
}

interface Observed {
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
  const observed = new Map<string, Observed>();
  let byService = new Map<ServiceName, UpstreamInstance[]>();
  const registration = directory.onChanged(update);
  update();

  function update(): void {
    const now = clock.now();
    const isLearning = now - startedAt < LEARNING_TIME_MS;
    const present = new Set<string>();
    byService = new Map();
    for (const instance of directory.instances) {
      present.add(keyOf(instance));
      observe(instance, isLearning ? -Infinity : now);
      const list = byService.get(instance.service);
      if (list === undefined) {
        byService.set(instance.service, [instance]);
      } else {
        list.push(instance);
      }
    }
    for (const [key, state] of observed) {
      if (present.has(key)) {
        continue;
      }
      state.absentSince ??= now;
      if (state.inFlight === 0 && now - state.absentSince > RETENTION_MS) {
        observed.delete(key);
      }
    }
  }

  function observe(instance: UpstreamInstance, rampStartedAt: Milliseconds) {
    const state = observed.get(keyOf(instance));
    const concurrency = startConcurrency(
      instance.slots,
      rampStartedAt,
      policy,
    );
    if (state === undefined) {
      observed.set(keyOf(instance), {
        instance,
        concurrency,
        health: HEALTHY,
        inFlight: 0,
        absentSince: undefined,
      });
      return;
    }
    if (state.absentSince !== undefined) {
      // An instance that comes back was restarted, and is cold.
      state.absentSince = undefined;
      state.concurrency = concurrency;
    }
    state.instance = instance;
  }

  function view(instance: UpstreamInstance, now: Milliseconds) {
    const state = observed.get(keyOf(instance))!;
    return {
      state,
      failureDomain: instance.failureDomain,
      inFlight: state.inFlight,
      limit: limitOf(state.concurrency, now, { slots: instance.slots, policy }),
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
    const isCandidate = isForCandidate(
      split,
      request.service,
      request.callIdentity,
    );
    let isBusy = false;
    for (const group of listVersionGroups(instances, split, isCandidate)) {
      const views = group
        .filter(({ identity }) => !request.exclude.has(identity))
        .map((instance) => view(instance, now));
      const chosen = chooseInstance(views, {
        failureDomain: directory.self.failureDomain,
        random,
        drawnInstances: policy.drawnInstances,
      });
      if (chosen !== undefined) {
        return hold(chosen.state, now);
      }
      isBusy ||= views.some((one) => !one.isEjected);
    }
    return isBusy ? "all-busy" : "no-instance";
  }

  function hold(state: Observed, assignedAt: Milliseconds): Assignment {
    let finished = false;
    state.inFlight += 1;
    return {
      instance: state.instance,
      finish(result) {
        if (!finished) {
          finished = true;
          state.inFlight -= 1;
          record(state, result, assignedAt);
        }
      },
    };
  }

  function record(
    state: Observed,
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

  function ejectIfOutlier(state: Observed, now: Milliseconds): void {
    const { service, version } = state.instance;
    const peers = (byService.get(service) ?? [])
      .map((instance) => observed.get(keyOf(instance))!);
    const ejected = peers.filter((peer) => isEjected(peer.health, now)).length;
    // The versions of a move are compared by the move itself, not here.
    const others = peers.filter((peer) =>
      peer !== state && peer.instance.version === version
    );
    const isFailing = isOutlier(
      state.health,
      others.map((peer) => peer.health),
      policy.ejection,
    );
    if (!isFailing || isEjected(state.health, now)) {
      return;
    }
    if (!hasRoomForEjection(ejected, peers.length, policy.ejection)) {
      state.health = suspect(state.health, now, policy.ejection);
      return;
    }
    state.health = eject(state.health, now, policy.ejection);
    state.concurrency = startConcurrency(
      state.instance.slots,
      state.health.ejectedUntil,
      policy,
    );
  }

  return {
    assign,
    dispose() {
      registration.dispose();
      observed.clear();
    },
  };
}

/** A host may run another version at the same address later; it starts without a history. */
function keyOf(instance: UpstreamInstance): string {
  return `${instance.identity}|${instance.version}`;
}
