/**
 * Runs a written session of events over a fleet of directories and gives one line per event,
 * per membership decision and per change of the instances that a daemon may use.
 *
 * @module
 */

import type { LogEvent } from "../../../base/common/event_log.ts";
import {
  type Milliseconds,
  SECOND_MS,
} from "../../../base/common/milliseconds.ts";
import type { HostName } from "../../../world/common/names.ts";
import type { UpstreamState } from "../../../world/common/upstream_instance.ts";
import {
  createMembershipFleet,
  FLEET_START_AT,
  type FleetDaemon,
  type MembershipFleet,
} from "./membership_fleet.ts";

/** The time to let pass, then a command of `COMMANDS` with its arguments. */
export type MembershipStep = readonly [wait: Milliseconds, command: string];

export interface MembershipCase {
  readonly name: string;
  /** Hosts by their failure domain; the first of each domain are seeds. */
  readonly domains: Readonly<Record<string, readonly HostName[]>>;
  readonly steps: readonly MembershipStep[];
}

export interface MembershipSession {
  readonly lines: readonly string[];
  /** At the end: for each daemon the members of its domain and the instances that it knows. */
  readonly views: ReadonlyMap<HostName, string>;
}

const STEP_MS: Milliseconds = 10;
const RENEWAL_MS: Milliseconds = 1_000;
const UPSTREAM_PORT = 9_000;

interface SessionBench {
  readonly fleet: MembershipFleet;
  /** The state that the upstream of a host announces. */
  readonly upstreams: Map<HostName, UpstreamState>;
  domainOf(host: HostName): string;
}

type Command = (bench: SessionBench, words: readonly string[]) => void;

const COMMANDS: Readonly<Record<string, Command>> = {
  start: ({ fleet, domainOf }, hosts) =>
    hosts.forEach((host) => fleet.start(host, domainOf(host))),
  kill: ({ fleet }, hosts) => hosts.forEach(fleet.kill),
  freeze: ({ fleet }, hosts) => hosts.forEach(fleet.freeze),
  pause: ({ fleet }, hosts) =>
    hosts.forEach((host) => fleet.daemons.get(host)!.pause()),
  wake: ({ fleet }, hosts) =>
    hosts.forEach((host) => fleet.daemons.get(host)!.resume()),
  leave: ({ fleet }, hosts) =>
    hosts.forEach((host) => fleet.daemons.get(host)!.directory.leave()),
  upstream: (bench, [host, state]) => {
    bench.upstreams.set(host, state as UpstreamState);
    renew(bench);
  },
  silence: ({ upstreams }, hosts) =>
    hosts.forEach((host) => upstreams.delete(host)),
  cut: ({ fleet }, [first, ...others]) =>
    others.forEach((other) => fleet.exchange.cut(first, other)),
  join: ({ fleet }, [first, ...others]) =>
    others.forEach((other) => fleet.exchange.restore(first, other)),
  wait: () => {},
};

/** Announces every upstream again whose daemon runs. */
function renew({ fleet, upstreams }: SessionBench): void {
  for (const [host, state] of upstreams) {
    const daemon = fleet.daemons.get(host);
    if (daemon !== undefined && !daemon.isPaused) {
      daemon.directory.announce({
        service: "booking",
        version: "v1",
        address: daemon.self.addresses.address,
        port: UPSTREAM_PORT,
        slots: 4,
        state,
      });
    }
  }
}

/** Writes what each daemon logged, and its instances when they differ from the last ones. */
function createWatch(fleet: MembershipFleet, lines: string[]) {
  const written = new Map<FleetDaemon, number>();
  const instances = new Map<FleetDaemon, string>();
  return () => {
    const added: { at: Milliseconds; line: string }[] = [];
    for (const [host, daemon] of fleet.daemons) {
      for (const event of daemon.events.slice(written.get(daemon) ?? 0)) {
        added.push({ at: event.at, line: describeEvent(host, event) });
      }
      written.set(daemon, daemon.events.length);
      const known = listInstances(daemon);
      if (known !== (instances.get(daemon) ?? "")) {
        instances.set(daemon, known);
        const at = fleet.clock.now();
        added.push({
          at,
          line: `${formatTime(at)} ${host} instances [${known}]`,
        });
      }
    }
    added.sort((left, right) => left.at - right.at);
    lines.push(...added.map(({ line }) => line));
  };
}

function describeEvent(host: HostName, { at, event, fields }: LogEvent) {
  const details = Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => ` ${key}=${value}`).join("");
  return `${formatTime(at)} ${host} ${event}${details}`;
}

function listInstances({ directory }: FleetDaemon): string {
  return directory.instances.map(({ host }) => host).sort().join(" ");
}

/** Runs the steps in order; the same case gives the same lines. */
export async function runMembershipCase(
  { name, domains, steps }: MembershipCase,
): Promise<MembershipSession> {
  const lines = [`# ${name}`];
  const domainOf = (host: HostName) =>
    Object.keys(domains).find((domain) => domains[domain].includes(host))!;
  const seeds = Object.values(domains).flatMap((hosts) => hosts.slice(0, 2));
  const fleet = createMembershipFleet({ seed: 1, seeds });
  const bench: SessionBench = { fleet, upstreams: new Map(), domainOf };
  const observe = createWatch(fleet, lines);
  fleet.clock.repeat(RENEWAL_MS, () => renew(bench));
  for (const [wait, command] of steps) {
    for (let elapsed = 0; elapsed < wait; elapsed += STEP_MS) {
      await fleet.advance(STEP_MS);
      observe();
    }
    lines.push(`${formatTime(fleet.clock.now())} -- ${command}`);
    const [verb, ...words] = command.split(" ");
    COMMANDS[verb](bench, words);
    observe();
  }
  const views = new Map(
    [...fleet.daemons].map(([host, daemon]) => [host, describeView(daemon)]),
  );
  for (const [host, view] of views) {
    lines.push(`${formatTime(fleet.clock.now())} ${host} knows ${view}`);
  }
  [...fleet.daemons.keys()].forEach(fleet.kill);
  return { lines, views };
}

function describeView(daemon: FleetDaemon): string {
  const members = daemon.directory.localMembers.map(({ process, state }) =>
    state === "alive" ? process.host : `${process.host}(${state})`
  );
  return `members [${members.sort().join(" ")}] instances [${
    listInstances(daemon)
  }]`;
}

function formatTime(at: Milliseconds): string {
  return ((at - FLEET_START_AT) / SECOND_MS).toFixed(3).padStart(7);
}
