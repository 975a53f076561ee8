/**
 * Runs a written session of demand and faults over the admission world and gives one line per
 * event and per daemon whose limits or admitted calls changed.
 *
 * @module
 */

import {
  type Milliseconds,
  SECOND_MS,
} from "../../../base/common/milliseconds.ts";
import { createRandomSource } from "../../../base/common/random_source.ts";
import type { Contract } from "../../../world/common/contract.ts";
import type { HostName } from "../../../world/common/names.ts";
import {
  type AdmissionWorld,
  createAdmissionWorld,
} from "./admission_world.ts";

/** The seconds to let pass, then a command of `COMMANDS` with its arguments. */
export type AdmissionStep = readonly [seconds: number, command: string];

export interface AdmissionCase {
  readonly name: string;
  readonly steps: readonly AdmissionStep[];
}

export interface AdmissionSession {
  readonly lines: readonly string[];
  /** The largest sum of all daemons' rate limits at one instant. */
  readonly highestLimit: number;
  readonly highestInFlight: number;
  /** Calls admitted beyond the rate of the whole session. */
  readonly excess: number;
}

/** The contract of every session. */
export const SESSION_CONTRACT: Contract = {
  customer: "hollister",
  routes: ["availability"],
  limits: { requestsPerSecond: 400, concurrency: 100, retryShare: 0.1 },
};
const DOMAINS = ["tacoma", "salem"];
const STEP_MS: Milliseconds = 10;
const LONGEST_CALL_MS: Milliseconds = 200;

interface SessionBench {
  readonly world: AdmissionWorld;
  /** Calls offered per second by host. */
  readonly demand: Map<HostName, number>;
}

type Command = (bench: SessionBench, words: readonly string[]) => void;

const COMMANDS: Readonly<Record<string, Command>> = {
  start: ({ world }, hosts) => hosts.forEach(world.start),
  kill: ({ world }, hosts) => hosts.forEach(world.kill),
  demand: ({ demand }, [calls, ...hosts]) =>
    hosts.forEach((host) => demand.set(host, Number(calls))),
  pause: ({ world }, [duration, ...hosts]) =>
    hosts.forEach((host) => world.pause(host, Number(duration))),
  isolate: ({ world }, hosts) => hosts.forEach(world.isolate),
  rejoin: ({ world }, hosts) => hosts.forEach(world.rejoin),
  split: ({ world }) => world.splitDomains(),
  wait: () => {},
};

/** Runs the steps in order; the same case gives the same lines. */
export async function runAdmissionCase(
  { name, steps }: AdmissionCase,
): Promise<AdmissionSession> {
  const world = createAdmissionWorld({
    contract: SESSION_CONTRACT,
    domains: DOMAINS,
    longestCall: LONGEST_CALL_MS,
    random: createRandomSource(1),
  });
  const bench: SessionBench = { world, demand: new Map() };
  const startedAt = world.clock.now();
  const lines = [`# ${name}: time, host, limit, granted, admitted per second`];
  const report = createReport(world, lines);
  const highest = { limit: 0, inFlight: 0, excess: 0 };
  for (const [seconds, command] of steps) {
    for (let second = 0; second < seconds; second += 1) {
      for (let passed = 0; passed < SECOND_MS; passed += STEP_MS) {
        offer(bench, passed / STEP_MS);
        await world.step(STEP_MS);
        const elapsed = world.clock.now() - startedAt;
        highest.limit = Math.max(highest.limit, sumLimits(world));
        highest.inFlight = Math.max(highest.inFlight, world.inFlight);
        highest.excess = Math.max(
          highest.excess,
          world.admitted -
            SESSION_CONTRACT.limits.requestsPerSecond * elapsed / SECOND_MS,
        );
      }
      report((world.clock.now() - startedAt) / SECOND_MS);
    }
    lines.push(`${(world.clock.now() - startedAt) / SECOND_MS} -- ${command}`);
    const [verb, ...words] = command.split(" ");
    COMMANDS[verb](bench, words);
  }
  world.hosts.forEach(world.kill);
  return {
    lines,
    highestLimit: highest.limit,
    highestInFlight: highest.inFlight,
    excess: highest.excess,
  };
}

/** Spreads the calls of a second evenly over its steps. */
function offer({ world, demand }: SessionBench, step: number): void {
  const steps = SECOND_MS / STEP_MS;
  for (const [host, calls] of demand) {
    const due = Math.floor(calls * (step + 1) / steps) -
      Math.floor(calls * step / steps);
    world.offer(host, due);
  }
}

function sumLimits(world: AdmissionWorld): number {
  return world.hosts.reduce((sum, host) => sum + limitOf(world, host), 0);
}

function limitOf(world: AdmissionWorld, host: HostName): number {
  const limits = world.limitsOf(host);
  return limits === undefined ? 0 : limits.own.rate + limits.leased.rate;
}

/** Writes the daemons whose figures differ from their last line. */
function createReport(world: AdmissionWorld, lines: string[]) {
  const before = new Map<HostName, number>();
  const last = new Map<HostName, string>();
  return (second: number) => {
    for (const host of [...world.hosts].sort()) {
      const admitted = world.admittedBy(host);
      const granted = world.limitsOf(host)?.leased.rate ?? 0;
      const figures = `${limitOf(world, host).toFixed(1)} ${
        granted.toFixed(1)
      } ${Math.max(0, admitted - (before.get(host) ?? 0))}`;
      before.set(host, admitted);
      if (last.get(host) !== figures) {
        last.set(host, figures);
        lines.push(`${second} ${host} ${figures}`);
      }
    }
  };
}
