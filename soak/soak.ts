/**
 * Runs real daemons under random faults and checks what callers and instances observe.
 *
 * @module
 */

import { mkdirSync, rmSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { startStoreStandIn } from "../platform/stand_in/mesh_fixture.ts";
import type { Milliseconds } from "../src/base/common/milliseconds.ts";
import { createRandomSource } from "../src/base/common/random_source.ts";
import { createLoopDelay } from "../src/base/node/loop_delay.ts";
import { MONOTONIC_CLOCK } from "../src/base/node/system_clock.ts";
import { planFaults } from "./fault_plan.ts";
import {
  type AcceptedConfiguration,
  DEPLOYED_BOUNDS,
  type Disruption,
  type DrainAcknowledgement,
  type ObservedCall,
  type ObservedRun,
  type UnexpectedExit,
  type Violation,
} from "./observations.ts";
import { checkGuarantees } from "./guarantee_check.ts";
import { type Callers, startCallers } from "./soak_callers.ts";
import { findAccount } from "./soak_accounts.ts";
import { createSoakConfiguration } from "./soak_configuration.ts";
import { createFaultInjection, type FaultInjection } from "./soak_faults.ts";
import { drawSoakParts } from "./soak_parts.ts";
import { createUnevenSpeed } from "./host_speed.ts";
import { createSoakHost, type SoakHost, waitUntilReady } from "./soak_host.ts";

const SCHEDULING_SAMPLE_INTERVAL_MS: Milliseconds = 50;
const MEMORY_SAMPLE_INTERVAL_MS: Milliseconds = 500;
/** A daemon that waits this long for a processor within one interval may miss its bounds. */
const STARVATION_THRESHOLD_MS: Milliseconds = 40;
const RECOVERY_WAIT_MS: Milliseconds = DEPLOYED_BOUNDS.recoverWithin + 3_000;

export interface SoakOptions {
  readonly seed: number;
  readonly seconds: number;
  readonly hosts: number;
  readonly callsPerSecond: number;
  /** Where settings, logs and the observations of the run are written. */
  readonly folder: string;
}

export interface SoakResult {
  readonly calls: number;
  readonly served: number;
  readonly runs: number;
  readonly faults: number;
  /** Number of intervals in which a daemon was starved of processor time. */
  readonly starvations: number;
  readonly violations: readonly Violation[];
}

export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  rmSync(options.folder, { recursive: true, force: true });
  mkdirSync(options.folder, { recursive: true });
  const clock = MONOTONIC_CLOCK;
  const startedAt = clock.now();
  const now = () => Math.round(clock.now() - startedAt);
  const calls: ObservedCall[] = [];
  const runs: ObservedRun[] = [];
  const drainAcknowledgements: DrainAcknowledgement[] = [];
  const starvations: Disruption[] = [];
  const configurations: AcceptedConfiguration[] = [];
  const parts = drawSoakParts(options.seed);
  const unexpectedExits: UnexpectedExit[] = [];
  const store = await startStoreStandIn();
  let maximumLoopDelay: Milliseconds = 0;
  let hosts: readonly SoakHost[] = [];
  let peakMemoryMegabytes = 0;
  const starvedTimes = new Map<string, Milliseconds>();
  const loopDelay = createLoopDelay(clock);
  const schedulingSampling = clock.repeat(SCHEDULING_SAMPLE_INTERVAL_MS, () => {
    maximumLoopDelay = Math.max(maximumLoopDelay, loopDelay.current);
    recordStarvation();
  });
  const memorySampling = clock.repeat(MEMORY_SAMPLE_INTERVAL_MS, () => {
    for (const { peakMemoryMegabytes: hostPeak } of hosts) {
      peakMemoryMegabytes = Math.max(peakMemoryMegabytes, hostPeak);
    }
  });

  /** Guarantees do not cover times in which a busy machine starves a daemon of processor time. */
  function recordStarvation(): void {
    for (const host of hosts) {
      const before = starvedTimes.get(host.name) ?? 0;
      const { starvedTime } = host;
      starvedTimes.set(host.name, starvedTime);
      if (starvedTime - before >= STARVATION_THRESHOLD_MS) {
        const until = now();
        const from = until - (starvedTime - before);
        starvations.push({
          host: host.name,
          from,
          until,
          isPlanned: false,
          isStarvation: true,
        });
      }
    }
  }

  function publish(): void {
    const number = configurations.length + 1;
    store.write(
      "keyed.op",
      "config",
      createSoakConfiguration(number, parts),
    );
    configurations.push({ number, acceptedAt: now() });
  }

  publish();
  hosts = await Promise.all(
    Array.from({ length: options.hosts }, (_, index) =>
      createSoakHost({
        index,
        folder: options.folder,
        store,
        now,
        speed: parts.hasUnevenSpeed
          ? createUnevenSpeed(
            createRandomSource(options.seed + 0.875 + index),
            now,
          )
          : undefined,
        startsCold: parts.hasColdInstances,
        observerDelay: () => loopDelay.current,
        onCold: (host, duration) => injection.recordCold(host, duration),
        onRun: (run) => runs.push(run),
        onDrainAcknowledged: (acknowledgement) =>
          drainAcknowledgements.push(acknowledgement),
        onUnexpectedExit: (exit) => unexpectedExits.push(exit),
        callNested: (host, call) => callers.callNested(host, call),
      })),
  );
  for (const host of hosts) {
    host.start();
    await host.startInstance();
  }
  await Promise.all(hosts.map(waitUntilReady));
  const callers: Callers = startCallers({
    hosts,
    random: createRandomSource(options.seed + 1),
    callsPerSecond: options.callsPerSecond,
    hasAccounts: parts.hasAccounts,
    now,
    newestConfiguration: () => configurations.length,
    observerDelay: () => maximumLoopDelay,
    onCall: (call) => calls.push(call),
  });

  const injection: FaultInjection = createFaultInjection({
    hosts,
    store,
    now,
    publish,
  });
  const faults = planFaults({
    seed: options.seed,
    hosts: options.hosts,
    duration: options.seconds * 1_000,
    parts,
  });
  const faultsStartedAt = now();
  for (const fault of faults) {
    await sleep(Math.max(0, faultsStartedAt + fault.at - now()));
    injection.inject(fault);
  }
  await injection.waitUntilEnded();
  await sleep(RECOVERY_WAIT_MS);
  await callers.stop();
  schedulingSampling.dispose();
  memorySampling.dispose();
  loopDelay.dispose();
  await Promise.all(hosts.map((host) => host.close()));
  await store.close();
  const { records } = injection;
  const disruptions = [...records.disruptions, ...starvations];
  const violations = checkGuarantees({
    ...records,
    calls,
    runs,
    drainAcknowledgements,
    configurations,
    disruptions,
    unexpectedExits,
    peakMemoryMegabytes,
    hosts,
    accountOf: (identity) =>
      parts.hasAccounts ? findAccount(identity).name : undefined,
  }, DEPLOYED_BOUNDS);
  writeFileSync(
    join(options.folder, "run.json"),
    JSON.stringify({
      options,
      parts,
      faults,
      ...records,
      disruptions,
      configurations,
      violations,
      calls,
      runs,
    }),
  );
  return {
    calls: calls.length,
    served: calls.filter(({ status }) => status === 200).length,
    runs: runs.length,
    faults: faults.length,
    starvations: starvations.length,
    violations,
  };
}
