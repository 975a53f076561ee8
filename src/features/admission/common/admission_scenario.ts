/**
 * Runs a scripted scenario of demand and faults on an admission fleet. Returns one line per
 * command and per daemon whose limits or admitted calls changed.
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
  type AdmissionFleet,
  createAdmissionFleet,
} from "./admission_fleet.ts";

/** The seconds to wait, then a command of {@linkcode COMMANDS} with its arguments. */
export type AdmissionStep = readonly [seconds: number, command: string];

export interface AdmissionScenario {
  readonly name: string;
  readonly steps: readonly AdmissionStep[];
}

export interface AdmissionScenarioResult {
  readonly lines: readonly string[];
  /** The largest sum of all daemons' rate limits at any time, in calls per second. */
  readonly maximumLimit: number;
  readonly maximumInFlight: number;
  /** The most calls admitted beyond what the rate limit allows since the start. */
  readonly excess: number;
}

/** The contract of every scenario. */
export const SCENARIO_CONTRACT: Contract = {
  customer: "hollister",
  routes: ["availability"],
  limits: { requestsPerSecond: 400, concurrency: 100, retryShare: 0.1 },
};
const DOMAINS = ["tacoma", "salem"];
const STEP_MS: Milliseconds = 10;
const LONGEST_CALL_MS: Milliseconds = 200;

interface ScenarioContext {
  readonly fleet: AdmissionFleet;
  /** Calls offered per second by host. */
  readonly demand: Map<HostName, number>;
}

type Command = (context: ScenarioContext, words: readonly string[]) => void;

const COMMANDS: Readonly<Record<string, Command>> = {
  start: ({ fleet }, hosts) => hosts.forEach(fleet.start),
  kill: ({ fleet }, hosts) => hosts.forEach(fleet.kill),
  demand: ({ demand }, [calls, ...hosts]) =>
    hosts.forEach((host) => demand.set(host, Number(calls))),
  pause: ({ fleet }, [duration, ...hosts]) =>
    hosts.forEach((host) => fleet.pause(host, Number(duration))),
  isolate: ({ fleet }, hosts) => hosts.forEach(fleet.isolate),
  rejoin: ({ fleet }, hosts) => hosts.forEach(fleet.rejoin),
  split: ({ fleet }) => fleet.splitDomains(),
  wait: () => {},
};

/** Runs the steps in order; the same scenario gives the same lines. */
export async function runAdmissionScenario(
  { name, steps }: AdmissionScenario,
): Promise<AdmissionScenarioResult> {
  const fleet = createAdmissionFleet({
    contract: SCENARIO_CONTRACT,
    domains: DOMAINS,
    longestCall: LONGEST_CALL_MS,
    random: createRandomSource(1),
  });
  const context: ScenarioContext = { fleet, demand: new Map() };
  const startedAt = fleet.clock.now();
  const lines = [`# ${name}: time, host, limit, granted, admitted per second`];
  const report = createReport(fleet, lines);
  const maximum = { limit: 0, inFlight: 0, excess: 0 };
  for (const [seconds, command] of steps) {
    for (let second = 0; second < seconds; second += 1) {
      for (let passed = 0; passed < SECOND_MS; passed += STEP_MS) {
        offer(context, passed / STEP_MS);
        await fleet.step(STEP_MS);
        const elapsed = fleet.clock.now() - startedAt;
        maximum.limit = Math.max(maximum.limit, sumLimits(fleet));
        maximum.inFlight = Math.max(maximum.inFlight, fleet.inFlight);
        maximum.excess = Math.max(
          maximum.excess,
          fleet.admitted -
            SCENARIO_CONTRACT.limits.requestsPerSecond * elapsed / SECOND_MS,
        );
      }
      report((fleet.clock.now() - startedAt) / SECOND_MS);
    }
    lines.push(`${(fleet.clock.now() - startedAt) / SECOND_MS} -- ${command}`);
    const [verb, ...words] = command.split(" ");
    COMMANDS[verb](context, words);
  }
  fleet.hosts.forEach(fleet.kill);
  return {
    lines,
    maximumLimit: maximum.limit,
    maximumInFlight: maximum.inFlight,
    excess: maximum.excess,
  };
}

/** Offers the calls due in one step; the calls of a second are spread evenly over its steps. */
function offer({ fleet, demand }: ScenarioContext, step: number): void {
  const steps = SECOND_MS / STEP_MS;
  for (const [host, calls] of demand) {
    const due = Math.floor(calls * (step + 1) / steps) -
      Math.floor(calls * step / steps);
    fleet.offer(host, due);
  }
}

function sumLimits(fleet: AdmissionFleet): number {
  return fleet.hosts.reduce((sum, host) => sum + getRateLimit(fleet, host), 0);
}

function getRateLimit(fleet: AdmissionFleet, host: HostName): number {
  const limits = fleet.findLimits(host);
  return limits === undefined ? 0 : limits.own.rate + limits.leased.rate;
}

/** Creates a function that appends a line for each daemon whose figures changed. */
function createReport(fleet: AdmissionFleet, lines: string[]) {
  const before = new Map<HostName, number>();
  const last = new Map<HostName, string>();
  return (second: number) => {
    for (const host of [...fleet.hosts].sort()) {
      const admitted = fleet.countAdmitted(host);
      const granted = fleet.findLimits(host)?.leased.rate ?? 0;
      const figures = `${getRateLimit(fleet, host).toFixed(1)} ${
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
