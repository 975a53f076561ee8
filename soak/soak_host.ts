/**
 * One host of a soak: a daemon as a process, the instance beside it, and proxies on the daemon's
 * links and on its way to the store.
 *
 * @module
 */

import { type ChildProcess, spawn } from "node:child_process";
import { createWriteStream, readFileSync, writeFileSync } from "node:fs";
import type { IncomingMessage, ServerResponse } from "node:http";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import {
  type InstanceStandIn,
  startInstanceStandIn,
} from "../platform/stand_in/instance_stand_in.ts";
import {
  createSettings,
  startStoreStandIn,
} from "../platform/stand_in/mesh_fixture.ts";
import type { Milliseconds } from "../src/base/common/milliseconds.ts";
import { parseEndpoint } from "../src/base/common/endpoint.ts";
import { type FaultProxy, startFaultProxy } from "./fault_proxy.ts";
import { breakAnswer } from "./broken_answer.ts";
import type { SeenDraining, SeenOwnEnd, SeenRun } from "./observations.ts";
import type { NestedCall } from "./soak_callers.ts";

type StoreStandIn = Awaited<ReturnType<typeof startStoreStandIn>>;

const PROGRAM = fileURLToPath(new URL("../platform/main.js", import.meta.url));
const FAILURE_DOMAINS = 3;
const SLOTS = 24;
/** After its drain is acknowledged an instance serves on for about this long. */
const LEAVE_AFTER_MS: Milliseconds = 2_600;
/** An instance that leaves ends the calls that it works on first; the longest route allows 3 s. */
const LAST_CALLS_MS: Milliseconds = 3_000;
/** Work of calls spreads as much as that of real services: most are short, some are long. */
const SHORT_WORK_MS = { from: 10, to: 160 };
const LONG_WORK_MS = { from: 160, to: 500 };
const LONG_WORK_PART = 0.2;
const SLOW_ROUTE_WORK_MS = { from: 200, to: 2_000 };
/** Part of the lookups that make a call of their own. */
const NESTED_PART = 0.3;

export interface SoakHostOptions {
  readonly index: number;
  readonly folder: string;
  readonly store: StoreStandIn;
  readonly now: () => Milliseconds;
  readonly onRun: (run: SeenRun) => void;
  readonly onDraining: (draining: SeenDraining) => void;
  readonly onOwnEnd: (end: SeenOwnEnd) => void;
  readonly callNested: (host: SoakHost, call: NestedCall) => Promise<number>;
}

export interface SoakHost {
  readonly name: string;
  readonly service: string;
  readonly calls: string;
  readonly readiness: string;
  readonly link: FaultProxy;
  readonly storeLink: FaultProxy;
  /** How often the daemon was started. */
  readonly processNumber: number;
  readonly isRunning: boolean;
  /** For how long the daemon was ready to run and got no processor, since its start. */
  readonly starvedFor: Milliseconds;
  /** What the daemon holds now. */
  readonly memoryMegabytes: number;
  start(): void;
  /** Signals the daemon that runs now. */
  signal(signal: NodeJS.Signals): void;
  /** Resolves when the daemon that runs now has ended. */
  ended(): Promise<void>;
  crashInstance(): Promise<void>;
  startInstance(): Promise<void>;
  /** While set, the instance sends bytes that are no answer. */
  setBrokenAnswers(isBroken: boolean): void;
  /** Replaces the instance after it has drained. */
  drainInstance(): Promise<void>;
  close(): Promise<void>;
}

const ENDING_SIGNALS: readonly NodeJS.Signals[] = ["SIGTERM", "SIGKILL"];

/** Daemons that run; none of them outlives this process. */
const children = new Set<ChildProcess>();
process.on("exit", () => children.forEach((child) => child.kill("SIGKILL")));

