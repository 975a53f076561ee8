/**
 * Measures the traffic and the convergence times of membership with many directories in one process
 * under a virtual clock.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { HostName } from "../../../world/common/names.ts";
import type { UpstreamAnnouncement } from "../../../world/common/upstream_instance.ts";
import type { LinkMessage } from "../../link/common/peer_network.ts";
import {
  createMembershipFleet,
  type FleetDaemon,
  type MembershipFleet,
} from "./membership_fleet.ts";

const STEADY_STATE_MS: Milliseconds = 20_000;
const LIMIT_MS: Milliseconds = 60_000;
const RENEWAL_MS: Milliseconds = 1_000;
const SEED_HOSTS = 8;

/** Restarted daemons start again after a time that is spread evenly up to this. */
const RESTART_SPREAD_MS: Milliseconds = 1_000;

/** Pauses below and above the timeouts of silence (3 s) and suspicion (another 3 s). */
const PAUSES_MS: readonly Milliseconds[] = [1_000, 2_000, 3_000, 5_000, 10_000];

export interface MembershipMeasureOptions {
  readonly members: number;
  readonly seed: number;
  /** Returns the size of the msgpack encoding of a message in bytes. */
  readonly measure: (message: LinkMessage) => number;
}

/** Bytes per second, sent and received together; the mean and the highest of all daemons. */
export interface ControlBytes {
  readonly mean: number;
  readonly highest: number;
}

export interface PauseMeasure {
  readonly pauseMilliseconds: Milliseconds;
  readonly pausedDaemons: number;
  /** Paused daemons that some member considered suspect or dead. */
  readonly suspected: number;
  readonly declaredDead: number;
  /** Daemons that were suspected although they were not paused. */
  readonly unpausedSuspected: number;
  /** From the end of the pause until every daemon considers every member alive. */
  readonly recoveryMilliseconds: Milliseconds | undefined;
}

/** Times from an event until all members know of it; undefined when it takes more than 60 s. */
export interface MembershipMeasure {
  readonly members: number;
  readonly joinMilliseconds: Milliseconds | undefined;
  readonly steadyBytesPerSecond: ControlBytes;
  readonly newInstanceMilliseconds: Milliseconds | undefined;
  readonly drainMilliseconds: Milliseconds | undefined;
  /** Measured from the last renewal. */
  readonly expiryMilliseconds: Milliseconds | undefined;
  readonly leaveMilliseconds: Milliseconds | undefined;
  /** From when a process hangs with its links open until no daemon counts it as a member. */
  readonly deathMilliseconds: Milliseconds | undefined;
  /** The same until no daemon lists its instances. */
  readonly deathInstancesMilliseconds: Milliseconds | undefined;
  readonly pauses: readonly PauseMeasure[];
  /** Half of the members restart: from the kill until every daemon knows all new processes. */
  readonly restartMilliseconds: Milliseconds | undefined;
  readonly restartBytesPerSecond: ControlBytes;
}

interface Simulation {
  readonly fleet: MembershipFleet;
  readonly hosts: HostName[];
  /** Hosts whose upstream no longer renews its announcement. */
  readonly expiringUpstreams: Set<HostName>;
}

export async function measureMembership(
  options: MembershipMeasureOptions,
): Promise<MembershipMeasure> {
  const simulation = createSimulation(options);
  const { fleet, hosts } = simulation;
  const joinMilliseconds = await fleet.advanceUntil(
    () => haveFullViews(fleet),
    LIMIT_MS,
  );
  await fleet.advance(10_000);
  const steadyBytesPerSecond = await measureBytes(fleet, STEADY_STATE_MS);
  const instances = await measureInstances(simulation);
  const pauses: PauseMeasure[] = [];
  for (const pauseMilliseconds of PAUSES_MS) {
    pauses.push(await measurePause(simulation, pauseMilliseconds));
  }
  const departures = await measureDepartures(simulation);
  const restart = await measureRestart(simulation);
  return {
    members: hosts.length,
    joinMilliseconds,
    steadyBytesPerSecond,
    ...instances,
    ...departures,
    pauses,
    ...restart,
  };
}

