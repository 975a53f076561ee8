/**
 * Runs a written session of faults over a virtual cluster and gives one line per event and per
 * decision that followed: time, host, event, version.
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
import { appendChange, createRevertWatch } from "./convergence_measure.ts";
import {
  createVirtualCluster,
  type VirtualCluster,
  type VirtualClusterOptions,
} from "./virtual_cluster.ts";

/** The time to let pass, then a command of `COMMANDS` with its arguments. */
export type SessionStep = readonly [wait: Milliseconds, command: string];

export interface DistributionCase {
  readonly name: string;
  readonly options?: Partial<VirtualClusterOptions>;
  readonly steps: readonly SessionStep[];
}

export interface DistributionSession {
  readonly lines: readonly string[];
  /** Hosts whose version in force was lower than before. */
  readonly reverts: number;
  /** The different states in which running daemons ended. */
  readonly states: number;
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

interface SessionBench {
  readonly cluster: VirtualCluster;
  /** Every entry appended so far; retention does not shorten it. */
  readonly entries: LogEntry[];
}

type Command = (bench: SessionBench, words: readonly string[]) => void;

const COMMANDS: Readonly<Record<string, Command>> = {
  publish: (bench, [identity, count = "1"]) => {
    const { cluster: { log, clock }, entries } = bench;
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
  wake: ({ cluster }, hosts) => hosts.forEach(cluster.resume),
  cut: ({ cluster }, [first, second]) =>
    listOthers(cluster, first, second).forEach((other) =>
      cluster.setHostCut(first, other, true)
    ),
  join: ({ cluster }, [first, second]) =>
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

/** One named host, or all others for `all`. */
function listOthers(
  { hosts }: VirtualCluster,
  host: HostName,
  other: string,
): HostName[] {
  return other === "all" ? hosts.filter((name) => name !== host) : [other];
}

/** Runs the steps in order; the same case gives the same lines. */
export async function runDistributionCase(
  { name, options, steps }: DistributionCase,
): Promise<DistributionSession> {
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
  const bench: SessionBench = { cluster, entries: [] };
  const watch = createRevertWatch(cluster);
  let written = 0;
  const observe = () => {
    watch.observe();
    for (; written < buffer.events.length; written += 1) {
      const event = buffer.events[written];
      if (RECORDED_EVENTS.has(event.event)) {
        lines.push(describeEvent(event, cluster));
      }
    }
  };
  for (const [wait, command] of steps) {
    await cluster.run(wait, observe);
    lines.push(`${formatTime(now())} -- ${command}`);
    const [verb, ...words] = command.split(" ");
    COMMANDS[verb](bench, words);
    observe();
  }
  const states = describeStates(cluster);
  lines.push(...states.lines.map((line) => `${formatTime(now())} ${line}`));
  cluster.dispose();
  return { lines, reverts: watch.reverts, states: states.count };
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
