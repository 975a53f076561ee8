/**
 * Runs a scripted scenario of faults in a virtual cluster. Its result has one line per step and per
 * recorded event that followed: time, host, event and version.
 *
 * @module
 */

import {
  createEventBuffer,
  type LogEvent,
} from "../../../base/common/event_log.ts";
import { hashText } from "../../../base/common/hashing.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { LogEntry } from "../../../world/common/log_record.ts";
import type { HostName } from "../../../world/common/names.ts";
import type { LinkMessage } from "../../link/common/peer_network.ts";
import { appendChange, createRevertCounter } from "./convergence_measure.ts";
import {
  createVirtualCluster,
  type VirtualCluster,
  type VirtualClusterOptions,
} from "./virtual_cluster.ts";

/** The time to wait, then a command of `COMMANDS` with its arguments. */
export type ScenarioStep = readonly [wait: Milliseconds, command: string];

export interface DistributionScenario {
  readonly name: string;
  readonly options?: Partial<VirtualClusterOptions>;
  readonly steps: readonly ScenarioStep[];
}

export interface ScenarioResult {
  readonly lines: readonly string[];
  /** Observations of a host whose version in force was lower than before. */
  readonly reverts: number;
  /** The number of different final states of the running daemons. */
  readonly finalStates: number;
}

const RECORDED_EVENTS = new Set([
  "configuration.applied",
  "distribution.resumed",
  "floor.reached",
  "log.retention-passed",
  "snapshot.append",
  "state.refused",
]);
const EVENT_CAPACITY = 10_000;

interface ScenarioContext {
  readonly cluster: VirtualCluster;
  /** Every entry appended so far, including expired ones. */
  readonly entries: LogEntry[];
}

type Command = (context: ScenarioContext, words: readonly string[]) => void;

const COMMANDS: Readonly<Record<string, Command>> = {
  publish: (context, [identity, count = "1"]) => {
    const { cluster: { log, clock }, entries } = context;
    for (let index = 0; index < Number(count); index += 1) {
      const name = count === "1" ? identity : `${identity}${index}`;
      const from = appendChange({ log, clock }, name);
      const page = log.read("configuration", { from, now: clock.now() });
      entries.push(...page?.entries ?? []);
    }
  },
  platform: ({ cluster }, [state]) =>
    cluster.log.setFaults({ isDown: state === "down" }),
  stop: ({ cluster }, hosts) => hosts.forEach(cluster.stop),
  start: ({ cluster }, hosts) => hosts.forEach(cluster.start),
  pause: ({ cluster }, hosts) => hosts.forEach(cluster.pause),
  resume: ({ cluster }, hosts) => hosts.forEach(cluster.resume),
  cut: ({ cluster }, [first, second]) =>
    listOthers(cluster, first, second).forEach((other) =>
      cluster.setHostCut(first, other, true)
    ),
  restore: ({ cluster }, [first, second]) =>
    listOthers(cluster, first, second).forEach((other) =>
      cluster.setHostCut(first, other, false)
    ),
  split: ({ cluster }, [domain, from]) =>
    cluster.setCut(domain, from as "domains" | "platform", true),
  heal: ({ cluster }, [domain, from]) =>
    cluster.setCut(domain, from as "domains" | "platform", false),
  deliver: ({ cluster, entries }, [from, to, ...offsets]) => {
    const message = {
      kind: "entries",
      version: Math.max(...offsets.map(Number)),
      entries: offsets.map((offset) => entries[Number(offset)]),
    };
    cluster.daemons.get(from)!.network.send(to, message as LinkMessage);
  },
  wait: () => {},
};

/** Returns the named host, or all other hosts for `all`. */
function listOthers(
  { hosts }: VirtualCluster,
  host: HostName,
  other: string,
): HostName[] {
  return other === "all" ? hosts.filter((name) => name !== host) : [other];
}

/** Runs the steps in order. The same scenario always gives the same lines. */
export async function runDistributionScenario(
  { name, options, steps }: DistributionScenario,
): Promise<ScenarioResult> {
  const lines = [`# ${name}`];
  let now = () => 0;
  const buffer = createEventBuffer(EVENT_CAPACITY, () => now());
  const cluster = createVirtualCluster({
    seed: 1,
    domains: 1,
    daemonsPerDomain: 3,
    log: buffer.log,
    ...options,
  });
  const startedAt = cluster.clock.now();
  now = () => cluster.clock.now() - startedAt;
  const context: ScenarioContext = { cluster, entries: [] };
  const revertCounter = createRevertCounter(cluster);
  let recordedCount = 0;
  const observe = () => {
    revertCounter.observe();
    for (; recordedCount < buffer.events.length; recordedCount += 1) {
      const event = buffer.events[recordedCount];
      if (RECORDED_EVENTS.has(event.event)) {
        lines.push(describeEvent(event, cluster));
      }
    }
  };
  for (const [wait, command] of steps) {
    await cluster.run(wait, observe);
    lines.push(`${formatTime(now())} -- ${command}`);
    const [action, ...words] = command.split(" ");
    COMMANDS[action](context, words);
    observe();
  }
  const states = describeStates(cluster);
  lines.push(...states.lines.map((line) => `${formatTime(now())} ${line}`));
  cluster.dispose();
  return { lines, reverts: revertCounter.reverts, finalStates: states.count };
}

function describeEvent(
  { at, event, fields }: LogEvent,
  cluster: VirtualCluster,
): string {
  const host = String(fields.host);
  const version = fields.version ??
    cluster.daemons.get(host)?.source.current.version;
  const reason = fields.reason === undefined ? "" : ` (${fields.reason})`;
  return `${formatTime(at)} ${host} ${event}${reason} ${version}`;
}

function describeStates(cluster: VirtualCluster) {
  const hashes = new Set<number>();
  const lines = [...cluster.daemons.values()].map(({ host, source }) => {
    const { current, isReady } = source;
    hashes.add(hashText(JSON.stringify([
      current.version,
      [...current.services].sort(),
      [...current.objectVersions].sort(),
    ])));
    return `${host} ${isReady ? "ready" : "not-ready"} ${current.version}`;
  });
  return { lines, count: hashes.size };
}

function formatTime(at: Milliseconds): string {
  return (at / 1_000).toFixed(3).padStart(7);
}
