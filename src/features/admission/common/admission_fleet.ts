/**
 * A simulated fleet of admission controllers on a virtual clock, with delayed membership views,
 * paused processes and network partitions. Counts the calls that all controllers admit.
 *
 * @module
 */

import { VirtualClock } from "../../../base/common/clock.ts";
import type { Disposable } from "../../../base/common/disposable.ts";
import { createEmitter } from "../../../base/common/emitter.ts";
import { SILENT_LOG } from "../../../base/common/event_log.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { RandomSource } from "../../../base/common/random_source.ts";
import {
  type Configuration,
  EMPTY_CONFIGURATION,
} from "../../../world/common/configuration.ts";
import type { Contract } from "../../../world/common/contract.ts";
import type { HostIdentity } from "../../../world/common/host.ts";
import { createMemoryTransport } from "../../link/common/memory_network.ts";
import type { PeerNetwork } from "../../link/common/peer_network.ts";
import type {
  Departure,
  Directory,
  Member,
} from "../../membership/common/directory.ts";
import type { AdmissionController, DaemonLimits } from "./admission.ts";
import { createAdmissionController } from "./admission_controller.ts";
import { PausableClock } from "./pausable_clock.ts";

/** The longest delay until a daemon's membership view shows a change of another daemon. */
const VIEW_DELAY_MS: Milliseconds = 1_500;
const SUSPECT_MS: Milliseconds = 3_000;
const DEAD_MS: Milliseconds = 6_000;
const DEPARTURE_RETENTION_MS: Milliseconds = 600_000;

export interface AdmissionFleetOptions {
  readonly contract: Contract;
  readonly domains: readonly string[];
  readonly longestCall: Milliseconds;
  readonly random: RandomSource;
  /** Number of customers without calls, which can make the domain large; 0 when absent. */
  readonly otherCustomers?: number;
}

interface Daemon {
  readonly host: string;
  readonly failureDomain: string;
  readonly startedAt: Milliseconds;
  readonly controller: AdmissionController;
  readonly view: View;
  readonly clock: PausableClock;
  readonly network: Disposable;
  readonly permits: Set<Disposable>;
  admitted: number;
}

interface View {
  readonly members: Map<string, Member>;
  departures: Departure[];
  changed(): void;
}

export interface AdmissionFleet {
  readonly clock: VirtualClock;
  readonly admitted: number;
  readonly inFlight: number;
  readonly hosts: readonly string[];
  /** Calls that the running process of a host has admitted. */
  countAdmitted(host: string): number;
  findLimits(host: string): DaemonLimits | undefined;
  start(host: string): void;
  /** Ends a process without a leave message, so that the others detect it with a delay. */
  kill(host: string): void;
  pause(host: string, duration: Milliseconds): void;
  /** Disconnects a host from the others of its domain. */
  isolate(host: string): void;
  /** Reconnects an isolated host. */
  rejoin(host: string): void;
  /** Disconnects the failure domains from each other. */
  splitDomains(): void;
  /** Offers calls to a host; each admitted call takes up to `longestCall`. */
  offer(host: string, calls: number): void;
  step(duration: Milliseconds): Promise<void>;
}

