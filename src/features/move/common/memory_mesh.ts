/**
 * A test mesh: daemons with real traffic shifts in one process with a virtual clock, and with
 * simple implementations of the platform, the directory and the configuration.
 *
 * @module
 */

import type { VirtualClock } from "../../../base/common/clock.ts";
import { createEmitter } from "../../../base/common/emitter.ts";
import {
  createEventBuffer,
  type LogEvent,
} from "../../../base/common/event_log.ts";
import { hashText, rankByRendezvous } from "../../../base/common/hashing.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import { createRandomSource } from "../../../base/common/random_source.ts";
import { Err, Ok } from "../../../base/common/result.ts";
import { StepError } from "../../../base/common/step_error.ts";
import {
  type Configuration,
  EMPTY_CONFIGURATION,
} from "../../../world/common/configuration.ts";
import type { HostIdentity } from "../../../world/common/host.ts";
import type { VerdictRecord } from "../../../world/common/log_record.ts";
import type { Move } from "../../../world/common/move.ts";
import type {
  FailureDomainName,
  HostName,
} from "../../../world/common/names.ts";
import type { UpstreamInstance } from "../../../world/common/upstream_instance.ts";
import type { ConfigurationSource } from "../../distribution/common/configuration_source.ts";
import { createMemoryTransport } from "../../link/common/memory_network.ts";
import type { PeerNetwork } from "../../link/common/peer_network.ts";
import type { LogClient } from "../../log/common/log_client.ts";
import type { Directory, Member } from "../../membership/common/directory.ts";
import {
  createTrafficShift,
  type MonitoredTrafficShift,
} from "./shift_service.ts";
import {
  decodeMessage,
  encodeMessage,
} from "../../../base/common/message_codec.ts";

/** The time from an append until the daemons apply the record. */
const APPLY_DELAY_MS: Milliseconds = 300;
const LOCAL_LINKS = 4;
const REMOTE_LINKS = 2;
const EVENTS_KEPT = 1_000;

export interface MeshOptions {
  readonly clock: VirtualClock;
  readonly seed: number;
  readonly failureDomains: readonly FailureDomainName[];
  readonly daemonsPerDomain: number;
  readonly latencyMilliseconds: Milliseconds;
  readonly instances: readonly UpstreamInstance[];
  readonly move: Move;
}

export interface MeshDaemon {
  readonly self: HostIdentity;
  readonly shift: MonitoredTrafficShift;
  readonly network: PeerNetwork;
  readonly events: readonly LogEvent[];
}

export interface PlatformRecord extends VerdictRecord {
  readonly appendedAt: Milliseconds;
}

export interface Mesh {
  readonly daemons: readonly MeshDaemon[];
  /** The verdict records in the order of the log. */
  readonly records: readonly PlatformRecord[];
  /** Bytes that the daemons sent, including daemons that were restarted. */
  readonly sentBytes: number;
  /** Appends a record on behalf of a process outside the mesh. */
  append(record: VerdictRecord): void;
  setPlatformDown(isDown: boolean): void;
  /** Cuts a failure domain off from the others and from the platform. */
  cutOff(domain: FailureDomainName): void;
  rejoin(domain: FailureDomainName): void;
  isCutOff(domain: FailureDomainName): boolean;
  /** When the last partition ended; -Infinity if there was none. */
  readonly lastRejoinAt: Milliseconds;
  /** Replaces a daemon by a new process on the same host, without the state of the old one. */
  restart(host: HostName): void;
  dispose(): void;
}

interface Node extends MeshDaemon {
  setConfiguration(next: Configuration): void;
  dispose(): void;
}

