/**
 * Simulation of the configuration sources of many daemons in one process under a virtual clock, for
 * measurements and tests. Links and failure detection follow sections 5 and 6 of the design.
 *
 * @module
 */

import { startTask, waitFor } from "../../../base/common/channel.ts";
import { Clock, VirtualClock } from "../../../base/common/clock.ts";
import {
  createDisposableStore,
  type Disposable,
} from "../../../base/common/disposable.ts";
import { type EventLog, SILENT_LOG } from "../../../base/common/event_log.ts";
import { rankByRendezvous } from "../../../base/common/hashing.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import { createRandomSource } from "../../../base/common/random_source.ts";
import { Err } from "../../../base/common/result.ts";
import { StepError } from "../../../base/common/step_error.ts";
import type {
  FailureDomainName,
  HostName,
} from "../../../world/common/names.ts";
import { encodeRecord } from "../../fold/common/record_check.ts";
import {
  createMemoryTransport,
  type MemoryNetwork,
} from "../../link/common/memory_network.ts";
import type { LogClient } from "../../log/common/log_client.ts";
import {
  createMemoryLog,
  type MemoryLog,
} from "../../log/common/memory_log.ts";
import { createMemoryLogClient } from "../../log/common/memory_log_client.ts";
import type { Member } from "../../membership/common/directory.ts";
import type { ConfigurationSource } from "./configuration_source.ts";
import { createConfigurationSource } from "./create_configuration_source.ts";

/** The silence before a suspicion plus the time from there until a member is declared dead. */
const DEAD_AFTER_MS: Milliseconds = 6_000;
const TARGETS_INTERVAL_MS: Milliseconds = 1_000;
const LOCAL_LINKS = 4;
const REMOTE_LINKS = 2;
const REMOTE_MEMBERS = 3;
const FRAME_BYTES = 4;
const ADDRESSES = {
  address: "10.0.0.1",
  proxyPort: 1,
  administrationPort: 2,
  linkPort: 3,
};

export interface VirtualClusterOptions {
  readonly seed: number;
  readonly domains: number;
  readonly daemonsPerDomain: number;
  readonly latencyMilliseconds?: Milliseconds;
  readonly stepMilliseconds?: Milliseconds;
  readonly retentionMilliseconds?: Milliseconds;
  readonly log?: EventLog;
}

export interface VirtualDaemon {
  readonly host: HostName;
  readonly domain: FailureDomainName;
  readonly network: MemoryNetwork;
  readonly source: ConfigurationSource;
}

export interface VirtualCluster extends Disposable {
  readonly clock: VirtualClock;
  readonly log: MemoryLog;
  readonly hosts: readonly HostName[];
  readonly daemons: ReadonlyMap<HostName, VirtualDaemon>;
  /** Bytes sent and received by all daemons, including stopped processes. */
  readonly controlBytes: number;
  start(host: HostName): void;
  stop(host: HostName): void;
  /** Pauses a daemon: its timers and log answers are deferred, and its links carry no messages. */
  pause(host: HostName): void;
  resume(host: HostName): void;
  /** Cuts or restores the connection of two hosts. */
  setHostCut(first: HostName, second: HostName, isCut: boolean): void;
  /** Cuts a failure domain off from the others, or from the platform. */
  setCut(
    domain: FailureDomainName,
    from: "domains" | "platform",
    isCut: boolean,
  ): void;
  /** Advances time; `observe` runs after each step. */
  run(duration: Milliseconds, observe?: () => void): Promise<void>;
}

export function domainOf(host: HostName): FailureDomainName {
  return host.split("-")[0];
}