export function createAdmissionFleet(
  options: AdmissionFleetOptions,
): AdmissionFleet {
  const { random } = options;
  const clock = new VirtualClock(1_000_000);
  const exchange = createMemoryTransport({ clock, latencyMilliseconds: 2 });
  const daemons = new Map<string, Daemon>();
  const isolated = new Set<string>();
  const configuration = createConfiguration(options);
  let admitted = 0;
  let inFlight = 0;

  function isConnected(from: string, to: string): boolean {
    return from === to || (!isolated.has(from) && !isolated.has(to));
  }

  function scheduleRandomly(action: () => void, delay = VIEW_DELAY_MS): void {
    clock.schedule(random.nextFraction() * delay, action);
  }

  function listDomainPeers(host: string): Daemon[] {
    return [...daemons.values()].filter((other) =>
      other.host !== host && getDomain(other.host) === getDomain(host)
    );
  }

  function addMember(observer: Daemon, subject: Daemon): void {
    if (
      daemons.get(subject.host) === subject &&
      isConnected(observer.host, subject.host)
    ) {
      observer.view.members.set(subject.host, toMember(subject));
      observer.view.changed();
    }
  }

  function recordDeparture(observer: Daemon, subject: Daemon): void {
    const known = observer.view.members.get(subject.host);
    if (known?.process.startedAt === subject.startedAt) {
      observer.view.members.delete(subject.host);
      observer.view.departures.push({
        process: known.process,
        failureDomain: known.failureDomain,
        departedAt: clock.now(),
      });
      observer.view.changed();
    }
  }

  /** The observer detects that the subject does not respond: suspect first, then departed. */
  function scheduleDetection(observer: Daemon, subject: Daemon): void {
    const isUnreachable = () =>
      daemons.get(subject.host) !== subject ||
      !isConnected(observer.host, subject.host);
    clock.schedule(SUSPECT_MS + random.nextFraction() * 500, () => {
      const known = observer.view.members.get(subject.host);
      if (isUnreachable() && known?.process.startedAt === subject.startedAt) {
        observer.view.members.set(subject.host, { ...known, state: "suspect" });
        observer.view.changed();
      }
    });
    clock.schedule(DEAD_MS + random.nextFraction() * 1_000, () => {
      if (isUnreachable()) {
        recordDeparture(observer, subject);
      }
    });
  }

  function start(host: string): void {
    const self: HostIdentity = {
      process: { host, startedAt: clock.now() },
      failureDomain: getDomain(host),
      addresses: NO_ADDRESSES,
    };
    const pausableClock = new PausableClock(clock);
    const network = exchange.createNetwork(self);
    const { view, directory } = createView(self, clock);
    const daemon: Daemon = {
      host,
      failureDomain: self.failureDomain,
      startedAt: clock.now(),
      clock: pausableClock,
      network,
      view,
      permits: new Set(),
      admitted: 0,
      controller: createAdmissionController({
        configuration: () => configuration,
        directory,
        network: wrapNetwork(network, pausableClock),
        clock: pausableClock,
        log: SILENT_LOG,
      }),
    };
    daemons.set(host, daemon);
    view.members.set(host, toMember(daemon));
    for (const other of listDomainPeers(host)) {
      scheduleRandomly(() => addMember(other, daemon));
      scheduleRandomly(() => copyView(daemon, other), VIEW_DELAY_MS / 3);
    }
  }

  /** A new daemon copies another daemon's view, including members behind a partition. */
  function copyView(observer: Daemon, source: Daemon): void {
    if (!isConnected(observer.host, source.host)) {
      return;
    }
    for (const member of source.view.members.values()) {
      const { host } = member.process;
      const subject = daemons.get(host);
      if (!observer.view.members.has(host)) {
        observer.view.members.set(host, member);
      }
      if (subject !== undefined && !isConnected(observer.host, host)) {
        scheduleDetection(observer, subject);
      }
    }
    observer.view.departures.push(...source.view.departures);
    observer.view.changed();
  }

  function kill(host: string): void {
    const daemon = daemons.get(host)!;
    daemons.delete(host);
    daemon.controller.dispose();
    daemon.network.dispose();
    inFlight -= daemon.permits.size;
    daemon.permits.clear();
    for (const other of listDomainPeers(host)) {
      scheduleDetection(other, daemon);
    }
  }

  function setIsolated(host: string, cut: boolean): void {
    const daemon = daemons.get(host);
    if (daemon === undefined) {
      return;
    }
    cut ? isolated.add(host) : isolated.delete(host);
    for (const other of listDomainPeers(host)) {
      exchange[cut ? "cut" : "restore"](host, other.host);
      if (cut) {
        scheduleDetection(other, daemon);
        scheduleDetection(daemon, other);
      } else {
        scheduleRandomly(() => addMember(other, daemon));
        scheduleRandomly(() => addMember(daemon, other));
      }
    }
  }

  function admitOne(daemon: Daemon): void {
    const answer = daemon.controller.admit(options.contract);
    if (!answer.admitted) {
      return;
    }
    admitted += 1;
    daemon.admitted += 1;
    inFlight += 1;
    daemon.permits.add(answer.permit);
    const duration = random.nextFraction() ** 3 * options.longestCall;
    clock.schedule(duration, () => {
      if (daemon.permits.delete(answer.permit)) {
        inFlight -= 1;
        answer.permit.dispose();
      }
    });
  }

  return {
    clock,
    get admitted() {
      return admitted;
    },
    get inFlight() {
      return inFlight;
    },
    get hosts() {
      return [...daemons.keys()];
    },
    countAdmitted: (host) => daemons.get(host)?.admitted ?? 0,
    findLimits: (host) =>
      daemons.get(host)?.controller.findLimits(options.contract.customer),
    start,
    kill,
    pause(host, duration) {
      const daemon = daemons.get(host)!;
      daemon.clock.isPaused = true;
      clock.schedule(duration, () => daemon.clock.resume());
    },
    isolate: (host) => setIsolated(host, true),
    rejoin: (host) => setIsolated(host, false),
    splitDomains() {
      const hosts = [...daemons.keys()];
      hosts.forEach((one) =>
        hosts.filter((other) => getDomain(other) !== getDomain(one))
          .forEach((other) => exchange.cut(one, other))
      );
    },
    offer(host, calls) {
      const daemon = daemons.get(host);
      // A daemon that has not reached a peer yet is not ready and gets no calls.
      if (daemon?.view.members.size === 1 && listDomainPeers(host).length > 0) {
        return;
      }
      for (let call = 0; call < calls && daemon !== undefined; call += 1) {
        if (!daemon.clock.isPaused) {
          admitOne(daemon);
        }
      }
    },
    async step(duration) {
      clock.advance(duration);
      // Lets the promises of answered requests settle before the next step.
      for (let turn = 0; turn < 6; turn += 1) {
        await Promise.resolve();
      }
    },
  };
}

