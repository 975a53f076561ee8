/**
 * A fleet of real processes for failure tests: a platform log, daemons and upstreams on free
 * loopback ports, which a test can kill, pause, resume and stop.
 *
 * @module
 */

import { type ChildProcess, spawn } from "node:child_process";
import { randomUUID } from "node:crypto";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import type { Milliseconds } from "../../base/common/milliseconds.ts";
import { findFreePorts } from "../../base/node/free_ports.ts";
import type { DaemonSettings } from "../common/daemon_settings.ts";
import type { UpstreamBehaviour } from "../common/upstream_behaviour.ts";
import type { UpstreamSettings } from "../common/upstream_settings.ts";
import { callAdministration } from "./administration_client.ts";
import { createDemoContract, createFleet, OLD_VERSION } from "./demo_fleet.ts";

const PROGRAM = fileURLToPath(new URL("./guavarun.js", import.meta.url));
const POLL_MS: Milliseconds = 50;
/** Conditions hold within seconds on an idle machine; a loaded one may need far longer. */
export const WAIT_LIMIT_MS: Milliseconds = 60_000;
/** Timeout of a test, which may wait for several such conditions. */
export const TEST_TIMEOUT_MS: Milliseconds = 180_000;
const INITIAL_RATE = 6_000;

/** One process of the fleet. */
export interface FleetProcess {
  readonly name: string;
  /** Sends SIGKILL and waits for the process to exit. */
  kill(): Promise<void>;
  /** Sends SIGSTOP. */
  pause(): void;
  /** Sends SIGCONT. */
  resume(): void;
  /** Sends SIGTERM and returns the exit code; undefined when a signal ended the process. */
  terminate(): Promise<number | undefined>;
  /** Starts the process again with the same settings. */
  restart(): void;
}

/** The response of `GET /ready`. */
export interface Readiness {
  readonly ready: boolean;
  readonly version: number;
}

export interface FleetDaemon extends FleetProcess {
  readonly settings: DaemonSettings;
  /**
   * Sends a GET request, or a POST request when there is a body. Returns the body of the response;
   * undefined without a complete response.
   */
  request(
    path: string,
    body?: unknown,
  ): Promise<Record<string, unknown> | undefined>;
  readReadiness(): Promise<Readiness | undefined>;
}

/** The response of `GET /runs`. */
export interface UpstreamRuns {
  readonly calls: number;
  readonly runs: number;
}

export interface FleetUpstream extends FleetProcess {
  readonly settings: UpstreamSettings;
  setBehaviour(behaviour: Partial<UpstreamBehaviour>): Promise<void>;
  readRuns(): Promise<UpstreamRuns>;
  /** The number of runs of each idempotency key. */
  readRunsByKey(): Promise<Record<string, number>>;
}

export interface PlatformFaults {
  readonly isDown?: boolean;
  readonly delayMilliseconds?: Milliseconds;
  readonly lostAnswerShare?: number;
}

export interface UpstreamOptions {
  /** The index of the daemon on the same host. */
  readonly daemon: number;
  readonly version?: string;
  readonly workMilliseconds?: Milliseconds;
}

export interface ProcessFleetOptions {
  /** Each failure domain has three daemons. */
  readonly failureDomains?: readonly string[];
  readonly upstreams: readonly UpstreamOptions[];
}

export interface CommandResult {
  readonly code: number | null;
  readonly output: string;
}

export interface ProcessFleet {
  readonly daemons: readonly FleetDaemon[];
  readonly upstreams: readonly FleetUpstream[];
  setFaults(faults: PlatformFaults): Promise<void>;
  /** Appends bytes to the configuration log without validation. */
  append(record: Uint8Array): Promise<void>;
  /** Publishes the contract with a new rate limit; returns the body of the response. */
  publish(
    daemon: FleetDaemon,
    fields?: Record<string, unknown>,
  ): Promise<Record<string, unknown> | undefined>;
  /** Publishes the contract, waits until it is in force at the daemons and returns its version. */
  publishEverywhere(daemons?: readonly FleetDaemon[]): Promise<number>;
  waitForVersion(
    version: number,
    daemons?: readonly FleetDaemon[],
  ): Promise<void>;
  /** Runs `guavarun` with arguments as an operator of a daemon. */
  runCommand(
    daemon: FleetDaemon,
    commandLine: readonly string[],
  ): Promise<CommandResult>;
}

