/**
 * A model of callers and upstream instances for the measurement of moves: instances with slots
 * and a service time that rises with load, and calls that follow the splits of the daemons.
 *
 * @module
 */

import { rankByRendezvous } from "../../../base/common/hashing.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { RandomSource } from "../../../base/common/random_source.ts";
import type { UpstreamInstance } from "../../../world/common/upstream_instance.ts";
import type { MeshDaemon } from "./memory_mesh.ts";
import type { AttemptSample } from "./traffic_shift.ts";

/** One of the two workloads of the design, reduced to the service that is moved. */
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
  /** The part of the service's calls. */
  readonly part: number;
  /** The service time as a multiple of the service's. */
  readonly weight: number;
}

/** What an instance knows of a call that it runs. */
export interface CallContext {
  /** The part of the time to the deadline that has passed. */
  readonly progress: number;
  readonly load: number;
  readonly route: string;
  /** Calls that the instance took before. */
  readonly served: number;
  /** Whether the instance is the first of its version that was called. */
  readonly isFirstCalled: boolean;
}

/** How a version treats a call. */
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
  /** The slowdown of the replaced version, which the call rate takes into account. */
  readonly stableSlowdown: number;
  /** What a daemon does to its calls, whatever the version. */
  readonly brokenDaemons: ReadonlyMap<string, CallEffect>;
}

export interface ModelCall {
  readonly isCandidate: boolean;
  /** Whether the version treated the call badly: failed it or slowed it. */
  readonly isAffected: boolean;
  readonly daemon: MeshDaemon;
}

export interface CallModel {
  /** Makes the calls of one interval and records the ones that end. */
  step(
    daemons: readonly MeshDaemon[],
    time: { readonly interval: Milliseconds; readonly progress: number },
    onCall: (call: ModelCall) => void,
  ): void;
}

/** Load of the instances when one version has all calls. */
const USUAL_LOAD = 0.5;
/** Growth of the service time from an idle to a full instance. */
const LOAD_EFFECT = 0.6;
/** The spread of the logarithm of service times. */
const LATENCY_SPREAD = 0.3;
/** Intervals for which a call may last. */
const LONGEST_CALL_INTERVALS = 200;

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
  const rankedByPlace = rankByPlace(targets);
  const ends: PendingEnd[][] = Array.from(
    { length: LONGEST_CALL_INTERVALS + 1 },
    () => [],
  );
  let interval = 0;
  let firstCalled: ModelInstance | undefined;
  const callsPerMillisecond = workload.instances * workload.slots *
    USUAL_LOAD / (workload.serviceMilliseconds * options.stableSlowdown *
      (1 + LOAD_EFFECT * USUAL_LOAD ** 2) * meanWeight(workload));

  function choose(daemon: MeshDaemon, isCandidate: boolean, limit: number) {
    const version = isCandidate ? "candidate" : "stable";
    const place = `${version}|${daemon.self.failureDomain}`;
    const all = rankedByPlace(
      place,
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

  function call(
    daemon: MeshDaemon,
    time: { readonly interval: Milliseconds; readonly progress: number },
  ): ModelCall {
    const split = daemon.shift.splitOf(workload.service)!;
    const isCandidate = split.stableVersion === options.candidateVersion ||
      random.nextFraction() < split.candidateShare;
    const limit = split.stableVersion === options.candidateVersion
      ? Infinity
      : split.candidateInstances;
    const target = choose(daemon, isCandidate, isCandidate ? limit : Infinity);
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
      Math.exp(LATENCY_SPREAD * nextNormal(random));
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
      const endsAt = interval + Math.min(LONGEST_CALL_INTERVALS, length);
      ends[endsAt % ends.length].push({ target, daemon, sample });
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
      const ending = ends[interval % ends.length];
      for (const { target, daemon, sample } of ending) {
        target.inFlight -= 1;
        daemon.shift.record(sample);
      }
      ending.length = 0;
      const expected = callsPerMillisecond * time.interval / daemons.length;
      for (const daemon of daemons) {
        const calls = nextPoisson(expected, random);
        for (let index = 0; index < calls; index += 1) {
          onCall(call(daemon, time));
        }
      }
    },
  };
}

/** The instances of a place in the order in which routing concentrates calls on them. */
function rankByPlace(targets: readonly ModelInstance[]) {
  const ranked = new Map<string, ModelInstance[]>();
  return (
    place: string,
    isInPlace: (target: ModelInstance) => boolean,
  ): ModelInstance[] => {
    let found = ranked.get(place);
    if (found === undefined) {
      const inPlace = new Map(
        targets.filter(isInPlace).map((target) =>
          [target.instance.identity, target] as const
        ),
      );
      found = rankByRendezvous(place, inPlace.keys()).map((identity) =>
        inPlace.get(identity)!
      );
      ranked.set(place, found);
    }
    return found;
  };
}

function meanWeight(workload: MoveWorkload): number {
  return workload.routes.reduce(
    (sum, { part, weight }) => sum + part * weight,
    0,
  );
}

function chooseRoute(workload: MoveWorkload, random: RandomSource): ModelRoute {
  let left = random.nextFraction();
  for (const route of workload.routes) {
    left -= route.part;
    if (left < 0) {
      return route;
    }
  }
  return workload.routes[workload.routes.length - 1];
}

/** A standard normal number by the method of Box and Muller. */
function nextNormal(random: RandomSource): number {
  return Math.sqrt(-2 * Math.log(1 - random.nextFraction())) *
    Math.cos(2 * Math.PI * random.nextFraction());
}

/** The number of events of a Poisson process, by Knuth's method; `mean` is small. */
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
