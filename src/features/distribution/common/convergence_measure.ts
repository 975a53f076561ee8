/**
 * Convergence time and control bytes of simulated daemons under faults.
 *
 * @module
 */

import type { Clock } from "../../../base/common/clock.ts";
import {
  type Milliseconds,
  SECOND_MS,
} from "../../../base/common/milliseconds.ts";
import {
  createRandomSource,
  type RandomSource,
} from "../../../base/common/random_source.ts";
import { RECORD_SCHEMA_VERSION } from "../../../world/common/log_record.ts";
import type {
  ConfigurationVersion,
  HostName,
} from "../../../world/common/names.ts";
import type { MemoryLog } from "../../log/common/memory_log.ts";
import { encodeRecord } from "../../fold/common/record_check.ts";
import { DOMAIN_READERS, rankReaders } from "./distribution_rules.ts";
import {
  createVirtualCluster,
  domainOf,
  type VirtualCluster,
  type VirtualClusterOptions,
} from "./virtual_cluster.ts";

const WARM_UP_MS: Milliseconds = 3_000;
const CONVERGENCE_LIMIT_MS: Milliseconds = 60_000;
const OUTAGE_MS: Milliseconds = 20_000;

/**
 * `outage` appends when the platform returns; `domain-partition` and `platform-cut` cut off one
 * domain from the others or from the platform; `restart` restarts half of the daemons;
 * `reader-loss` stops every reader of the platform, unannounced, until the change was measured.
 */
export const CONVERGENCE_SCENARIOS = [
  "platform-up",
  "outage",
  "domain-partition",
  "platform-cut",
  "restart",
  "reader-loss",
] as const;

export type ConvergenceScenario = typeof CONVERGENCE_SCENARIOS[number];

export interface ConvergenceOptions {
  readonly scenario: ConvergenceScenario;
  readonly domains: number;
  readonly daemonsPerDomain: number;
  readonly seeds: readonly number[];
  readonly changesPerSeed?: number;
}

export interface ConvergenceResult {
  readonly scenario: ConvergenceScenario;
  /** Times from the append until the change is in force in every daemon, one per change. */
  readonly p50Milliseconds: Milliseconds;
  readonly p99Milliseconds: Milliseconds;
  readonly maximumMilliseconds: Milliseconds;
  readonly changes: number;
  /** Changes that were not in force everywhere within 60 s. */
  readonly unfinished: number;
  readonly controlBytesPerSecond: number;
  /** Observations of a host whose version in force had decreased; expected to be 0. */
  readonly reverts: number;
}

/** Runs the scenario once per seed and combines the results. */
export async function measureConvergence(
  options: ConvergenceOptions,
): Promise<ConvergenceResult> {
  const runs = [];
  for (const seed of options.seeds) {
    runs.push(await runSeed(seed, options));
  }
  const times = runs.flatMap((run) => run.times).sort((a, b) => a - b);
  const sum = (values: number[]) => values.reduce((a, b) => a + b, 0);
  const at = (share: number) =>
    times[Math.min(times.length - 1, Math.floor(times.length * share))];
  return {
    scenario: options.scenario,
    p50Milliseconds: at(0.5),
    p99Milliseconds: at(0.99),
    maximumMilliseconds: at(1),
    changes: times.length,
    unfinished: times.filter((time) => time >= CONVERGENCE_LIMIT_MS).length,
    controlBytesPerSecond: sum(runs.map((run) => run.bytesPerSecond)) /
      runs.length,
    reverts: sum(runs.map((run) => run.reverts)),
  };
}

async function runSeed(seed: number, options: ConvergenceOptions) {
  const cluster = createVirtualCluster(
    { ...options, seed } satisfies VirtualClusterOptions,
  );
  const random = createRandomSource(seed);
  const revertCounter = createRevertCounter(cluster);
  const startedAt = cluster.clock.now();
  await cluster.run(WARM_UP_MS, revertCounter.observe);
  const times: Milliseconds[] = [];
  for (let index = 0; index < (options.changesPerSeed ?? 5); index += 1) {
    await cluster.run(random.nextInteger(1_000), revertCounter.observe);
    const fault = await startFault(options.scenario, cluster, random);
    const running = cluster.hosts.filter((host) =>
      !fault.stoppedHosts.includes(host)
    );
    times.push(
      await measureChange(cluster, {
        identity: `${seed}-${index}`,
        running,
        observe: revertCounter.observe,
      }),
    );
    fault.end();
    // Lets restarted hosts get ready before the next fault.
    await cluster.run(
      fault.stoppedHosts.length > 0 ? WARM_UP_MS : 0,
      revertCounter.observe,
    );
  }
  const seconds = (cluster.clock.now() - startedAt) / SECOND_MS;
  const bytesPerSecond = cluster.controlBytes / cluster.hosts.length / seconds;
  cluster.dispose();
  return { times, bytesPerSecond, reverts: revertCounter.reverts };
}