/** Polls until the condition holds; throws an error with the description after the time limit. */
export async function waitUntil(
  description: string,
  condition: () => boolean | Promise<boolean>,
  limit: Milliseconds = WAIT_LIMIT_MS,
): Promise<void> {
  if (!await holdsWithin(limit, condition)) {
    throw new Error(`timed out waiting for: ${description}`);
  }
}

/** Polls until the condition holds; false when it does not hold within the limit. */
export async function holdsWithin(
  limit: Milliseconds,
  condition: () => boolean | Promise<boolean>,
): Promise<boolean> {
  const endAt = Date.now() + limit;
  while (!await condition()) {
    if (Date.now() >= endAt) {
      return false;
    }
    await sleep(POLL_MS);
  }
  return true;
}

/** Starts the fleet and waits until a first contract is in force on every daemon. */
export async function startProcessFleet(
  context: TestContext,
  options: ProcessFleetOptions,
): Promise<ProcessFleet> {
  const token = randomUUID();
  const failureDomains = options.failureDomains ?? ["tacoma"];
  const settings = await createFleet(token, { failureDomains });
  const launcher = createLauncher(context);
  const platformUrl =
    `http://${settings.platform.address}:${settings.platform.port}`;
  launcher.start("platform", "platform", settings.platform);
  const daemons = settings.daemons.map((daemon) =>
    createDaemon(launcher, daemon, token)
  );
  const ports = await findFreePorts(options.upstreams.length);
  const upstreams = options.upstreams.map((upstream, index) =>
    createUpstream(launcher, {
      ...settings.upstreams[0],
      port: ports[index],
      version: upstream.version ?? OLD_VERSION,
      administrationPort: settings.daemons[upstream.daemon].administrationPort,
      workMilliseconds: upstream.workMilliseconds ?? 5,
    })
  );
  let rate = INITIAL_RATE;

  const fleet: ProcessFleet = {
    daemons,
    upstreams,
    setFaults: (faults) =>
      post(`${platformUrl}/faults`, JSON.stringify(faults)),
    append: (record) => post(`${platformUrl}/streams/configuration`, record),
    publish(daemon, fields = {}) {
      rate += 1;
      const document = createDemoContract(rate, failureDomains);
      return daemon.request("/changes", { ...document, ...fields });
    },
    async publishEverywhere(receivers = daemons) {
      const answer = await fleet.publish(receivers[0]);
      if (answer?.result !== "accepted") {
        throw new Error(
          `the change was not accepted: ${JSON.stringify(answer)}`,
        );
      }
      await fleet.waitForVersion(Number(answer.offset), receivers);
      return Number(answer.offset);
    },
    waitForVersion: (version, receivers = daemons) =>
      waitUntil(
        `version ${version} is in force`,
        () =>
          everyAsync(receivers, async (daemon) => {
            const state = await daemon.readReadiness();
            return state?.ready === true && state.version >= version;
          }),
      ),
    runCommand: (daemon, commandLine) =>
      runCommand(daemon.settings, commandLine, token),
  };
  await fleet.waitForVersion(-1);
  await waitUntil(
    "all members and upstreams are known",
    () =>
      everyAsync(daemons, async (daemon) => {
        const members = await daemon.request("/members");
        return listHosts(members, "localMembers").length === 3 &&
          listHosts(members, "instances").length >= upstreams.length;
      }),
  );
  await fleet.publishEverywhere();
  return fleet;
}

/** Returns the hosts in one list of the response of `GET /members`. */
export function listHosts(
  members: Record<string, unknown> | undefined,
  list: "localMembers" | "instances",
): string[] {
  const found = members?.[list] ?? [];
  return (found as { host?: string; process?: { host: string } }[])
    .map(({ host, process }) => host ?? process!.host);
}

