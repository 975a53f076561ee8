/**
 * A simulation of callers and upstream instances for the measurement of moves. Instances have
 * slots and a service time that rises with load; calls follow the splits of the daemons.
 *
 * @module
 */

import { rankByRendezvous } from "../../../base/common/hashing.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { RandomSource } from "../../../base/common/random_source.ts";
import type { UpstreamInstance } from "../../../world/common/upstream_instance.ts";
import type { MeshDaemon } from "./memory_mesh.ts";
import type { AttemptSample } from "./traffic_shift.ts";

/** One of the two workloads of the design, reduced to the service of the move. */
export interface MoveWorkload {
  readonly name: string;
  readonly service: string;
  readonly failureDomains: readonly string[];
  readonly latencyMilliseconds: Milliseconds;
  readonly instances: number;
  readonly slots: number;
  readonly serviceMilliseconds: Milliseconds;
  readonly routes: readonly ModelRoute[];
}

export interface ModelRoute {
  readonly name: string;
  /** The fraction of the service's calls. */
  readonly callFraction: number;
  /** The service time of the route as a multiple of the service's. */
  readonly weight: number;
}

/** The properties of a call on which the behaviour of a version depends. */
export interface CallContext {
  /** The elapsed fraction of the time to the deadline. */
  readonly progress: number;
  readonly load: number;
  readonly route: string;
  /** The number of calls that the instance received before. */
  readonly served: number;
  /** Whether the instance is the first of the new version that was called. */
  readonly isFirstCalled: boolean;
}

/** The effect of a version or a broken daemon on a call. */
export interface CallEffect {
  readonly failureRate?: number;
  readonly slowdown?: number;
  readonly shedRate?: number;
}

export type VersionBehaviour = (context: CallContext) => CallEffect;

export interface ModelOptions {
  readonly workload: MoveWorkload;
  readonly instances: readonly UpstreamInstance[];
  readonly candidateVersion: string;
  readonly stable: VersionBehaviour;
  readonly candidate: VersionBehaviour;
  readonly random: RandomSource;
  /** The slowdown of the replaced version, by which the call rate is reduced. */
  readonly stableSlowdown: number;
  /** The effect of a daemon on its calls, independent of the version. */
  readonly brokenDaemons: ReadonlyMap<string, CallEffect>;
}

export interface ModelCall {
  readonly isCandidate: boolean;
  /** Whether the version failed or slowed the call. */
  readonly isAffected: boolean;
  readonly daemon: MeshDaemon;
}

export interface CallModel {
  /** Makes the calls of one interval and records the calls that end in it. */
  step(
    daemons: readonly MeshDaemon[],
    time: { readonly interval: Milliseconds; readonly progress: number },
    onCall: (call: ModelCall) => void,
  ): void;
}

/** The load of the instances when one version has all calls. */
const AVERAGE_LOAD = 0.5;
/** The relative increase of the service time from an idle to a full instance. */
const LOAD_EFFECT = 0.6;
/** The standard deviation of the logarithm of service times. */
const LATENCY_LOG_DEVIATION = 0.3;
/** The maximum duration of a call, in intervals. */
const MAXIMUM_CALL_INTERVALS = 200;

interface ModelInstance {
  readonly instance: UpstreamInstance;
  inFlight: number;
  served: number;
}

interface PendingEnd {
  readonly target: ModelInstance;
  readonly daemon: MeshDaemon;
  readonly sample: AttemptSample;
}