function createSimulation(options: MembershipMeasureOptions): Simulation {
  const hosts = Array.from(
    { length: options.members },
    (_, index) => `host-${String(index).padStart(4, "0")}`,
  );
  const sizes = new WeakMap<LinkMessage, number>();
  const fleet = createMembershipFleet({
    seed: options.seed,
    seeds: hosts.slice(0, SEED_HOSTS),
    measure(message) {
      const size = sizes.get(message) ?? options.measure(message);
      sizes.set(message, size);
      return size;
    },
  });
  const expiringUpstreams = new Set<HostName>();
  hosts.forEach((host) => fleet.start(host));
  const renew = () => {
    for (const [host, daemon] of fleet.daemons) {
      if (!expiringUpstreams.has(host) && !daemon.isPaused) {
        daemon.directory.announce(announcementOf(host));
      }
    }
  };
  renew();
  fleet.clock.repeat(RENEWAL_MS, renew);
  return { fleet, hosts, expiringUpstreams };
}

function announcementOf(
  host: HostName,
  change: Partial<UpstreamAnnouncement> = {},
): UpstreamAnnouncement {
  return {
    service: `service-${Number(host.slice(-4)) % 25}`,
    version: "1.0.0",
    address: "10.20.30.40",
    port: 9_000,
    slots: 16,
    state: "ready",
    ...change,
  };
}

function everyDaemon(
  fleet: MembershipFleet,
  condition: (daemon: FleetDaemon) => boolean,
): boolean {
  for (const daemon of fleet.daemons.values()) {
    if (!condition(daemon)) {
      return false;
    }
  }
  return true;
}

function haveFullViews(fleet: MembershipFleet): boolean {
  return everyDaemon(fleet, ({ directory }) => {
    const { localMembers } = directory;
    return localMembers.length === fleet.daemons.size &&
      localMembers.every(({ process, state }) =>
        state === "alive" &&
        fleet.daemons.get(process.host)?.self.process.startedAt ===
          process.startedAt
      );
  });
}

function isRemovedEverywhere(
  fleet: MembershipFleet,
  host: HostName,
  port: number,
): boolean {
  return everyDaemon(
    fleet,
    ({ directory }) =>
      !directory.instances.some((instance) =>
        instance.host === host && instance.port === port
      ),
  );
}

async function measureBytes(
  fleet: MembershipFleet,
  duration: Milliseconds,
  run: () => Promise<unknown> = () => fleet.advance(duration),
): Promise<ControlBytes> {
  const total = ({ network }: FleetDaemon) =>
    network.traffic.sentBytes + network.traffic.receivedBytes;
  const before = new Map(
    [...fleet.daemons.values()].map((daemon) => [daemon, total(daemon)]),
  );
  const startedAt = fleet.clock.now();
  await run();
  const seconds = (fleet.clock.now() - startedAt) / 1_000;
  const rates = [...fleet.daemons.values()].map((daemon) =>
    (total(daemon) - (before.get(daemon) ?? 0)) / seconds
  );
  const mean = rates.reduce((sum, rate) => sum + rate, 0) / rates.length;
  return { mean: Math.round(mean), highest: Math.round(Math.max(...rates)) };
}

async function measureInstances(
  { fleet, hosts, expiringUpstreams }: Simulation,
) {
  const host = hosts[3];
  const { directory } = fleet.daemons.get(host)!;
  const extra = announcementOf(host, { port: 9_001 });
  directory.announce(extra);
  const newInstanceMilliseconds = await fleet.advanceUntil(
    () =>
      everyDaemon(
        fleet,
        ({ directory }) =>
          directory.instances.some((instance) =>
            instance.host === host && instance.port === extra.port
          ),
      ),
    LIMIT_MS,
  );
  directory.announce({ ...extra, state: "draining" });
  const drainMilliseconds = await fleet.advanceUntil(
    () => isRemovedEverywhere(fleet, host, extra.port),
    LIMIT_MS,
  );
  expiringUpstreams.add(host);
  directory.announce(announcementOf(host));
  const expiryMilliseconds = await fleet.advanceUntil(
    () => isRemovedEverywhere(fleet, host, 9_000),
    LIMIT_MS,
  );
  expiringUpstreams.delete(host);
  await fleet.advance(5_000);
  return { newInstanceMilliseconds, drainMilliseconds, expiryMilliseconds };
}

