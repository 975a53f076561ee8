/**
 * Runs real daemons under random faults and checks what callers and instances observe.
 *
 * @module
 */

import { mkdirSync, rmSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import {
  sendRequest,
  startStoreStandIn,
} from "../platform/stand_in/mesh_fixture.ts";
import type { StoreFault } from "../platform/stand_in/store_stand_in.ts";
import type { Milliseconds } from "../src/base/common/milliseconds.ts";
import { createRandomSource } from "../src/base/common/random_source.ts";
import { createLoopDelay } from "../src/base/node/loop_delay.ts";
import { MONOTONIC_CLOCK } from "../src/base/node/system_clock.ts";
import { type FaultKind, planFaults, type PlannedFault } from "./fault_plan.ts";
import type { ProxyFault } from "./fault_proxy.ts";
import {
  type AcceptedConfiguration,
  DEPLOYED_BOUNDS,
  type Disruption,
  type DrainAcknowledgement,
  type NamedLimit,
  type ObservedCall,
  type ObservedRun,
  type ObservedSignal,
  type UnexpectedExit,
  type Violation,
} from "./observations.ts";
import { checkGuarantees } from "./guarantee_check.ts";
import { type Callers, startCallers } from "./soak_callers.ts";
import { findAccount, usesAccounts } from "./soak_accounts.ts";
import { createSoakConfiguration } from "./soak_configuration.ts";
import { createSoakHost, type SoakHost } from "./soak_host.ts";

const PLANNED_FAULT_KINDS: readonly FaultKind[] = [
  "terminate",
  "instance-drain",
  "release",
];
const LINK_DELAY: ProxyFault = { type: "delay", milliseconds: 300 };
const STORE_FAULTS: Readonly<Partial<Record<FaultKind, StoreFault>>> = {
  "store-refuse": { type: "refuse", status: 503 },
  "store-silent": { type: "silent" },
  "store-lose": { type: "lose" },
  "store-reset": { type: "reset" },
  "store-delay": { type: "delay", milliseconds: 400 },
};
const SCHEDULING_SAMPLE_INTERVAL_MS: Milliseconds = 50;
const MEMORY_SAMPLE_INTERVAL_MS: Milliseconds = 500;
const NAMED_LIMIT_PER_SECOND = 5;
/** A daemon that waits this long for a processor within one interval may miss its bounds. */
const STARVATION_THRESHOLD_MS: Milliseconds = 40;
const READY_TIMEOUT_MS: Milliseconds = 20_000;
/** The longest fault and the longest stop and start together take less than this. */
const FAULT_TIMEOUT_MS: Milliseconds = 40_000;
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
  const configurations: AcceptedConfiguration[] = [];
  const namedLimits: NamedLimit[] = [];
  const openLimits = new Set<Promise<void>>();
  const limitedHosts = new Set<string>();
  const disruptions: Disruption[] = [];
  const stops: ObservedSignal[] = [];
  const hasAccounts = usesAccounts(options.seed);
  const reloads: ObservedSignal[] = [];
  const unexpectedExits: UnexpectedExit[] = [];
  const openDisruptions = new Set<Promise<void>>();
  const store = await startStoreStandIn();
  let maximumLoopDelay: Milliseconds = 0;
  let starvations = 0;
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
        disruptions.push({
          host: host.name,
          from,
          until,
          isPlanned: false,
          isStarvation: true,
        });
        starvations += 1;
      }
    }
  }

  function publish(): void {
    const number = configurations.length + 1;
    store.write(
      "keyed.op",
      "config",
      createSoakConfiguration(number, { hasAccounts }),
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
    hasAccounts,
    now,
    newestConfiguration: () => configurations.length,
    observerDelay: () => maximumLoopDelay,
    onCall: (call) => calls.push(call),
  });

  /** Records a fault that ends when `until` resolves. */
  function recordDisruption(
    kind: FaultKind,
    host: SoakHost | undefined,
    until: Promise<unknown>,
  ): void {
    const entry = {
      host: host?.name,
      from: now(),
      until: Infinity,
      isPlanned: PLANNED_FAULT_KINDS.includes(kind),
    };
    disruptions.push(entry);
    const limit = sleep(FAULT_TIMEOUT_MS, undefined, { ref: false }).then(
      () => {
        const where = host?.name ?? "the store";
        throw new Error(
          `Cannot continue: ${kind} at ${where} has not ended within ${FAULT_TIMEOUT_MS} ms`,
        );
      },
    );
    const ended = Promise.race([until, limit]).then(() => {
      entry.until = now();
      openDisruptions.delete(ended);
    });
    openDisruptions.add(ended);
  }

  async function kill(host: SoakHost, downFor: Milliseconds): Promise<void> {
    const ended = host.waitForExit();
    host.signal("SIGKILL");
    await ended;
    await sleep(downFor);
    await restart(host);
  }

  async function terminate(host: SoakHost): Promise<void> {
    const { processNumber } = host;
    const ended = host.waitForExit();
    if (host.isRunning) {
      stops.push({ host: host.name, at: now() });
    }
    host.signal("SIGTERM");
    const force = setTimeout(() => {
      if (host.processNumber === processNumber) {
        host.signal("SIGKILL");
      }
    }, DEPLOYED_BOUNDS.grace);
    await ended;
    clearTimeout(force);
    await restart(host);
  }

  async function restart(host: SoakHost): Promise<void> {
    if (!host.isRunning) {
      host.start();
      await waitUntilReady(host);
    }
  }

  async function injectProxyFault(
    proxy: SoakHost["link"],
    fault: ProxyFault,
    duration: Milliseconds,
  ): Promise<void> {
    proxy.setFault(fault);
    await sleep(duration);
    // Dropped bytes leave a gap in the stream, so the affected connections are reset.
    proxy.setFault({ type: "reset" });
    await sleep(1);
    proxy.setFault({ type: "none" });
  }

  /** The instance sends bytes that are no HTTP response for `duration`. */
  async function injectBrokenResponses(
    host: SoakHost,
    duration: Milliseconds,
  ): Promise<void> {
    host.setBrokenResponses(true);
    await sleep(duration);
    host.setBrokenResponses(false);
  }

  /** The instance names a rate limit, which is no disruption; nothing else is excused by it. */
  async function nameRateLimit(
    host: SoakHost,
    duration: Milliseconds,
  ): Promise<void> {
    const instance = host.instanceName;
    const from = now();
    if (limitedHosts.has(host.name)) {
      return;
    }
    limitedHosts.add(host.name);
    host.setRateLimit(NAMED_LIMIT_PER_SECOND);
    await sleep(duration);
    host.setRateLimit(undefined);
    limitedHosts.delete(host.name);
    namedLimits.push({
      instance,
      perSecond: NAMED_LIMIT_PER_SECOND,
      from,
      until: now(),
    });
  }

  async function injectStoreFault(
    fault: StoreFault,
    duration: Milliseconds,
  ): Promise<void> {
    store.setFault(() => fault);
    await sleep(duration);
    store.setFault(() => undefined);
  }

  function injectHostFault(
    kind: FaultKind,
    host: SoakHost,
    duration: Milliseconds,
  ): Promise<unknown> {
    switch (kind) {
      case "terminate":
        return terminate(host);
      case "pause":
        host.signal("SIGSTOP");
        return sleep(duration).then(() => host.signal("SIGCONT"));
      case "link-delay":
        return injectProxyFault(host.link, LINK_DELAY, duration);
      case "link-silent":
        return injectProxyFault(host.link, { type: "silent" }, duration);
      case "link-one-way":
        return injectProxyFault(host.link, { type: "one-way" }, duration);
      case "link-reset":
        return injectProxyFault(host.link, { type: "reset" }, duration);
      case "store-cut":
        return injectProxyFault(host.storeLink, { type: "silent" }, duration);
      case "instance-crash":
        return host.crashInstance().then(() => sleep(duration))
          .then(host.startInstance);
      case "instance-drain":
        return host.drainInstance().then(host.startInstance);
      case "release":
        return host.drainInstance().then(() => terminate(host))
          .then(host.startInstance);
      case "instance-bytes":
        return injectBrokenResponses(host, duration);
      default:
        return kill(host, duration);
    }
  }

  function injectFault(
    { kind, hosts: affected, duration }: PlannedFault,
  ): void {
    const storeFault = STORE_FAULTS[kind];
    if (storeFault !== undefined) {
      recordDisruption(kind, undefined, injectStoreFault(storeFault, duration));
      return;
    }
    switch (kind) {
      case "reload":
        for (const index of affected) {
          reloads.push({ host: hosts[index].name, at: now() });
          hosts[index].signal("SIGHUP");
        }
        break;
      case "store-compact":
        recordDisruption(kind, undefined, Promise.resolve());
        store.compact("keyed.op");
        break;
      case "configuration":
        publish();
        break;
      case "instance-limit":
        for (const index of affected) {
          openLimits.add(nameRateLimit(hosts[index], duration));
        }
        break;
      default:
        for (const index of affected) {
          recordDisruption(
            kind,
            hosts[index],
            injectHostFault(kind, hosts[index], duration),
          );
        }
    }
  }

  const faults = planFaults({
    seed: options.seed,
    hosts: options.hosts,
    duration: options.seconds * 1_000,
  });
  const faultsStartedAt = now();
  for (const fault of faults) {
    await sleep(Math.max(0, faultsStartedAt + fault.at - now()));
    injectFault(fault);
  }
  await Promise.all(openDisruptions);
  await Promise.all(openLimits);
  await sleep(RECOVERY_WAIT_MS);
  await callers.stop();
  schedulingSampling.dispose();
  memorySampling.dispose();
  loopDelay.dispose();
  await Promise.all(hosts.map((host) => host.close()));
  await store.close();
  const violations = checkGuarantees({
    calls,
    runs,
    drainAcknowledgements,
    namedLimits,
    configurations,
    disruptions,
    stops,
    reloads,
    unexpectedExits,
    peakMemoryMegabytes,
    serviceOf: (name) => hosts.find((host) => host.name === name)!.service,
    accountOf: (identity) =>
      hasAccounts ? findAccount(identity).name : undefined,
  }, DEPLOYED_BOUNDS);
  writeFileSync(
    join(options.folder, "run.json"),
    JSON.stringify({
      options,
      faults,
      disruptions,
      stops,
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
    starvations,
    violations,
  };
}

async function waitUntilReady(host: SoakHost): Promise<void> {
  const until = performance.now() + READY_TIMEOUT_MS;
  while (performance.now() < until) {
    const { status } = await sendRequest(host.readiness, {
      path: "/readyz",
      identity: "readiness",
    });
    if (status === 200) {
      return;
    }
    await sleep(50);
  }
  throw new Error(`${host.name} is not ready within ${READY_TIMEOUT_MS} ms`);
}