export function createCallModel(options: ModelOptions): CallModel {
  const { workload, random } = options;
  const targets = options.instances.map((instance): ModelInstance => ({
    instance,
    inFlight: 0,
    served: 0,
  }));
  const rankGroup = createGroupRanking(targets);
  const pendingEnds: PendingEnd[][] = Array.from(
    { length: MAXIMUM_CALL_INTERVALS + 1 },
    () => [],
  );
  let interval = 0;
  let firstCalled: ModelInstance | undefined;
  const callsPerMillisecond = workload.instances * workload.slots *
    AVERAGE_LOAD / (workload.serviceMilliseconds * options.stableSlowdown *
      (1 + LOAD_EFFECT * AVERAGE_LOAD ** 2) * meanWeight(workload));

  function chooseInstance(
    daemon: MeshDaemon,
    isCandidate: boolean,
    limit: number,
  ) {
    const version = isCandidate ? "candidate" : "stable";
    const group = `${version}|${daemon.self.failureDomain}`;
    const all = rankGroup(
      group,
      (target) =>
        (target.instance.version === options.candidateVersion) ===
          isCandidate &&
        target.instance.failureDomain === daemon.self.failureDomain,
    );
    const count = Math.min(all.length, limit);
    const one = all[random.nextInteger(count)];
    const other = all[random.nextInteger(count)];
    return one.inFlight <= other.inFlight ? one : other;
  }

  function makeCall(
    daemon: MeshDaemon,
    time: { readonly interval: Milliseconds; readonly progress: number },
  ): ModelCall {
    const split = daemon.shift.splitOf(workload.service)!;
    const isCandidate = split.stableVersion === options.candidateVersion ||
      random.nextFraction() < split.candidateShare;
    const limit = split.stableVersion === options.candidateVersion
      ? Infinity
      : split.candidateInstances;
    const target = chooseInstance(
      daemon,
      isCandidate,
      isCandidate ? limit : Infinity,
    );
    if (isCandidate) {
      firstCalled ??= target;
    }
    const route = chooseRoute(workload, random);
    const load = target.inFlight / workload.slots;
    const effect = (isCandidate ? options.candidate : options.stable)({
      progress: time.progress,
      load,
      route: route.name,
      served: target.served,
      isFirstCalled: target === firstCalled,
    });
    target.served += 1;
    const duration = workload.serviceMilliseconds * route.weight *
      (1 + LOAD_EFFECT * load * load) * (effect.slowdown ?? 1) *
      Math.exp(LATENCY_LOG_DEVIATION * nextNormal(random));
    const isShed = target.inFlight >= workload.slots ||
      random.nextFraction() < (effect.shedRate ?? 0);
    const broken = options.brokenDaemons.get(daemon.self.process.host) ?? {};
    const isFailed = random.nextFraction() < (effect.failureRate ?? 0);
    const sample: AttemptSample = {
      service: workload.service,
      version: target.instance.version,
      route: route.name,
      host: target.instance.host,
      result: isShed
        ? "shed"
        : isFailed || random.nextFraction() < (broken.failureRate ?? 0)
        ? "failure"
        : "success",
      durationMilliseconds: duration * (broken.slowdown ?? 1) +
        2 * workload.latencyMilliseconds,
      load,
    };
    if (isShed) {
      daemon.shift.record(sample);
    } else {
      target.inFlight += 1;
      const length = Math.max(1, Math.round(duration / time.interval));
      const endsAt = interval + Math.min(MAXIMUM_CALL_INTERVALS, length);
      pendingEnds[endsAt % pendingEnds.length].push({ target, daemon, sample });
    }
    return {
      isCandidate,
      isAffected: isFailed || (effect.slowdown ?? 1) > 1,
      daemon,
    };
  }

  return {
    step(daemons, time, onCall) {
      interval += 1;
      const ending = pendingEnds[interval % pendingEnds.length];
      for (const { target, daemon, sample } of ending) {
        target.inFlight -= 1;
        daemon.shift.record(sample);
      }
      ending.length = 0;
      const expected = callsPerMillisecond * time.interval / daemons.length;
      for (const daemon of daemons) {
        const calls = nextPoisson(expected, random);
        for (let index = 0; index < calls; index += 1) {
          onCall(makeCall(daemon, time));
        }
      }
    },
  };
}

/** Ranks and caches the instances of a group in the order in which routing prefers them. */
function createGroupRanking(targets: readonly ModelInstance[]) {
  const ranked = new Map<string, ModelInstance[]>();
  return (
    group: string,
    isInGroup: (target: ModelInstance) => boolean,
  ): ModelInstance[] => {
    let found = ranked.get(group);
    if (found === undefined) {
      const members = new Map(
        targets.filter(isInGroup).map((target) =>
          [target.instance.identity, target] as const
        ),
      );
      found = rankByRendezvous(group, members.keys()).map((identity) =>
        members.get(identity)!
      );
      ranked.set(group, found);
    }
    return found;
  };
}

function meanWeight(workload: MoveWorkload): number {
  return workload.routes.reduce(
    (sum, { callFraction: part, weight }) => sum + part * weight,
    0,
  );
}

function chooseRoute(workload: MoveWorkload, random: RandomSource): ModelRoute {
  let left = random.nextFraction();
  for (const route of workload.routes) {
    left -= route.callFraction;
    if (left < 0) {
      return route;
    }
  }
  return workload.routes[workload.routes.length - 1];
}

/** A standard normal number by the Box-Muller method. */
function nextNormal(random: RandomSource): number {
  return Math.sqrt(-2 * Math.log(1 - random.nextFraction())) *
    Math.cos(2 * Math.PI * random.nextFraction());
}

/** A Poisson-distributed number by Knuth's method, for a small `mean`. */
function nextPoisson(mean: number, random: RandomSource): number {
  const limit = Math.exp(-mean);
  let count = 0;
  for (
    let product = random.nextFraction();
    product > limit;
    product *= random.nextFraction()
  ) {
    count += 1;
  }
  return count;
}
