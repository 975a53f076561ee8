/**
 * Injects the planned faults of a soak and records when each of them lasted.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";
import type { startStoreStandIn } from "../platform/stand_in/mesh_fixture.ts";
import type { StoreFault } from "../platform/stand_in/store_stand_in.ts";
import type { Milliseconds } from "../src/base/common/milliseconds.ts";
import type { FaultKind, PlannedFault } from "./fault_plan.ts";
import type { ProxyFault } from "./fault_proxy.ts";
import {
  type ColdTime,
  DEPLOYED_BOUNDS,
  type Disruption,
  type Evacuation,
  type NamedLimit,
  type ObservedSignal,
} from "./observations.ts";
import { COLD_START } from "./soak_configuration.ts";
import { type SoakHost, waitUntilReady } from "./soak_host.ts";

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
const NAMED_LIMIT_PER_SECOND = 5;
/** The longest fault and the longest stop and start together take less than this. */
const FAULT_TIMEOUT_MS: Milliseconds = 40_000;

export interface FaultInjectionOptions {
  readonly hosts: readonly SoakHost[];
  readonly store: Awaited<ReturnType<typeof startStoreStandIn>>;
  readonly now: () => Milliseconds;
  /** Publishes the next configuration. */
  readonly publish: () => void;
}

/** What was injected, and when. */
export interface FaultRecords {
  readonly disruptions: readonly Disruption[];
  readonly stops: readonly ObservedSignal[];
  readonly reloads: readonly ObservedSignal[];
  readonly namedLimits: readonly NamedLimit[];
  readonly coldTimes: readonly ColdTime[];
  readonly evacuations: readonly Evacuation[];
}

export interface FaultInjection {
  readonly records: FaultRecords;
  /** Records that an instance is cold from now on. */
  recordCold(host: SoakHost, duration: Milliseconds): void;
  /** Starts a fault. */
  inject(fault: PlannedFault): void;
  /** Resolves when all faults have ended. */
  waitUntilEnded(): Promise<void>;
}

export function createFaultInjection(
  { hosts, store, now, publish }: FaultInjectionOptions,
): FaultInjection {
  const disruptions: Disruption[] = [];
  const stops: ObservedSignal[] = [];
  const reloads: ObservedSignal[] = [];
  const namedLimits: NamedLimit[] = [];
  const coldTimes: ColdTime[] = [];
  const evacuations: Evacuation[] = [];
  let isEvacuating = false;
  const openDisruptions = new Set<Promise<void>>();
  /** What changes the room of instances and is no disruption. */
  const openRoomChanges = new Set<Promise<void>>();
  const limitedHosts = new Set<string>();

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

  async function becomeCold(
    host: SoakHost,
    duration: Milliseconds,
  ): Promise<void> {
    const from = now();
    const instance = host.instanceName;
    if (await host.becomeCold(duration)) {
      recordCold(host, duration, { instance, from });
      await sleep(duration);
    }
  }

  function recordCold(
    host: SoakHost,
    duration: Milliseconds,
    { instance = host.instanceName, from = now() } = {},
  ): void {
    const until = from + duration;
    const perSecond = COLD_START.cold_per_s;
    coldTimes.push({ instance, perSecond, from, until });
  }

  /** Evacuates one failure domain at a time, so that calls can be served elsewhere. */
  async function evacuate(
    { failureDomain }: SoakHost,
    duration: Milliseconds,
  ): Promise<void> {
    if (isEvacuating) {
      return;
    }
    isEvacuating = true;
    const key = `evacuate/${failureDomain}`;
    store.writeBytes("keyed.op", key, Buffer.from("{}"));
    const acceptedAt = now();
    await sleep(duration);
    const until = now();
    store.writeBytes("keyed.op", key, Buffer.alloc(0));
    isEvacuating = false;
    evacuations.push({ failureDomain, acceptedAt, until });
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

  return {
    records: {
      disruptions,
      stops,
      reloads,
      namedLimits,
      coldTimes,
      evacuations,
    },
    recordCold,
    inject({ kind, hosts: affected, duration }) {
      const storeFault = STORE_FAULTS[kind];
      if (storeFault !== undefined) {
        recordDisruption(
          kind,
          undefined,
          injectStoreFault(storeFault, duration),
        );
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
            openRoomChanges.add(nameRateLimit(hosts[index], duration));
          }
          break;
        case "instance-cold":
          for (const index of affected) {
            openRoomChanges.add(becomeCold(hosts[index], duration));
          }
          break;
        case "evacuation":
          for (const index of affected) {
            openRoomChanges.add(evacuate(hosts[index], duration));
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
    },
    async waitUntilEnded() {
      await Promise.all(openDisruptions);
      await Promise.all(openRoomChanges);
    },
  };
}
