/**
 * Runs real daemons under drawn faults and checks what callers and instances see.
 *
 * @module
 */

import { mkdirSync, rmSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import {
  sendTo,
  startStoreStandIn,
} from "../platform/stand_in/mesh_fixture.ts";
import type { StoreFault } from "../platform/stand_in/store_stand_in.ts";
import type { Milliseconds } from "../src/base/common/milliseconds.ts";
import { createRandomSource } from "../src/base/common/random_source.ts";
import { createLoopDelay } from "../src/base/node/loop_delay.ts";
import { STEADY_CLOCK } from "../src/base/node/system_clock.ts";
import { type FaultKind, planFaults, type PlannedFault } from "./fault_plan.ts";
import type { ProxyFault } from "./fault_proxy.ts";
import {
  DEPLOYED_BOUNDS,
  type Disruption,
  type SeenCall,
  type SeenConfiguration,
  type SeenDraining,
  type SeenOwnEnd,
  type SeenRun,
  type SeenSignal,
  type Violation,
} from "./observations.ts";
import { checkPromises } from "./promise_check.ts";
import { type Callers, startCallers } from "./soak_callers.ts";
import { describeConfiguration } from "./soak_configuration.ts";
import { createSoakHost, type SoakHost } from "./soak_host.ts";

const PLANNED_KINDS: readonly FaultKind[] = [
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
const WATCH_INTERVAL_MS: Milliseconds = 50;
const MEMORY_INTERVAL_MS: Milliseconds = 500;
/** A daemon that got no processor for this long within one interval may miss its bounds. */
const STARVED_MS: Milliseconds = 40;
const READY_LIMIT_MS: Milliseconds = 20_000;
/** The longest fault and the longest stop and start together take less than this. */
const FAULT_LIMIT_MS: Milliseconds = 40_000;
const QUIET_MS: Milliseconds = DEPLOYED_BOUNDS.recoverWithin + 3_000;

export interface SoakOptions {
  readonly seed: number;
  readonly seconds: number;
  readonly hosts: number;
  readonly callsPerSecond: number;
  /** Settings, logs and the observations of the run. */
  readonly folder: string;
}

export interface SoakResult {
  readonly calls: number;
  readonly served: number;
  readonly runs: number;
  readonly faults: number;
  /** How often the machine left a daemon without a processor. */
  readonly starvations: number;
  readonly violations: readonly Violation[];
}

export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  rmSync(options.folder, { recursive: true, force: true });
  mkdirSync(options.folder, { recursive: true });
  const clock = STEADY_CLOCK;
  const startedAt = clock.now();
  const now = () => Math.round(clock.now() - startedAt);
  const calls: SeenCall[] = [];
  const runs: SeenRun[] = [];
  const drainings: SeenDraining[] = [];
  const configurations: SeenConfiguration[] = [];
  const disruptions: Disruption[] = [];
  const stops: SeenSignal[] = [];
  const reloads: SeenSignal[] = [];
  const ownEnds: SeenOwnEnd[] = [];
  const pending = new Set<Promise<void>>();
  const store = await startStoreStandIn();
  let longestDelay: Milliseconds = 0;
  let starvations = 0;
  let hosts: readonly SoakHost[] = [];
  let memoryPeakMegabytes = 0;
  const starved = new Map<string, Milliseconds>();
  const loopDelay = createLoopDelay(clock);
  const watch = clock.repeat(WATCH_INTERVAL_MS, () => {
    longestDelay = Math.max(longestDelay, loopDelay.current);
    noteStarved();
  });
  const memoryWatch = clock.repeat(MEMORY_INTERVAL_MS, () => {
    for (const { memoryMegabytes } of hosts) {
      memoryPeakMegabytes = Math.max(memoryPeakMegabytes, memoryMegabytes);
    }
  });

  /** A busy machine can leave a daemon without a processor; its promises do not cover that. */
  function noteStarved(): void {
    for (const host of hosts) {
      const before = starved.get(host.name) ?? 0;
      const { starvedFor } = host;
      starved.set(host.name, starvedFor);
      if (starvedFor - before >= STARVED_MS) {
        const until = now();
        const from = until - (starvedFor - before);
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
    store.write("keyed.op", "config", describeConfiguration(number));
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
        onDraining: (draining) => drainings.push(draining),
        onOwnEnd: (end) => ownEnds.push(end),
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
    now,
    newestConfiguration: () => configurations.length,
    observerDelay: () => longestDelay,
    onCall: (call) => calls.push(call),
  });

  /** Keeps the span of a fault, which ends when `until` has resolved. */
  function disrupt(
    kind: FaultKind,
    host: SoakHost | undefined,
    until: Promise<unknown>,
  ): void {
    const entry = {
      host: host?.name,
      from: now(),
      until: Infinity,
      isPlanned: PLANNED_KINDS.includes(kind),
    };
    disruptions.push(entry);
    const limit = sleep(FAULT_LIMIT_MS, undefined, { ref: false }).then(() => {
      const where = host?.name ?? "the store";
      throw new Error(
        `Cannot go on: ${kind} at ${where} has not ended within ${FAULT_LIMIT_MS} ms`,
      );
    });
    const ended = Promise.race([until, limit]).then(() => {
      entry.until = now();
      pending.delete(ended);
    });
    pending.add(ended);
  }

  async function kill(host: SoakHost, downFor: Milliseconds): Promise<void> {
    const ended = host.ended();
    host.signal("SIGKILL");
    await ended;
    await sleep(downFor);
    await restart(host);
  }

  async function terminate(host: SoakHost): Promise<void> {
    const { processNumber } = host;
    const ended = host.ended();
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

  async function harm(
    proxy: SoakHost["link"],
    fault: ProxyFault,
    duration: Milliseconds,
  ): Promise<void> {
    proxy.setFault(fault);
    await sleep(duration);
    // What a silent connection has lost leaves a gap, so its connections end.
    proxy.setFault({ type: "reset" });
    await sleep(1);
    proxy.setFault({ type: "none" });
  }

  /** For a while the instance answers with bytes that are no answer. */
  async function harmAnswers(
    host: SoakHost,
    duration: Milliseconds,
  ): Promise<void> {
    host.setBrokenAnswers(true);
    await sleep(duration);
    host.setBrokenAnswers(false);
  }

  async function harmStore(
    fault: StoreFault,
    duration: Milliseconds,
  ): Promise<void> {
    store.setFault(() => fault);
    await sleep(duration);
    store.setFault(() => undefined);
  }

  function strikeHost(
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
        return harm(host.link, LINK_DELAY, duration);
      case "link-silent":
        return harm(host.link, { type: "silent" }, duration);
      case "link-one-way":
        return harm(host.link, { type: "one-way" }, duration);
      case "link-reset":
        return harm(host.link, { type: "reset" }, duration);
      case "store-cut":
        return harm(host.storeLink, { type: "silent" }, duration);
      case "instance-crash":
        return host.crashInstance().then(() => sleep(duration))
          .then(host.startInstance);
      case "instance-drain":
        return host.drainInstance().then(host.startInstance);
      case "release":
        return host.drainInstance().then(() => terminate(host))
          .then(host.startInstance);
      case "instance-bytes":
        return harmAnswers(host, duration);
      default:
        return kill(host, duration);
    }
  }

  function strike({ kind, hosts: struck, duration }: PlannedFault): void {
    const storeFault = STORE_FAULTS[kind];
    if (storeFault !== undefined) {
      disrupt(kind, undefined, harmStore(storeFault, duration));
      return;
    }
    switch (kind) {
      case "reload":
        for (const index of struck) {
          reloads.push({ host: hosts[index].name, at: now() });
          hosts[index].signal("SIGHUP");
        }
        break;
      case "store-compact":
        disrupt(kind, undefined, Promise.resolve());
        store.compact("keyed.op");
        break;
      case "configuration":
        publish();
        break;
      default:
        for (const index of struck) {
          disrupt(kind, hosts[index], strikeHost(kind, hosts[index], duration));
        }
    }
  }

  const faults = planFaults({
    seed: options.seed,
    hosts: options.hosts,
    duration: options.seconds * 1_000,
  });
  const beganAt = now();
  for (const fault of faults) {
    await sleep(Math.max(0, beganAt + fault.at - now()));
    strike(fault);
  }
  await Promise.all(pending);
  await sleep(QUIET_MS);
  await callers.stop();
  watch.dispose();
  memoryWatch.dispose();
  loopDelay.dispose();
  await Promise.all(hosts.map((host) => host.close()));
  await store.close();
  const violations = checkPromises({
    calls,
    runs,
    drainings,
    configurations,
    disruptions,
    stops,
    reloads,
    ownEnds,
    memoryPeakMegabytes,
    serviceOf: (name) => hosts.find((host) => host.name === name)!.service,
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
  const until = performance.now() + READY_LIMIT_MS;
  while (performance.now() < until) {
    const { status } = await sendTo(host.readiness, {
      path: "/readyz",
      identity: "readiness",
    });
    if (status === 200) {
      return;
    }
    await sleep(50);
  }
  throw new Error(`${host.name} is not ready within ${READY_LIMIT_MS} ms`);
}