const NO_ADDRESSES = {
  address: "10.0.0.1",
  proxyPort: 0,
  administrationPort: 0,
  linkPort: 0,
};

function getDomain(host: string): string {
  return host.split("-")[0];
}

function toMember(daemon: Daemon): Member {
  return {
    process: { host: daemon.host, startedAt: daemon.startedAt },
    failureDomain: daemon.failureDomain,
    addresses: NO_ADDRESSES,
    incarnation: 0,
    state: "alive",
    appliedVersion: 0,
    upstreams: [],
  };
}

function createView(
  self: HostIdentity,
  clock: VirtualClock,
): { view: View; directory: Directory } {
  const changed = createEmitter<void>();
  const members = new Map<string, Member>();
  const view: View = {
    members,
    departures: [],
    changed: () => changed.fire(),
  };
  return {
    view,
    directory: {
      self,
      get localMembers() {
        return [...members.values()];
      },
      remoteMembers: [],
      get departures() {
        return view.departures.filter(({ departedAt }) =>
          clock.now() - departedAt < DEPARTURE_RETENTION_MS
        );
      },
      instances: [],
      onChanged: changed.event,
      findMember: (host) => members.get(host),
      announce() {},
      leave() {},
      dispose() {},
    },
  };
}

/** Delays the messages to a paused process until it resumes. */
function wrapNetwork(network: PeerNetwork, clock: PausableClock): PeerNetwork {
  return {
    ...network,
    onRequest: (kind, handler) =>
      network.onRequest(
        kind,
        (peer, message) =>
          new Promise((resolve) =>
            clock.whenRunning(() => resolve(handler(peer, message)))
          ),
      ),
    request: (host, message, requestOptions) =>
      new Promise((resolve) =>
        network.request(host, message, requestOptions).then((result) =>
          clock.whenRunning(() => resolve(result))
        )
      ),
  };
}

function createConfiguration(options: AdmissionFleetOptions): Configuration {
  const { contract } = options;
  const [route] = contract.routes;
  const others = Array.from(
    { length: options.otherCustomers ?? 0 },
    (_, index) => ({ ...contract, customer: `other-${index}` }),
  );
  return {
    ...EMPTY_CONFIGURATION,
    version: 1,
    failureDomains: new Set(options.domains),
    contracts: new Map(
      [contract, ...others].map((each) => [each.customer, each]),
    ),
    routes: new Map([[route, {
      name: route,
      service: "booking",
      method: "GET",
      pathPrefix: "/",
      callClass: "read",
      stalenessMilliseconds: 0,
      deadlineMilliseconds: options.longestCall,
    }]]),
  };
}
