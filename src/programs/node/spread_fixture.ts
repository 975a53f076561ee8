/**
 * Test fixture: the daemons of a fleet as far as they distribute the operator's records, on a virtual clock,
 * with hosts that are slow, paused, restarted, or cut off from each other or from the store.
 *
 * @module
 */

import { Clock, VirtualClock } from "../../base/common/clock.ts";
import type { Disposable } from "../../base/common/disposable.ts";
import { createEmitter } from "../../base/common/emitter.ts";
import { SILENT_LOG } from "../../base/common/event_log.ts";
import { registerHandler } from "../../base/common/handler_map.ts";
import type { Milliseconds } from "../../base/common/milliseconds.ts";
import { createRandomSource } from "../../base/common/random_source.ts";
import { Ok } from "../../base/common/result.ts";
import { createLoopDelay, type LoopDelay } from "../../base/node/loop_delay.ts";
import { listCoordinators } from "../../features/fleet/common/coordinators.ts";
import { createFleet, type Fleet } from "../../features/fleet/common/fleet.ts";
import { computeHeartbeatInterval } from "../../features/link/common/link_rules.ts";
import type {
  LinkMessage,
  Peer,
  PeerNetwork,
} from "../../features/link/common/peer_network.ts";
import {
  createRecordSync,
  type RecordSync,
} from "../../features/operator/common/record_sync.ts";
import type { HostName } from "../../world/common/names.ts";
import {
  createSpreadStore,
  STORE_MS,
  STORE_TIMEOUT_MS,
  type StoreAccess,
} from "./spread_store.ts";

const HEARTBEAT_MS: Milliseconds = 500;
const MISSED_HEARTBEATS = 3;
const TRANSIT_MS: Milliseconds = 1;
/** The processor time that a daemon of usual speed needs for a message; charged on slow hosts only. */
const EVENT_MS: Milliseconds = 0.2;
/** The processor time that a daemon of usual speed needs for a version with hundreds of routes. */
const TABLE_MS: Milliseconds = 25;
/** How long a process is down when it is restarted. */
const RESTART_MS: Milliseconds = 700;
const STEP_MS: Milliseconds = 5;
const CONFIGURATION_KEY = "config";

/** A fault of one host. */
export interface HostFault extends StoreAccess {
  /** How many times longer than usual everything takes. */
  readonly slowdown?: number;
  /** No event is handled. */
  readonly isPaused?: boolean;
  /** No message passes between the host and the other ones. */
  readonly isCutOff?: boolean;
}

interface Host {
  readonly peer: Peer;
  readonly clock: HostClock;
  fault: HostFault;
  sync: RecordSync;
  fleet: Fleet;
  loopDelay: LoopDelay;
  /** When each position took effect. */
  readonly appliedAt: Map<number, Milliseconds>;
  /** The values of all keys but the configuration. */
  readonly values: Map<string, string>;
  /** The version of the configuration in force. */
  version: number;
  eraChanges: number;
  lastStoreReadAt: Milliseconds;
  sentMessages: number;
  storeCalls: number;
  readonly handlers: Map<string, (peer: Peer, message: LinkMessage) => void>;
  readonly links: Map<HostName, { lastReceivedAt: Milliseconds }>;
  readonly opened: ReturnType<typeof createEmitter<Peer>>;
  readonly closed: ReturnType<typeof createEmitter<Peer>>;
  /** Ends the process. */
  dispose(): void;
}

/** The event loop of a host, which handles events in order and takes its time for each. */
class HostClock extends Clock {
  readonly #base: VirtualClock;
  readonly #fault: () => HostFault;
  readonly #queue: (() => void)[] = [];
  #busyUntil: Milliseconds = 0;

  constructor(base: VirtualClock, fault: () => HostFault) {
    super();
    this.#base = base;
    this.#fault = fault;
  }

  override now(): Milliseconds {
    return this.#base.now();
  }