interface Fault {
  /** Hosts that stay stopped until the fault ends. */
  readonly stoppedHosts: readonly HostName[];
  end(): void;
}

function createFault(end: () => void = () => {}): Fault {
  return { stoppedHosts: [], end };
}

async function startFault(
  scenario: ConvergenceScenario,
  cluster: VirtualCluster,
  random: RandomSource,
): Promise<Fault> {
  switch (scenario) {
    case "platform-up":
      return createFault();
    case "outage":
      cluster.log.setFaults({ isDown: true });
      await cluster.run(OUTAGE_MS);
      cluster.log.setFaults({ isDown: false });
      return createFault();
    case "domain-partition":
      cluster.setCut("d0", "domains", true);
      return createFault(() => cluster.setCut("d0", "domains", false));
    case "platform-cut":
      cluster.setCut("d0", "platform", true);
      return createFault(() => cluster.setCut("d0", "platform", false));
    case "restart":
      restartHalf(cluster, random);
      return createFault();
    case "reader-loss": {
      const stoppedHosts = listReaders(cluster);
      stoppedHosts.forEach(cluster.stop);
      return { stoppedHosts, end: () => stoppedHosts.forEach(cluster.start) };
    }
  }
}

function restartHalf(cluster: VirtualCluster, random: RandomSource): void {
  for (const host of cluster.hosts) {
    if (random.nextFraction() < 0.5) {
      cluster.stop(host);
      cluster.clock.schedule(
        500 + random.nextFraction() * 1_000,
        () => cluster.start(host),
      );
    }
  }
}

function listReaders({ hosts }: VirtualCluster): HostName[] {
  return [...new Set(hosts.map(domainOf))].flatMap((domain) =>
    rankReaders(domain, hosts.filter((host) => domainOf(host) === domain))
      .slice(0, DOMAIN_READERS)
  );
}

interface ChangeOptions {
  readonly identity: string;
  /** The hosts on which the change must come into force. */
  readonly running: readonly HostName[];
  readonly observe: () => void;
}

async function measureChange(
  cluster: VirtualCluster,
  { identity, running, observe }: ChangeOptions,
): Promise<Milliseconds> {
  const appendedAt = cluster.clock.now();
  const version = appendChange(cluster, identity);
  const isInForce = (host: HostName) => {
    const source = cluster.daemons.get(host)?.source;
    return source !== undefined && source.isReady &&
      source.current.version >= version;
  };
  const elapsed = () => cluster.clock.now() - appendedAt;
  while (!running.every(isInForce) && elapsed() < CONVERGENCE_LIMIT_MS) {
    await cluster.run(5, observe);
  }
  return elapsed();
}

/** Appends a change of an object that no other change touches, so that its base is not stale. */
export function appendChange(
  { log, clock }: { readonly log: MemoryLog; readonly clock: Clock },
  identity: string,
): ConfigurationVersion {
  const record = encodeRecord({
    schema: RECORD_SCHEMA_VERSION,
    kind: "change",
    identity,
    baseVersion: -1,
    author: "measure",
    upsert: { services: [{ name: `service-${identity}`, version: "v1" }] },
    remove: {},
  });
  const result = log.append("configuration", record, clock.now());
  return result.kind === "appended" ? result.answer.offset : Infinity;
}

/** Counts observations of hosts whose version in force is lower than before, across restarts. */
export function createRevertCounter(cluster: VirtualCluster) {
  const highest = new Map<HostName, ConfigurationVersion>();
  let reverts = 0;
  return {
    get reverts() {
      return reverts;
    },
    observe(): void {
      for (const { host, source } of cluster.daemons.values()) {
        if (source.isReady) {
          const before = highest.get(host) ?? -1;
          reverts += source.current.version < before ? 1 : 0;
          highest.set(host, Math.max(before, source.current.version));
        }
      }
    },
  };
}
