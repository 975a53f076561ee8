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
import { RECORD_SCHEMA } from "../../../world/common/log_record.ts";
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
const LIMIT_MS: Milliseconds = 60_000;
const OUTAGE_MS: Milliseconds = 20_000;

/**
 * `outage` appends when the platform returns; `domain-partition` and `platform-cut` cut off one
 * domain from the others or from the platform; `restart` restarts half of the daemons;
 * `reader-loss` stops every reader of the platform for good, without a sign to the others.
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

export interface ConvergenceFigures {
  readonly scenario: ConvergenceScenario;
  /** Times from the append until the change is in force in every daemon, one per change. */
  readonly p50Milliseconds: Milliseconds;
  readonly p99Milliseconds: Milliseconds;
  readonly maximumMilliseconds: Milliseconds;
  readonly changes: number;
  /** Changes that were not in force everywhere within 60 s. */
  readonly unfinished: number;
  readonly controlBytesPerSecond: number;
  /** Daemons whose version in force went back; always 0. */
  readonly reverts: number;
}

/** Runs the scenario once per seed and joins the figures. */
export async function measureConvergence(
  options: ConvergenceOptions,
): Promise<ConvergenceFigures> {
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
    unfinished: times.filter((time) => time >= LIMIT_MS).length,
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
  const watch = createRevertWatch(cluster);
  const startedAt = cluster.clock.now();
  await cluster.run(WARM_UP_MS, watch.observe);
  const times: Milliseconds[] = [];
  for (let index = 0; index < (options.changesPerSeed ?? 5); index += 1) {
    await cluster.run(random.nextInteger(1_000), watch.observe);
    const fault = await startFault(options.scenario, cluster, random);
    const running = cluster.hosts.filter((host) => !fault.lost.includes(host));
    times.push(
      await measureChange(cluster, {
        identity: `${seed}-${index}`,
        running,
        observe: watch.observe,
      }),
    );
    fault.end();
    // Returned hosts take up their work before the next fault.
    await cluster.run(fault.lost.length > 0 ? WARM_UP_MS : 0, watch.observe);
  }
  const seconds = (cluster.clock.now() - startedAt) / SECOND_MS;
  const bytesPerSecond = cluster.controlBytes / cluster.hosts.length / seconds;
  cluster.dispose();
  return { times, bytesPerSecond, reverts: watch.reverts };
}

interface Fault {
  /** Hosts that do not return before the end of the fault. */
  readonly lost: readonly HostName[];
  end(): void;
}

function createFault(end: () => void = () => {}): Fault {
  return { lost: [], end };
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
      const lost = listReaders(cluster);
      lost.forEach(cluster.stop);
      return { lost, end: () => lost.forEach(cluster.start) };
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
  while (!running.every(isInForce) && elapsed() < LIMIT_MS) {
    await cluster.run(5, observe);
  }
  return elapsed();
}

/** Appends a change of its own object, so that no base is stale. */
export function appendChange(
  { log, clock }: { readonly log: MemoryLog; readonly clock: Clock },
  identity: string,
): ConfigurationVersion {
  const record = encodeRecord({
    schema: RECORD_SCHEMA,
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

/** Counts hosts whose version in force is lower than before, across restarts. */
export function createRevertWatch(cluster: VirtualCluster) {
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
