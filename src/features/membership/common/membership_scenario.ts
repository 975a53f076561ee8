/**
 * Runs a scripted scenario over a simulated fleet of directories. Its result has one line per step,
 * per membership event and per change of the instances that a daemon knows.
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

/** The time to wait, then a command of `COMMANDS` with its arguments. */
export type ScenarioStep = readonly [wait: Milliseconds, command: string];

export interface MembershipScenario {
  readonly name: string;
  /** Hosts by failure domain; the first two of each domain are seeds. */
  readonly domains: Readonly<Record<string, readonly HostName[]>>;
  readonly steps: readonly ScenarioStep[];
}

export interface ScenarioResult {
  readonly lines: readonly string[];
  /** The final view of each daemon: the members of its domain and the instances that it knows. */
  readonly views: ReadonlyMap<HostName, string>;
}

const STEP_MS: Milliseconds = 10;
const RENEWAL_MS: Milliseconds = 1_000;
const UPSTREAM_PORT = 9_000;

interface ScenarioContext {
  readonly fleet: MembershipFleet;
  /** The state that the upstream of a host announces. */
  readonly upstreams: Map<HostName, UpstreamState>;
  domainOf(host: HostName): string;
}

type Command = (context: ScenarioContext, words: readonly string[]) => void;

const COMMANDS: Readonly<Record<string, Command>> = {
  start: ({ fleet, domainOf }, hosts) =>
    hosts.forEach((host) => fleet.start(host, domainOf(host))),
  kill: ({ fleet }, hosts) => hosts.forEach(fleet.kill),
  freeze: ({ fleet }, hosts) => hosts.forEach(fleet.freeze),
  pause: ({ fleet }, hosts) =>
    hosts.forEach((host) => fleet.daemons.get(host)!.pause()),
  resume: ({ fleet }, hosts) =>
    hosts.forEach((host) => fleet.daemons.get(host)!.resume()),
  leave: ({ fleet }, hosts) =>
    hosts.forEach((host) => fleet.daemons.get(host)!.directory.leave()),
  upstream: (context, [host, state]) => {
    context.upstreams.set(host, state as UpstreamState);
    renewAnnouncements(context);
  },
  expire: ({ upstreams }, hosts) =>
    hosts.forEach((host) => upstreams.delete(host)),
  cut: ({ fleet }, [first, ...others]) =>
    others.forEach((other) => fleet.exchange.cut(first, other)),
  restore: ({ fleet }, [first, ...others]) =>
    others.forEach((other) => fleet.exchange.restore(first, other)),
  wait: () => {},
};

/** Renews the announcement of every upstream whose daemon runs. */
function renewAnnouncements({ fleet, upstreams }: ScenarioContext): void {
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

/** Records what each daemon logged, and its instances when they changed. */
function createChangeRecorder(fleet: MembershipFleet, lines: string[]) {
  const recordedEvents = new Map<FleetDaemon, number>();
  const instances = new Map<FleetDaemon, string>();
  return () => {
    const added: { at: Milliseconds; line: string }[] = [];
    for (const [host, daemon] of fleet.daemons) {
      for (
        const event of daemon.events.slice(recordedEvents.get(daemon) ?? 0)
      ) {
        added.push({ at: event.at, line: describeEvent(host, event) });
      }
      recordedEvents.set(daemon, daemon.events.length);
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

/** Runs the steps in order. The same scenario always gives the same lines. */
export async function runMembershipScenario(
  { name, domains, steps }: MembershipScenario,
): Promise<ScenarioResult> {
  const lines = [`# ${name}`];
  const domainOf = (host: HostName) =>
    Object.keys(domains).find((domain) => domains[domain].includes(host))!;
  const seeds = Object.values(domains).flatMap((hosts) => hosts.slice(0, 2));
  const fleet = createMembershipFleet({ seed: 1, seeds });
  const context: ScenarioContext = { fleet, upstreams: new Map(), domainOf };
  const recordChanges = createChangeRecorder(fleet, lines);
  fleet.clock.repeat(RENEWAL_MS, () => renewAnnouncements(context));
  for (const [wait, command] of steps) {
    for (let elapsed = 0; elapsed < wait; elapsed += STEP_MS) {
      await fleet.advance(STEP_MS);
      recordChanges();
    }
    lines.push(`${formatTime(fleet.clock.now())} -- ${command}`);
    const [action, ...words] = command.split(" ");
    COMMANDS[action](context, words);
    recordChanges();
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