export function createMemoryMesh(options: MeshOptions): Mesh {
  const { clock, failureDomains, move } = options;
  const exchange = createMemoryTransport({
    clock,
    latencyMilliseconds: options.latencyMilliseconds,
    measureBytes: (message) => encodeMessage(message).length,
  });
  const nodes = new Map<HostName, Node>();
  const records: PlatformRecord[] = [];
  const cutOff = new Set<FailureDomainName>();
  let isPlatformDown = false;
  let accepted = configurationOf(move, failureDomains);
  let retiredBytes = 0;
  let lastRejoinAt = -Infinity;

  const hosts = failureDomains.flatMap((domain) =>
    Array.from({ length: options.daemonsPerDomain }, (_, index) => ({
      host: `${domain}-${index + 1}`,
      domain,
    }))
  );
  const domainOf = new Map(hosts.map(({ host, domain }) => [host, domain]));

  function distribute(): void {
    for (const node of nodes.values()) {
      if (!cutOff.has(node.self.failureDomain)) {
        node.setConfiguration(accepted);
      }
    }
  }

  function append(self: HostIdentity, bytes: Uint8Array) {
    if (isPlatformDown || cutOff.has(self.failureDomain)) {
      return Err(
        new StepError("log.append", "The platform refused the connection", {
          peer: "platform",
          outcome: "not-run",
        }),
      );
    }
    acceptRecord(decodeMessage(bytes, "log.append").unwrap() as VerdictRecord);
    return Ok({ offset: records.length, appendedAt: clock.now() });
  }

  function acceptRecord(record: VerdictRecord): void {
    records.push({ ...record, appendedAt: clock.now() });
    if (accepted.moves.get(move.identity)?.outcome === "open") {
      accepted = closeMove(accepted, record);
    }
    clock.schedule(APPLY_DELAY_MS, distribute);
  }

  function linkTargets(host: HostName): HostName[] {
    const own = domainOf.get(host);
    const membersOf = (domain: FailureDomainName) =>
      hosts.filter((item) => item.domain === domain && item.host !== host)
        .map((item) => item.host);
    const others = rankByRendezvous(
      host,
      failureDomains.filter((domain) => domain !== own),
    );
    return [
      ...rankByRendezvous(host, membersOf(own!)).slice(0, LOCAL_LINKS),
      ...others.slice(0, REMOTE_LINKS).map((domain) =>
        rankByRendezvous(host, membersOf(domain))[0]
      ),
    ];
  }

  function start(host: HostName): void {
    const self = hostIdentity(host, domainOf.get(host)!, clock.now());
    const network = exchange.createNetwork({
      process: self.process,
      failureDomain: self.failureDomain,
    });
    const buffer = createEventBuffer(EVENTS_KEPT, () => clock.now());
    const source = createSource(accepted);
    const shift = createTrafficShift({
      self,
      directory: createDirectory(self, {
        members: () => [...nodes.values()].map((node) => node.self),
        instances: options.instances,
      }),
      network,
      configuration: source,
      logClient: {
        append: (_stream, record) => Promise.resolve(append(self, record)),
      } as LogClient,
      clock,
      random: createRandomSource(options.seed ^ hashText(host)),
      log: buffer.log,
    });
    nodes.set(host, {
      self,
      shift,
      network,
      events: buffer.events,
      setConfiguration: source.set,
      dispose() {
        shift.dispose();
        network.dispose();
      },
    });
  }

  function connect(host: HostName): void {
    nodes.get(host)!.network.setTargets(
      linkTargets(host).map((target) => ({
        host: target,
        address: "",
        port: 0,
      })),
    );
  }

  function forEachPairAcross(
    domain: FailureDomainName,
    action: (inside: HostName, outside: HostName) => void,
  ): void {
    for (const inside of hosts.filter((item) => item.domain === domain)) {
      for (const outside of hosts.filter((item) => item.domain !== domain)) {
        action(inside.host, outside.host);
      }
    }
  }

  hosts.forEach(({ host }) => start(host));
  hosts.forEach(({ host }) => connect(host));

  return {
    get daemons() {
      return [...nodes.values()];
    },
    records,
    get sentBytes() {
      return [...nodes.values()].reduce(
        (sum, { network }) => sum + network.traffic.sentBytes,
        retiredBytes,
      );
    },
    append: acceptRecord,
    setPlatformDown(isDown) {
      isPlatformDown = isDown;
    },
    cutOff(domain) {
      cutOff.add(domain);
      forEachPairAcross(domain, exchange.cut);
    },
    get lastRejoinAt() {
      return lastRejoinAt;
    },
    rejoin(domain) {
      lastRejoinAt = clock.now();
      cutOff.delete(domain);
      forEachPairAcross(domain, exchange.restore);
      clock.schedule(APPLY_DELAY_MS, distribute);
    },
    isCutOff: (domain) => cutOff.has(domain),
    restart(host) {
      const old = nodes.get(host)!;
      retiredBytes += old.network.traffic.sentBytes;
      old.dispose();
      nodes.delete(host);
      start(host);
      // Sets the link targets of all hosts again, so that links to the new process open from both sides.
      hosts.forEach((item) => connect(item.host));
    },
    dispose() {
      nodes.forEach((node) => node.dispose());
    },
  };
}

function configurationOf(
  move: Move,
  failureDomains: readonly FailureDomainName[],
): Configuration {
  return {
    ...EMPTY_CONFIGURATION,
    version: 1,
    failureDomains: new Set(failureDomains),
    services: new Map([[move.service, {
      name: move.service,
      version: move.fromVersion,
    }]]),
    moves: new Map([[move.identity, move]]),
  };
}

function closeMove(
  configuration: Configuration,
  { move: identity, outcome, reason }: VerdictRecord,
): Configuration {
  const move = { ...configuration.moves.get(identity)!, outcome, reason };
  const version = outcome === "done" ? move.toVersion : move.fromVersion;
  return {
    ...configuration,
    version: configuration.version + 1,
    services: new Map([[move.service, { name: move.service, version }]]),
    moves: new Map([[identity, move]]),
  };
}

function hostIdentity(
  host: HostName,
  failureDomain: FailureDomainName,
  startedAt: Milliseconds,
): HostIdentity {
  return {
    process: { host, startedAt },
    failureDomain,
    addresses: {
      address: "",
      proxyPort: 0,
      administrationPort: 0,
      linkPort: 0,
    },
  };
}

function createSource(initial: Configuration) {
  const changed = createEmitter<Configuration>();
  let current = initial;
  const source: ConfigurationSource = {
    get current() {
      return current;
    },
    position: 0,
    isReady: true,
    onChanged: changed.event,
    findVerdict: () => undefined,
    dispose: () => changed.dispose(),
  };
  return Object.assign(source, {
    set(next: Configuration) {
      if (next.version > current.version) {
        current = next;
        changed.fire(next);
      }
    },
  });
}

function createDirectory(self: HostIdentity, options: {
  readonly members: () => readonly HostIdentity[];
  readonly instances: readonly UpstreamInstance[];
}): Directory {
  const memberOf = (identity: HostIdentity): Member => ({
    ...identity,
    incarnation: 0,
    state: "alive",
    appliedVersion: 1,
    upstreams: [],
  });
  const membersWhere = (isLocal: boolean) =>
    options.members().filter(({ failureDomain }) =>
      (failureDomain === self.failureDomain) === isLocal
    ).map(memberOf);
  return {
    self,
    get localMembers() {
      return membersWhere(true);
    },
    get remoteMembers() {
      return membersWhere(false);
    },
    departures: [],
    instances: options.instances,
    onChanged: createEmitter<void>().event,
    findMember: () => undefined,
    announce() {},
    leave() {},
    dispose() {},
  };
}