export function createVirtualCluster(
  options: VirtualClusterOptions,
): VirtualCluster {
  const clock = new VirtualClock(1_000_000);
  const random = createRandomSource(options.seed);
  const retentionMilliseconds = options.retentionMilliseconds;
  const log = createMemoryLog({ random, retentionMilliseconds });
  const exchange = createMemoryTransport({
    clock,
    latencyMilliseconds: options.latencyMilliseconds ?? 2,
    measureBytes: (message) => encodeRecord(message).length + FRAME_BYTES,
  });
  const hosts = listHosts(options);
  const daemons = new Map<HostName, VirtualDaemon & Disposable>();
  const stoppedAt = new Map<HostName, Milliseconds>();
  const withoutPlatform = new Set<FailureDomainName>();
  const pausedCallbacks = new Map<HostName, (() => void)[]>();
  const cutPairs = new Set<string>();
  let stoppedBytes = 0;

  const isKnownAlive = (host: HostName) =>
    daemons.has(host) ||
    clock.now() - (stoppedAt.get(host) ?? -Infinity) < DEAD_AFTER_MS;

  function listMembers(filter: (host: HostName) => boolean): Member[] {
    return hosts.filter((host) => filter(host) && isKnownAlive(host))
      .map(createMember);
  }

  function listTargets(host: HostName): HostName[] {
    const domain = domainOf(host);
    const ranked = rankByRendezvous(
      host,
      hosts.filter((other) => other !== host && isKnownAlive(other)),
    );
    const local = ranked.filter((other) => domainOf(other) === domain);
    const domains = rankByRendezvous(host, new Set(ranked.map(domainOf)))
      .filter((other) => other !== domain).slice(0, REMOTE_LINKS);
    const remote = domains.map((other) =>
      ranked.find((name) => domainOf(name) === other)!
    );
    return [...local.slice(0, LOCAL_LINKS), ...remote];
  }

  function start(host: HostName): void {
    const domain = domainOf(host);
    const owned = createDisposableStore();
    const process = { host, startedAt: clock.now() };
    const network = owned.add(
      exchange.createNetwork({ process, failureDomain: domain }),
    );
    const updateTargets = () =>
      network.setTargets(
        listTargets(host).map((name) => ({
          host: name,
          address: ADDRESSES.address,
          port: ADDRESSES.linkPort,
        })),
      );
    updateTargets();
    owned.add(clock.repeat(TARGETS_INTERVAL_MS, updateTargets));
    const ownClock = new PausableClock(clock, () => pausedCallbacks.get(host));
    const client = owned.add(createMemoryLogClient({ log, clock: ownClock }));
    const source = owned.add(createConfigurationSource({
      self: { process, failureDomain: domain, addresses: ADDRESSES },
      directory: {
        get localMembers() {
          return listMembers((other) => domainOf(other) === domain);
        },
        get remoteMembers() {
          const others = hosts.filter((other) => domainOf(other) !== domain);
          return rankByRendezvous(host, others).slice(0, REMOTE_MEMBERS)
            .map(createMember);
        },
        get departures() {
          return hosts.filter((other) =>
            domainOf(other) === domain && !isKnownAlive(other)
          ).map((other) => ({
            process: createMember(other).process,
            failureDomain: domain,
            departedAt: (stoppedAt.get(other) ?? 0) + DEAD_AFTER_MS,
          }));
        },
      },
      network,
      logClient: failWhenCut(client, () => withoutPlatform.has(domain)),
      clock: ownClock,
      random: createRandomSource(random.nextInteger(2 ** 30)),
      log: options.log?.extend({ host }) ?? SILENT_LOG,
      retentionMilliseconds,
    }));
    stoppedAt.delete(host);
    const dispose = () => owned.dispose();
    daemons.set(host, { host, domain, network, source, dispose });
  }

  function stop(host: HostName): void {
    const daemon = daemons.get(host);
    if (daemon !== undefined) {
      stoppedBytes += countBytes(daemon);
      daemons.delete(host);
      stoppedAt.set(host, clock.now());
      daemon.dispose();
    }
  }

  const pairKeyOf = (first: HostName, second: HostName) =>
    [first, second].sort().join("|");

  /** Connects two hosts if neither is paused and no cut separates them; else disconnects them. */
  function updateConnection(first: HostName, second: HostName): void {
    const isDisconnected = pausedCallbacks.has(first) ||
      pausedCallbacks.has(second) ||
      cutPairs.has(pairKeyOf(first, second));
    exchange[isDisconnected ? "cut" : "restore"](first, second);
  }

  function setHostCut(first: HostName, second: HostName, isCut: boolean): void {
    cutPairs[isCut ? "add" : "delete"](pairKeyOf(first, second));
    updateConnection(first, second);
  }

  hosts.forEach(start);
  return {
    clock,
    log,
    hosts,
    daemons,
    get controlBytes() {
      const running = [...daemons.values()].map(countBytes);
      return running.reduce((sum, bytes) => sum + bytes, stoppedBytes);
    },
    start,
    stop,
    pause(host) {
      pausedCallbacks.set(host, []);
      hosts.forEach((other) => updateConnection(host, other));
    },
    resume(host) {
      const callbacks = pausedCallbacks.get(host) ?? [];
      pausedCallbacks.delete(host);
      hosts.forEach((other) => updateConnection(host, other));
      callbacks.forEach((callback) => callback());
    },
    setHostCut,
    setCut(domain, from, isCut) {
      if (from === "platform") {
        withoutPlatform[isCut ? "add" : "delete"](domain);
        return;
      }
      for (const inside of hosts.filter((name) => domainOf(name) === domain)) {
        for (
          const outside of hosts.filter((name) => domainOf(name) !== domain)
        ) {
          setHostCut(inside, outside, isCut);
        }
      }
    },
    async run(duration, observe) {
      const step = options.stepMilliseconds ?? 5;
      for (let elapsed = 0; elapsed < duration; elapsed += step) {
        clock.advance(step);
        await settle();
        observe?.();
      }
    },
    dispose: () => hosts.forEach(stop),
  };
}

