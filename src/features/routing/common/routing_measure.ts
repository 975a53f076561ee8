/**
 * Simulates routing policies: several routers share modelled instances under a virtual clock. It
 * measures the effect of a policy on the success rate and the load distribution.
 *
 * @module
 */

import { VirtualClock } from "../../../base/common/clock.ts";
import { createEmitter } from "../../../base/common/emitter.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import {
  createRandomSource,
  type RandomSource,
} from "../../../base/common/random_source.ts";
import type { HostIdentity } from "../../../world/common/host.ts";
import type { UpstreamInstance } from "../../../world/common/upstream_instance.ts";
import type { InstanceRouter } from "./instance_router.ts";
import { createInstanceRouter } from "./router.ts";
import {
  DEFAULT_ROUTING_POLICY,
  type RoutingPolicy,
} from "./routing_policy.ts";

const SERVICE = "booking";
const VERSION = "v1";
const SLOTS = 16;
const SERVICE_MS: Milliseconds = 20;
const SHED_RESPONSE_MS: Milliseconds = 1;
/** Initial service time of a cold instance, relative to a warm one. */
const COLD_FACTOR = 8;
const WARM_UP_MS: Milliseconds = 8_000;
const SLOW_FACTOR = 5;
const FAILING_SHARE = 0.8;
const MAXIMUM_ATTEMPTS = 2;

export interface RoutingMeasureOptions {
  readonly policy?: Partial<RoutingPolicy>;
  readonly seed: number;
  readonly instances: number;
  readonly daemons: number;
  readonly callsPerSecond: number;
  readonly durationMilliseconds: Milliseconds;
}

export const DEFAULT_MEASURE_OPTIONS: RoutingMeasureOptions = {
  seed: 1,
  instances: 10,
  daemons: 4,
  callsPerSecond: 4_000,
  durationMilliseconds: 20_000,
};

export interface RoutingMeasurement {
  readonly calls: number;
  /** Share of calls that succeeded, with at most one retry. */
  readonly successShare: number;
  readonly shedAttempts: number;
  readonly refusals: number;
  /** Coefficient of variation (standard deviation by mean) of the busy time of the healthy instances. */
  readonly loadSpread: number;
  readonly meanMilliseconds: Milliseconds;
}

interface ModelInstance {
  readonly instance: UpstreamInstance;
  readonly slowFactor: number;
  readonly failingShare: number;
  coldSince: Milliseconds;
  inFlight: number;
  busyMilliseconds: number;
}

/** Instance 1 is slow, instance 2 fails, and instance 3 joins cold after a third of the duration. */
export function measureRouting(
  options: RoutingMeasureOptions,
): RoutingMeasurement {
  const clock = new VirtualClock();
  const random = createRandomSource(options.seed);
  const models = createModels(options.instances);
  const cold = models[3 % models.length];
  const changed = createEmitter<void>();
  let presentModels = models.filter((model) => model !== cold);
  const routers = Array.from(
    { length: options.daemons },
    (_, index) =>
      createInstanceRouter({
        directory: {
          self: createSelf(index),
          get instances() {
            return presentModels.map((model) => model.instance);
          },
          onChanged: changed.event,
        },
        shift: { splitOf: () => SPLIT },
        clock,
        random,
        policy: { ...DEFAULT_ROUTING_POLICY, ...options.policy },
      }),
  );
  clock.schedule(options.durationMilliseconds / 3, () => {
    cold.coldSince = clock.now();
    presentModels = models;
    changed.fire();
  });
  const totals = { calls: 0, successes: 0, shed: 0, refusals: 0, time: 0 };
  const interval = 1_000 / options.callsPerSecond;
  while (clock.now() < options.durationMilliseconds) {
    const router = routers[random.nextInteger(routers.length)];
    runCall({ clock, random, router, models, totals });
    clock.advance(interval * 2 * random.nextFraction());
  }
  clock.advance(1_000);
  return {
    calls: totals.calls,
    successShare: totals.successes / totals.calls,
    shedAttempts: totals.shed,
    refusals: totals.refusals,
    loadSpread: computeLoadSpread(models),
    meanMilliseconds: totals.time / Math.max(1, totals.successes),
  };
}