  override schedule(delay: Milliseconds, callback: () => void): Disposable {
    let isDisposed = false;
    const timer = this.#base.schedule(
      delay,
      () =>
        this.handle(() => {
          if (!isDisposed) {
            callback();
          }
        }),
    );
    return {
      dispose() {
        isDisposed = true;
        timer.dispose();
      },
    };
  }

  handle(event: () => void): void {
    this.#queue.push(event);
    this.resume();
  }

  /** Spends processor time in the event that is handled; returns when this time is over. */
  spend(duration: Milliseconds): Milliseconds {
    this.#busyUntil = Math.max(this.now(), this.#busyUntil) +
      duration * (this.#fault().slowdown ?? 1);
    this.#base.schedule(this.busyFor, () => this.resume());
    return this.#busyUntil;
  }

  /** How long the event that is handled still takes. */
  get busyFor(): Milliseconds {
    return Math.max(0, this.#busyUntil - this.now());
  }

  /** Handles the events that wait, unless the host is paused. */
  resume(): void {
    while (
      this.busyFor === 0 && !this.#fault().isPaused && this.#queue.length > 0
    ) {
      const event = this.#queue.shift()!;
      if ((this.#fault().slowdown ?? 1) > 1) {
        this.spend(EVENT_MS);
      }
      event();
    }
  }
}

export interface SpreadFleet {
  /** The daemons that wait for a response of the store. */
  listReaders(): readonly HostName[];
  setFault(host: HostName, fault: HostFault): void;
  /** Opens the links of a host to all others again. */
  reconnect(host: HostName): void;
  /** Kills the process of a host and starts it again. */
  restart(host: HostName): void;
  /** Writes the next version of the configuration; returns its position. */
  publish(): number;
  /** Writes a record; an empty value removes the key. Returns its position. */
  write(key: string, value: string): number;
  /** Lets the store come back from a copy that is this old. */
  rewind(duration: Milliseconds): void;
  /** The version of the configuration in force on a host; 0 if there is none. */
  versionOf(host: HostName): number;
  valueOf(host: HostName, key: string): string | undefined;
  /** How often a host has found that the era of the store has risen. */
  countEraChanges(host: HostName): number;
  advance(duration: Milliseconds): Promise<void>;
  /** The calls of the store that a host has made. */
  countStoreCalls(host: HostName): number;
  /** The messages that a host has sent to the others, heartbeats apart. */
  countSent(host: HostName): number;
  /** When a position took effect on a host; undefined before. */
  appliedAt(host: HostName, position: number): Milliseconds | undefined;
  readonly hosts: readonly HostName[];
  readonly now: Milliseconds;
  dispose(): void;
}

export function createSpreadFleet(
  { hosts: hostCount, failureDomains }: {
    readonly hosts: number;
    readonly failureDomains: number;
  },
): SpreadFleet {
  const clock = new VirtualClock();
  const hosts = new Map<HostName, Host>();
  const interval = computeHeartbeatInterval(HEARTBEAT_MS, hostCount - 1);
  const store = createSpreadStore(clock);
  let version = 0;

  function isConnected(from: Host, to: Host): boolean {
    return !from.fault.isCutOff && !to.fault.isCutOff;
  }

  function transmit(from: Host, to: Host, receive: () => void): void {
    clock.schedule(from.clock.busyFor + TRANSIT_MS, () => {
      if (isConnected(from, to)) {
        to.clock.handle(() => {
          const link = to.links.get(from.peer.process.host);
          if (link !== undefined) {
            link.lastReceivedAt = clock.now();
            receive();
          }
        });
      }
    });
  }

  function closeLink(host: Host, other: Host): void {
    if (host.links.delete(other.peer.process.host)) {
      host.closed.fire(other.peer);
    }
  }

  function openLink(host: Host, other: Host): void {
    host.links.set(other.peer.process.host, { lastReceivedAt: clock.now() });
    host.opened.fire(other.peer);
  }

  function createNetwork(host: Host): PeerNetwork {
    const linkOf = (name: HostName) => host.links.get(name);
    const ignore = () => ({ dispose() {} });

    function send(name: HostName, message: LinkMessage): boolean {
      const to = hosts.get(name)!;
      if (linkOf(name) === undefined) {
        return false;
      }
      host.sentMessages += 1;
      transmit(
        host,
        to,
        () => to.handlers.get(message.kind)?.(host.peer, message),
      );
      return true;
    }

    return {
      get peers() {
        return [...host.links.keys()].map((name) => hosts.get(name)!.peer);
      },
      traffic: {
        sentBytes: 0,
        receivedBytes: 0,
        sentMessages: 0,
        receivedMessages: 0,
      },
      findPeer: (name) =>
        linkOf(name) === undefined ? undefined : hosts.get(name)!.peer,
      getOverdueTime(name) {
        const link = linkOf(name);
        return link === undefined
          ? 0
          : Math.max(0, clock.now() - link.lastReceivedAt - interval);
      },
      getIdleTime(name) {
        const link = linkOf(name);
        return link === undefined ? 0 : clock.now() - link.lastReceivedAt;
      },
      onLinkOpened: host.opened.event,
      onLinkClosed: host.closed.event,
      onTargetReplaced: ignore,
      setTargets() {},
      setAddressResolver() {},
      send,
      sendToAll(names, message) {
        for (const name of names) {
          send(name, message);
        }
      },
      request: () => Promise.reject(new Error("Requests are not used")),
      onMessage: (kind, handler) =>
        registerHandler(host.handlers, kind, handler),
      onRequest: ignore,
      dispose() {},
    };
  }

  function isAvailable({ sync, loopDelay }: Host): boolean {
    return sync.reachesStore && !loopDelay.isOverloaded;
  }

  /** Applies a record as a daemon does: the version decides on the configuration, other keys have the latest value. */
  function applyRecord(host: Host, key: string, text: string): void {
    if (key === CONFIGURATION_KEY) {
      host.version = Math.max(host.version, JSON.parse(text).version);
    } else if (text === "") {
      host.values.delete(key);
    } else {
      host.values.set(key, text);
    }
  }

  function start(host: Host): void {
    const { peer } = host;
    const location = {
      host: peer.process.host,
      failureDomain: peer.failureDomain,
    };
    const network = createNetwork(host);
    host.loopDelay = createLoopDelay(host.clock);
    host.sync = createRecordSync({
      self: location,
      clock: host.clock,
      random: createRandomSource(hosts.size + 1),
      log: SILENT_LOG,
      network,
      store: store.connect({
        access: () => host.fault,
        handle: (event) => host.clock.handle(event),
        onCall(isPoll) {
          host.storeCalls += 1;
          host.lastStoreReadAt = isPoll ? clock.now() : host.lastStoreReadAt;
        },
      }),
      compression: {
        compress: (value) => value,
        decompress: (value) => Ok(value),
      },
      candidates: () =>
        listCoordinators({
          self: { ...location, isAvailable: isAvailable(host) },
          members: host.fleet.members,
          network,
          loopDelay: host.loopDelay.current,
        }),
    });
    host.fleet = createFleet({
      self: { host: location.host, address: location.host, port: 1 },
      failureDomain: location.failureDomain,
      clock: host.clock,
      log: SILENT_LOG,
      network,
      describeSelf: () => ({
        instance: undefined,
        load: {
          running: 0,
          waiting: 0,
          limit: 1,
          relativeServiceTime: 1,
          failureRate: 0,
        },
        departed: [],
        position: host.sync.position,
        isAvailable: isAvailable(host),
        isStopping: false,
        rollouts: [],
        evidence: [],
      }),
      evidenceRecipients: () => [],
    });
    host.fleet.onStatusReceived(({ peer, status }) =>
      host.sync.updatePeerPosition(peer.process.host, status.position)
    );
    host.sync.onPositionChanged(() => host.fleet.announceStatus());
    host.sync.onReachabilityChanged(() => host.fleet.broadcastStatus());
    host.loopDelay.onOverloadedChanged(() => host.fleet.broadcastStatus());
    host.values.clear();
    host.version = 0;
    host.sync.onEraChanged(() => {
      host.eraChanges += 1;
    });
    host.sync.onRecords(({ records }) => {
      const appliedAt = host.clock.spend(TABLE_MS);
      for (const { key, offset, value } of records) {
        host.appliedAt.set(offset + 1, appliedAt);
        applyRecord(host, key, Buffer.from(value).toString());
      }
    });
    const heartbeats = host.clock.repeat(0.75 * interval, () => {
      for (const name of host.links.keys()) {
        transmit(host, hosts.get(name)!, () => {});
      }
    });
    const livenessChecks = host.clock.repeat(HEARTBEAT_MS / 2, () => {
      for (const [name, { lastReceivedAt }] of [...host.links]) {
        if (clock.now() - lastReceivedAt >= MISSED_HEARTBEATS * interval) {
          closeLink(host, hosts.get(name)!);
        }
      }
    });
    host.dispose = () => {
      heartbeats.dispose();
      livenessChecks.dispose();
      host.sync.dispose();
      host.fleet.dispose();
      host.loopDelay.dispose();
    };
    host.sync.start();
  }

  for (let index = 0; index < hostCount; index += 1) {
    const name = `host-${index}`;
    const host = {
      peer: {
        process: { host: name, startedAt: 0 },
        failureDomain: `domain-${index % failureDomains}`,
      },
      clock: new HostClock(clock, () => host.fault),
      fault: {},
      appliedAt: new Map(),
      values: new Map(),
      version: 0,
      eraChanges: 0,
      lastStoreReadAt: -Infinity,
      sentMessages: 0,
      storeCalls: 0,
      handlers: new Map(),
      links: new Map(),
      opened: createEmitter<Peer>(),
      closed: createEmitter<Peer>(),
    } as unknown as Host;
    hosts.set(name, host);
  }
  for (const host of hosts.values()) {
    for (const other of hosts.values()) {
      if (other !== host) {
        host.links.set(other.peer.process.host, { lastReceivedAt: 0 });
      }
    }
  }
  for (const host of hosts.values()) {
    start(host);
  }

  return {
    hosts: [...hosts.keys()],
    listReaders: () =>
      [...hosts.values()].filter(({ lastStoreReadAt }) =>
        clock.now() - lastStoreReadAt < STORE_TIMEOUT_MS + STORE_MS * 4
      ).map(({ peer }) => peer.process.host),
    setFault(name, fault) {
      const host = hosts.get(name)!;
      host.fault = fault;
      host.clock.resume();
    },
    reconnect(name) {
      const host = hosts.get(name)!;
      for (const other of hosts.values()) {
        if (other !== host) {
          closeLink(host, other);
          closeLink(other, host);
          openLink(host, other);
          openLink(other, host);
        }
      }
    },
    restart(name) {
      const host = hosts.get(name)!;
      const others = [...hosts.values()].filter((other) => other !== host);
      host.dispose();
      for (const other of others) {
        closeLink(host, other);
        closeLink(other, host);
      }
      clock.schedule(RESTART_MS, () => {
        start(host);
        for (const other of others) {
          openLink(host, other);
          openLink(other, host);
        }
      });
    },
    publish() {
      version += 1;
      return store.write(CONFIGURATION_KEY, JSON.stringify({ version }));
    },
    write: store.write,
    rewind: store.rewind,
    versionOf: (name) => hosts.get(name)!.version,
    valueOf: (name, key) => hosts.get(name)!.values.get(key),
    countEraChanges: (name) => hosts.get(name)!.eraChanges,
    async advance(duration) {
      for (let elapsed = 0; elapsed < duration; elapsed += STEP_MS) {
        clock.advance(STEP_MS);
        await new Promise((resolve) => setImmediate(resolve));
      }
    },
    countStoreCalls: (name) => hosts.get(name)!.storeCalls,
    countSent: (name) => hosts.get(name)!.sentMessages,
    appliedAt: (name, position) => hosts.get(name)!.appliedAt.get(position),
    get now() {
      return clock.now();
    },
    dispose() {
      for (const host of hosts.values()) {
        host.dispose();
      }
    },
  };
}