/** Checks all items concurrently; true when the condition holds for each. */
export async function everyAsync<T>(
  items: readonly T[],
  condition: (item: T) => Promise<boolean>,
): Promise<boolean> {
  return (await Promise.all(items.map(condition))).every(Boolean);
}

interface Launcher {
  start(command: string, name: string, settings: object): FleetProcess;
}

/** Creates a launcher that kills the processes still running when the test or its process ends. */
function createLauncher(context: TestContext): Launcher {
  const folder = mkdtempSync(join(tmpdir(), "guavarun-processes-"));
  const running = new Set<ChildProcess>();
  const killAll = () => running.forEach((child) => child.kill("SIGKILL"));
  process.once("exit", killAll);
  context.after(async () => {
    const ends = [...running].map((child) =>
      new Promise((resolve) => child.once("exit", resolve))
    );
    killAll();
    await Promise.all(ends);
    process.off("exit", killAll);
    if (process.env.GUAVARUN_KEEP_LOGS === undefined) {
      rmSync(folder, { recursive: true, force: true });
    } else {
      context.diagnostic(`logs in ${folder}`);
    }
  });

  function launch(command: string, name: string, settings: object) {
    const file = join(folder, `${name}.jsonc`);
    const log = { file: join(folder, `${name}.log`) };
    writeFileSync(file, JSON.stringify({ ...settings, log }));
    const child = spawn(process.execPath, [PROGRAM, command, file], {
      stdio: ["ignore", "inherit", "inherit"],
    });
    running.add(child);
    child.once("exit", () => running.delete(child));
    return child;
  }

  return {
    start(command, name, settings) {
      let child = launch(command, name, settings);
      const signalAndWait = (signal: NodeJS.Signals) =>
        new Promise<number | undefined>((resolve) => {
          child.once("exit", (code) => resolve(code ?? undefined));
          child.kill(signal);
        });
      return {
        name,
        async kill() {
          await signalAndWait("SIGKILL");
        },
        pause: () => void child.kill("SIGSTOP"),
        resume: () => void child.kill("SIGCONT"),
        terminate: () => signalAndWait("SIGTERM"),
        restart() {
          child = launch(command, name, settings);
        },
      };
    },
  };
}

function createDaemon(
  launcher: Launcher,
  settings: DaemonSettings,
  token: string,
): FleetDaemon {
  const address = `${settings.address}:${settings.administrationPort}`;
  async function request(path: string, body?: unknown) {
    const response = await callAdministration({ address, token }, path, body);
    return response.ok ? response.val.body : undefined;
  }
  return {
    ...launcher.start("daemon", settings.host, settings),
    settings,
    request,
    readReadiness: async () =>
      await request("/ready") as unknown as Readiness | undefined,
  };
}

function createUpstream(
  launcher: Launcher,
  settings: UpstreamSettings,
): FleetUpstream {
  const url = `http://${settings.address}:${settings.port}`;
  const read = async <T>(path: string) =>
    await (await fetch(url + path)).json() as T;
  return {
    ...launcher.start("upstream", `upstream-${settings.port}`, settings),
    settings,
    setBehaviour: (behaviour) =>
      post(`${url}/behaviour`, JSON.stringify(behaviour)),
    readRuns: () => read("/runs"),
    readRunsByKey: () => read("/runs/keys"),
  };
}

async function post(url: string, body: string | Uint8Array): Promise<void> {
  const response = await fetch(url, {
    method: "POST",
    body: Buffer.from(body),
  });
  await response.arrayBuffer();
  if (!response.ok) {
    throw new Error(`${url} answered with status ${response.status}`);
  }
}

function runCommand(
  { address, administrationPort }: DaemonSettings,
  commandLine: readonly string[],
  token: string,
): Promise<CommandResult> {
  return new Promise((resolve) => {
    const child = spawn(process.execPath, [PROGRAM, ...commandLine], {
      stdio: ["ignore", "pipe", "inherit"],
      env: {
        ...process.env,
        GUAVARUN_DAEMON: `${address}:${administrationPort}`,
        GUAVARUN_TOKEN: token,
      },
    });
    let output = "";
    child.stdout.on("data", (chunk) => output += chunk);
    child.once("close", (code) => resolve({ code, output }));
  });
}