const SPLIT = {
  stableVersion: VERSION,
  candidateVersion: undefined,
  candidateShare: 0,
  candidateInstances: Infinity,
};

interface SimulationContext {
  readonly clock: VirtualClock;
  readonly random: RandomSource;
  readonly router: InstanceRouter;
  readonly models: readonly ModelInstance[];
  readonly totals: {
    calls: number;
    successes: number;
    shed: number;
    refusals: number;
    time: number;
  };
}

function runCall(context: SimulationContext): void {
  const { clock, totals } = context;
  const startedAt = clock.now();
  const exclude = new Set<string>();
  totals.calls += 1;

  function attempt(): void {
    const assignment = context.router.assign({
      service: SERVICE,
      route: "availability",
      callIdentity: String(totals.calls),
      exclude,
    });
    if (typeof assignment === "string") {
      totals.refusals += 1;
      return;
    }
    const model = context.models.find(({ instance }) =>
      instance.identity === assignment.instance.identity
    )!;
    exclude.add(model.instance.identity);
    serve(context, model, (result, duration) => {
      assignment.finish(result, duration);
      totals.shed += result === "shed" ? 1 : 0;
      if (result === "success") {
        totals.successes += 1;
        totals.time += clock.now() - startedAt;
      } else if (exclude.size < MAXIMUM_ATTEMPTS) {
        attempt();
      }
    });
  }
  attempt();
}

function serve(
  { clock, random }: SimulationContext,
  model: ModelInstance,
  done: (
    result: "success" | "failure" | "shed",
    duration: Milliseconds,
  ) => void,
): void {
  if (model.inFlight >= SLOTS) {
    clock.schedule(SHED_RESPONSE_MS, () => done("shed", SHED_RESPONSE_MS));
    return;
  }
  model.inFlight += 1;
  const warmth = Math.min(1, (clock.now() - model.coldSince) / WARM_UP_MS);
  const coldFactor = COLD_FACTOR - (COLD_FACTOR - 1) * warmth;
  const duration = SERVICE_MS * (0.5 + random.nextFraction()) *
    model.slowFactor * coldFactor;
  const fails = random.nextFraction() < model.failingShare;
  clock.schedule(duration, () => {
    model.inFlight -= 1;
    model.busyMilliseconds += duration;
    done(fails ? "failure" : "success", duration);
  });
}

function createModels(count: number): ModelInstance[] {
  return Array.from({ length: count }, (_, index) => ({
    instance: {
      identity: `tacoma-${index}/10.0.0.${index}:80`,
      host: `tacoma-${index}`,
      failureDomain: "tacoma",
      service: SERVICE,
      version: VERSION,
      address: `10.0.0.${index}`,
      port: 80,
      slots: SLOTS,
      state: "ready",
    },
    slowFactor: index === 1 ? SLOW_FACTOR : 1,
    failingShare: index === 2 ? FAILING_SHARE : 0,
    coldSince: -Infinity,
    inFlight: 0,
    busyMilliseconds: 0,
  }));
}

function createSelf(index: number): HostIdentity {
  return {
    process: { host: `tacoma-${index}`, startedAt: 0 },
    failureDomain: "tacoma",
    addresses: {
      address: `10.0.0.${index}`,
      proxyPort: 0,
      administrationPort: 0,
      linkPort: 0,
    },
  };
}

function computeLoadSpread(models: readonly ModelInstance[]): number {
  const loads = models
    .filter((model, index) =>
      index !== 3 && model.slowFactor === 1 && model.failingShare === 0
    )
    .map((model) => model.busyMilliseconds);
  const mean = loads.reduce((sum, load) => sum + load, 0) / loads.length;
  const variance = loads.reduce((sum, load) => sum + (load - mean) ** 2, 0) /
    loads.length;
  return Math.sqrt(variance) / mean;
}