async function measurePause(
  { fleet, hosts }: Simulation,
  pauseMilliseconds: Milliseconds,
): Promise<PauseMeasure> {
  const paused = hosts.filter((_, index) => index % 10 === 1);
  const daemons = paused.map((host) => fleet.daemons.get(host)!);
  const suspected = new Set<HostName>();
  const declaredDead = new Set<HostName>();
  const unpausedSuspected = new Set<HostName>();
  const recordSuspicions = () => {
    for (const { directory } of fleet.daemons.values()) {
      for (const host of hosts) {
        const state = directory.findMember(host)?.state;
        if (state === "suspect" || state === "dead") {
          (paused.includes(host) ? suspected : unpausedSuspected).add(host);
        }
        if (state === "dead" && paused.includes(host)) {
          declaredDead.add(host);
        }
      }
    }
  };
  const timer = fleet.clock.repeat(100, recordSuspicions);
  daemons.forEach((daemon) => daemon.pause());
  await fleet.advance(pauseMilliseconds);
  daemons.forEach((daemon) => daemon.resume());
  const recoveryMilliseconds = await fleet.advanceUntil(
    () => haveFullViews(fleet),
    LIMIT_MS,
  );
  await fleet.advance(10_000);
  timer.dispose();
  return {
    pauseMilliseconds,
    pausedDaemons: paused.length,
    suspected: suspected.size,
    declaredDead: declaredDead.size,
    unpausedSuspected: unpausedSuspected.size,
    recoveryMilliseconds,
  };
}

async function measureDepartures({ fleet, hosts }: Simulation) {
  const leaving = hosts.at(-1)!;
  fleet.daemons.get(leaving)!.directory.leave();
  const leaveMilliseconds = await fleet.advanceUntil(
    () => hasLeftEverywhere(fleet, leaving),
    LIMIT_MS,
  );
  fleet.kill(leaving);
  await fleet.advance(5_000);
  const dying = hosts.at(-2)!;
  fleet.freeze(dying);
  const deathInstancesMilliseconds = await fleet.advanceUntil(
    () => isRemovedEverywhere(fleet, dying, 9_000),
    LIMIT_MS,
  );
  const rest = await fleet.advanceUntil(
    () => hasLeftEverywhere(fleet, dying),
    LIMIT_MS,
  );
  const deathMilliseconds = rest === undefined
    ? undefined
    : (deathInstancesMilliseconds ?? 0) + rest;
  await fleet.advance(5_000);
  return { leaveMilliseconds, deathInstancesMilliseconds, deathMilliseconds };
}

function hasLeftEverywhere(fleet: MembershipFleet, host: HostName): boolean {
  return everyDaemon(
    fleet,
    ({ directory }) =>
      directory.localMembers.every(({ process }) => process.host !== host),
  );
}

async function measureRestart({ fleet, hosts }: Simulation) {
  const restarted = hosts.filter((host, index) =>
    index % 2 === 0 && fleet.daemons.has(host)
  );
  let restartMilliseconds: Milliseconds | undefined;
  const restartBytesPerSecond = await measureBytes(fleet, 0, async () => {
    restarted.forEach((host) => fleet.kill(host));
    restarted.forEach((host, index) =>
      fleet.clock.schedule(
        (index * 7_919) % restarted.length / restarted.length *
          RESTART_SPREAD_MS,
        () => fleet.start(host),
      )
    );
    await fleet.advance(RESTART_SPREAD_MS);
    const rest = await fleet.advanceUntil(() => haveFullViews(fleet), LIMIT_MS);
    restartMilliseconds = rest === undefined
      ? undefined
      : rest + RESTART_SPREAD_MS;
  });
  return { restartMilliseconds, restartBytesPerSecond };
}