/** A clock whose callbacks are queued in a list while there is one: while the daemon is paused. */
class PausableClock extends Clock {
  readonly #clock: Clock;
  readonly #findPausedCallbacks: () => (() => void)[] | undefined;

  constructor(
    clock: Clock,
    findPausedCallbacks: () => (() => void)[] | undefined,
  ) {
    super();
    this.#clock = clock;
    this.#findPausedCallbacks = findPausedCallbacks;
  }

  override now(): Milliseconds {
    return this.#clock.now();
  }

  override schedule(delay: Milliseconds, callback: () => void): Disposable {
    let isDisposed = false;
    const run = () => isDisposed || callback();
    const timer = this.#clock.schedule(delay, () => {
      const queue = this.#findPausedCallbacks();
      queue === undefined ? run() : queue.push(run);
    });
    return {
      dispose() {
        isDisposed = true;
        timer.dispose();
      },
    };
  }
}

function listHosts(options: VirtualClusterOptions): HostName[] {
  return Array.from({ length: options.domains }, (_, domain) =>
    Array.from(
      { length: options.daemonsPerDomain },
      (_, index) => `d${domain}-h${index}`,
    )).flat();
}

function createMember(host: HostName): Member {
  return {
    process: { host, startedAt: 0 },
    failureDomain: domainOf(host),
    addresses: ADDRESSES,
    incarnation: 0,
    state: "alive",
    appliedVersion: -1,
    upstreams: [],
  };
}

function countBytes({ network }: VirtualDaemon): number {
  return network.traffic.sentBytes + network.traffic.receivedBytes;
}

function failWhenCut(client: LogClient, isCut: () => boolean): LogClient {
  const replaceWhenCut = async <T>(result: Promise<T>) => {
    const value = await result;
    return isCut()
      ? Err(new StepError("log", "The platform cannot be reached"))
      : value;
  };
  return {
    append: (stream, record) => replaceWhenCut(client.append(stream, record)),
    read: (stream, from, options) =>
      replaceWhenCut(client.read(stream, from, options)),
    dispose: () => client.dispose(),
  };
}

/** Runs the pending tasks and promises of the current virtual time. */
async function settle(): Promise<void> {
  for (let round = 0; round < 3; round += 1) {
    await startTask("cluster.settle", function* () {
      yield* waitFor(Promise.resolve());
    }, { onError() {} });
  }
}
