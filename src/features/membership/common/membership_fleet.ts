/**
 * Simulation of the directories of many daemons in one process under a virtual clock, for tests and
 * measurements.
 *
 * @module
 */

import { Clock, VirtualClock } from "../../../base/common/clock.ts";
import {
  createDisposable,
  type Disposable,
} from "../../../base/common/disposable.ts";
import {
  createEventBuffer,
  type LogEvent,
} from "../../../base/common/event_log.ts";
import { hashText } from "../../../base/common/hashing.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import { createRandomSource } from "../../../base/common/random_source.ts";
import type { HostIdentity } from "../../../world/common/host.ts";
import type {
  FailureDomainName,
  HostName,
} from "../../../world/common/names.ts";
import {
  createMemoryTransport,
  type MemoryNetwork,
  type MemoryTransport,
} from "../../link/common/memory_network.ts";
import type {
  LinkMessage,
  LinkTarget,
} from "../../link/common/peer_network.ts";
import { createDirectory } from "./create_directory.ts";
import type { MembershipDirectory } from "./membership_directory.ts";

const LATENCY_MS: Milliseconds = 1;
const STEP_MS: Milliseconds = 10;

/** Microtask turns after each step, enough for a chain of requests between daemons to complete. */
const MICROTASK_TURNS = 12;

/** The virtual time at which a fleet starts; its value is arbitrary. */
export const FLEET_START_AT: Milliseconds = 1_700_000_000_000;

/** A clock that defers its callbacks while the process is paused. */
class PausableClock extends Clock {
  readonly #clock: Clock;
  readonly #waiting: (() => void)[] = [];
  #paused = false;

  constructor(clock: Clock) {
    super();
    this.#clock = clock;
  }

  override now(): Milliseconds {
    return this.#clock.now();
  }

  override schedule(delay: Milliseconds, callback: () => void): Disposable {
    let disposed = false;
    const timer = this.#clock.schedule(
      delay,
      () => this.run(() => disposed || callback()),
    );
    return createDisposable(() => {
      disposed = true;
      timer.dispose();
    });
  }

  run(callback: () => void): void {
    if (this.#paused) {
      this.#waiting.push(callback);
    } else {
      callback();
    }
  }

  get isPaused(): boolean {
    return this.#paused;
  }

  pause(): void {
    this.#paused = true;
  }

  resume(): void {
    this.#paused = false;
    this.#waiting.splice(0).forEach((callback) => callback());
  }
}

/** Defers messages and link events while the process is paused. */
function createPausableNetwork(
  network: MemoryNetwork,
  clock: PausableClock,
): MemoryNetwork {
  return {
    ...network,
    get peers() {
      return network.peers;
    },
    onLinkOpened: (listener) =>
      network.onLinkOpened((peer) => clock.run(() => listener(peer))),
    onLinkClosed: (listener) =>
      network.onLinkClosed((peer) => clock.run(() => listener(peer))),
    onMessage: (kind, handler) =>
      network.onMessage(
        kind,
        (peer, message) => clock.run(() => handler(peer, message)),
      ),
    onRequest: (kind, handler) =>
      network.onRequest(
        kind,
        (peer, message) =>
          new Promise((resolve) =>
            clock.run(() => resolve(handler(peer, message)))
          ),
      ),
  };
}

/** One daemon of a fleet. */
export interface FleetDaemon {
  readonly self: HostIdentity;
  readonly directory: MembershipDirectory;
  readonly network: MemoryNetwork;
  readonly clock: Clock;
  readonly events: readonly LogEvent[];
  readonly isPaused: boolean;
  pause(): void;
  resume(): void;
}

export interface MembershipFleet {
  readonly clock: VirtualClock;
  readonly exchange: MemoryTransport;
  /** Running daemons by host. */
  readonly daemons: ReadonlyMap<HostName, FleetDaemon>;
  start(host: HostName, failureDomain?: FailureDomainName): FleetDaemon;
  /** Ends a process; its links close. */
  kill(host: HostName): void;
  /** Pauses a process forever, with its links open, and removes it from the fleet. */
  freeze(host: HostName): void;
  advance(duration: Milliseconds): Promise<void>;
  /** Returns the time until the condition holds; undefined when the limit passes first. */
  advanceUntil(
    condition: () => boolean,
    limit: Milliseconds,
  ): Promise<Milliseconds | undefined>;
}

export interface MembershipFleetOptions {
  readonly seed: number;
  readonly seeds: readonly HostName[];
  readonly measure?: (message: LinkMessage) => number;
}

export function createMembershipFleet(
  options: MembershipFleetOptions,
): MembershipFleet {
  const clock = new VirtualClock(FLEET_START_AT);
  const exchange = createMemoryTransport({
    clock,
    latencyMilliseconds: LATENCY_MS,
    measureBytes: options.measure,
  });
  const daemons = new Map<HostName, FleetDaemon>();
  const seeds = options.seeds.map((host): LinkTarget => ({
    host,
    address: host,
    port: 1,
  }));
  let started = 0;

  function start(host: HostName, failureDomain = "domain-1"): FleetDaemon {
    const self: HostIdentity = {
      process: { host, startedAt: clock.now() },
      failureDomain,
      addresses: {
        address: "10.20.30.40",
        proxyPort: 8080,
        administrationPort: 8081,
        linkPort: 8082,
      },
    };
    started += 1;
    const ownClock = new PausableClock(clock);
    const network = createPausableNetwork(
      exchange.createNetwork(self),
      ownClock,
    );
    const { log, events } = createEventBuffer(1_000, () => clock.now());
    const directory = createDirectory({
      self,
      network,
      seeds,
      clock: ownClock,
      random: createRandomSource(
        hashText(`${options.seed}|${host}|${started}`),
      ),
      log,
    });
    const daemon: FleetDaemon = {
      self,
      directory,
      network,
      clock: ownClock,
      events,
      get isPaused() {
        return ownClock.isPaused;
      },
      pause: () => ownClock.pause(),
      resume: () => ownClock.resume(),
    };
    daemons.set(host, daemon);
    return daemon;
  }

  async function step(duration: Milliseconds): Promise<void> {
    clock.advance(duration);
    for (let turn = 0; turn < MICROTASK_TURNS; turn += 1) {
      await Promise.resolve();
    }
  }

  async function advanceUntil(
    condition: () => boolean,
    limit: Milliseconds,
  ): Promise<Milliseconds | undefined> {
    const startedAt = clock.now();
    while (!condition()) {
      if (clock.now() - startedAt >= limit) {
        return undefined;
      }
      await step(STEP_MS);
    }
    return clock.now() - startedAt;
  }

  return {
    clock,
    exchange,
    daemons,
    start,
    kill(host) {
      const daemon = daemons.get(host);
      daemon?.directory.dispose();
      daemon?.network.dispose();
      daemons.delete(host);
    },
    freeze(host) {
      daemons.get(host)?.pause();
      daemons.delete(host);
    },
    async advance(duration) {
      await advanceUntil(() => false, duration);
    },
    advanceUntil,
  };
}