export async function createSoakHost(
  options: SoakHostOptions,
): Promise<SoakHost> {
  const { folder, index, store, now } = options;
  const name = `host-${index}`;
  const service = index % 2 === 0 ? "booking" : "dispatch";
  const failureDomain = `domain-${Math.floor(index / 2) % FAILURE_DOMAINS}`;
  const storeLink = await startFaultProxy(parseEndpoint(store.address));
  const settings = await createSettings(
    { address: storeLink.endpoint },
    { host: name, service, failureDomain },
  );
  const link = await startFaultProxy({
    address: settings.address,
    port: settings.internalPorts[0],
  });
  const file = join(folder, `${name}.jsonc`);
  writeFileSync(
    file,
    JSON.stringify({ ...settings, announcedLink: link.endpoint }),
  );
  const log = createWriteStream(join(folder, `${name}.log`));
  let child: ChildProcess | undefined;
  /** Resolves when the daemon has ended and its log is read. */
  let endOfOutput: Promise<unknown> = Promise.resolve();
  let processNumber = 0;
  let instance: InstanceStandIn | undefined;
  let isStartingInstance = false;
  let instanceNumber = 0;
  let breaksAnswers = false;
  /** The instance is gone, and with it the calls that it worked on. */
  const gone = new Set<string>();
  const asked = new Set<ChildProcess>();
  let isClosed = false;

  /** A host has one instance, also when replacements of it overlap. */
  async function startInstance(): Promise<void> {
    if (instance !== undefined || isStartingInstance) {
      return;
    }
    isStartingInstance = true;
    instanceNumber += 1;
    const identity = `${name}-i${instanceNumber}`;
    instance = await startInstanceStandIn({
      identity,
      service,
      failureDomain,
      heartbeats: settings.listen.heartbeats,
      slots: SLOTS,
      answer(incoming, response) {
        void serve(identity, incoming, response);
        return true;
      },
    });
    isStartingInstance = false;
  }

  /** Works on a call, with a nested call for some, until its connection ends. */
  async function serve(
    identity: string,
    incoming: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const requestIdentity = String(incoming.headers["x-attempt-id"]);
    const run: { -readonly [Key in keyof SeenRun]: SeenRun[Key] } = {
      identity: requestIdentity,
      instance: identity,
      at: now(),
      endedAt: Infinity,
      outcome: "running",
      callerService: String(incoming.headers["x-caller-service"]),
    };
    options.onRun(run);
    const finish = (outcome: SeenRun["outcome"]) => {
      if (run.outcome === "running") {
        run.outcome = outcome;
        run.endedAt = now();
      }
    };
    response.once("finish", () => finish("answered"));
    response.once(
      "close",
      () => finish(gone.has(identity) ? "broke-off" : "cut"),
    );
    if (breaksAnswers) {
      finish("broke-off");
      breakAnswer(response);
      return;
    }
    const path = incoming.url ?? "";
    await sleep(drawWork(path));
    if (response.destroyed) {
      return;
    }
    const needsCall = path.startsWith("/lookup/") &&
      Math.random() < NESTED_PART;
    const nestedStatus = needsCall
      ? await options.callNested(host, {
        parent: requestIdentity,
        deadline: Number(incoming.headers["x-deadline-ms"]) -
          (now() - run.at),
      })
      : 200;
    const body = `${requestIdentity} ${path} ${"x".repeat(400)}`;
    response.writeHead(nestedStatus === 200 ? 200 : 500, {
      "x-attempt-id": requestIdentity,
      "x-server-seal": identity,
      "content-length": body.length,
    });
    response.end(body);
  }

  async function stopInstance(): Promise<void> {
    const stopped = instance;
    instance = undefined;
    gone.add(`${name}-i${instanceNumber}`);
    await stopped?.close();
  }

  const host: SoakHost = {
    name,
    service,
    calls: settings.listen.calls,
    readiness: settings.listen.readiness,
    link,
    storeLink,
    get processNumber() {
      return processNumber;
    },
    get isRunning() {
      return child?.exitCode === null && child.signalCode === null;
    },
    get starvedFor() {
      return child?.pid === undefined ? 0 : readStarvedTime(child.pid);
    },
    get memoryMegabytes() {
      return child?.pid === undefined ? 0 : readMemory(child.pid);
    },
    start() {
      if (isClosed) {
        return;
      }
      processNumber += 1;
      child = spawn(process.execPath, [PROGRAM, file], {
        stdio: ["ignore", "pipe", "inherit"],
      });
      const started = child;
      const output = started.stdout!;
      output.pipe(log, { end: false });
      endOfOutput = new Promise((resolve) => output.once("close", resolve));
      children.add(started);
      started.once("exit", (code, signal) => {
        children.delete(started);
        if (!asked.has(started)) {
          const cause = `code ${code}, signal ${signal}`;
          options.onOwnEnd({ host: name, at: now(), cause });
          host.start();
        }
      });
    },
    signal(signal) {
      if (child !== undefined && ENDING_SIGNALS.includes(signal)) {
        asked.add(child);
      }
      child?.kill(signal);
    },
    async ended() {
      const awaited = child;
      while (awaited?.exitCode === null && awaited.signalCode === null) {
        await sleep(10);
      }
    },
    crashInstance: stopInstance,
    startInstance,
    setBrokenAnswers: (isBroken) => void (breaksAnswers = isBroken),
    async drainInstance() {
      const leaving = instance;
      if (leaving === undefined) {
        return;
      }
      const identity = `${name}-i${instanceNumber}`;
      if (await leaving.tell("draining") === 200) {
        options.onDraining({ instance: identity, acknowledgedAt: now() });
      }
      await sleep(LEAVE_AFTER_MS);
      await leaving.leave();
      const until = now() + LAST_CALLS_MS;
      while (leaving.running > 0 && now() < until) {
        await sleep(20);
      }
      if (instance === leaving) {
        await stopInstance();
      }
    },
    async close() {
      isClosed = true;
      host.signal("SIGKILL");
      await endOfOutput;
      link.close();
      storeLink.close();
      await stopInstance();
      log.end();
    },
  };
  return host;
}

function drawWork(path: string): Milliseconds {
  const { from, to } = path.startsWith("/slow/")
    ? SLOW_ROUTE_WORK_MS
    : Math.random() < LONG_WORK_PART
    ? LONG_WORK_MS
    : SHORT_WORK_MS;
  return from + Math.random() * (to - from);
}

const NANOSECONDS_PER_MS = 1_000_000;

/** 0 where the kernel does not tell, or the process has ended. */
function readStarvedTime(processId: number): Milliseconds {
  try {
    const [, waited] = readFileSync(`/proc/${processId}/schedstat`, "utf8")
      .split(" ");
    return Number(waited) / NANOSECONDS_PER_MS;
  } catch {
    return 0;
  }
}

/** 0 where the kernel does not tell, or the process has ended. */
function readMemory(processId: number): number {
  try {
    const status = readFileSync(`/proc/${processId}/status`, "utf8");
    const kilobytes = /^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1] ?? 0;
    return Math.round(Number(kilobytes) / 1_024);
  } catch {
    return 0;
  }
}
