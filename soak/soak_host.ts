/**
 * One host of a soak: a daemon process, its local instance, and fault proxies for the daemon's
 * links and for its connections to the store.
 *
 * @module
 */

import { type ChildProcess, spawn } from "node:child_process";
import { createWriteStream, writeFileSync } from "node:fs";
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
  sendRequest,
  startStoreStandIn,
} from "../platform/stand_in/mesh_fixture.ts";
import type { Milliseconds } from "../src/base/common/milliseconds.ts";
import { parseEndpoint } from "../src/base/common/endpoint.ts";
import { type FaultProxy, startFaultProxy } from "./fault_proxy.ts";
import { sendBrokenResponse } from "./broken_response.ts";
import { type HostSpeed, USUAL_SPEED } from "./host_speed.ts";
import { startOddHeartbeats } from "./odd_heartbeat.ts";
import type {
  DrainAcknowledgement,
  ObservedRun,
  UnexpectedExit,
} from "./observations.ts";
import { readPeakMemory, readProcessorWaitTime } from "./process_usage.ts";
import type { NestedCall } from "./soak_callers.ts";
import { COLD_START } from "./soak_configuration.ts";

type StoreStandIn = Awaited<ReturnType<typeof startStoreStandIn>>;

const PROGRAM = fileURLToPath(new URL("../platform/main.js", import.meta.url));
const FAILURE_DOMAINS = 3;
const SLOTS = 24;
const READY_TIMEOUT_MS: Milliseconds = 20_000;
/** Approximate time that an instance continues to serve after its drain is acknowledged. */
const DRAIN_DURATION_MS: Milliseconds = 2_600;
/** An instance that leaves first completes its running calls; the longest route timeout is 3 s. */
const CALL_COMPLETION_TIMEOUT_MS: Milliseconds = 3_000;
/** Service times vary as much as those of real services: most are short, some are long. */
const SHORT_WORK_MS = { from: 10, to: 160 };
const LONG_WORK_MS = { from: 160, to: 500 };
const LONG_WORK_SHARE = 0.2;
const SLOW_ROUTE_WORK_MS = { from: 200, to: 2_000 };
/** Work takes this much longer at a cold instance. */
const COLD_FACTOR = 2;
/** Share of the lookups that make a nested call. */
const NESTED_CALL_SHARE = 0.3;

export interface SoakHostOptions {
  readonly index: number;
  readonly folder: string;
  readonly store: StoreStandIn;
  readonly now: () => Milliseconds;
  /** The speed of the host, which its instance then states; the usual one when absent. */
  readonly speed?: HostSpeed | undefined;
  /** Whether instances are cold after a start, apart from the first one. */
  readonly startsCold: boolean;
  readonly observerDelay: () => Milliseconds;
  /** Called when the instance has started cold. */
  readonly onCold: (host: SoakHost, duration: Milliseconds) => void;
  readonly onRun: (run: ObservedRun) => void;
  readonly onDrainAcknowledged: (acknowledgement: DrainAcknowledgement) => void;
  readonly onUnexpectedExit: (exit: UnexpectedExit) => void;
  readonly callNested: (host: SoakHost, call: NestedCall) => Promise<number>;
}

export interface SoakHost {
  readonly name: string;
  readonly service: string;
  readonly failureDomain: string;
  /** The calls that the instance takes at a time. */
  readonly slots: number;
  readonly calls: string;
  readonly readiness: string;
  readonly link: FaultProxy;
  readonly storeLink: FaultProxy;
  /** How many times the daemon was started. */
  readonly processNumber: number;
  readonly isRunning: boolean;
  /** How long the daemon was runnable without getting a processor, since its start. */
  readonly starvedTime: Milliseconds;
  /** Peak resident memory of the daemon since its start. */
  readonly peakMemoryMegabytes: number;
  start(): void;
  /** Signals the current daemon process. */
  signal(signal: NodeJS.Signals): void;
  /** Resolves when the current daemon process has exited. */
  waitForExit(): Promise<void>;
  crashInstance(): Promise<void>;
  startInstance(): Promise<void>;
  /** While set, the instance sends bytes that are no HTTP response. */
  setBrokenResponses(isBroken: boolean): void;
  /** Requests per second that the instance names in its responses; undefined for no limit. */
  setRateLimit(perSecond: number | undefined): void;
  /** The instance is cold for a time; returns false if there is none. */
  becomeCold(duration: Milliseconds): Promise<boolean>;
  /** The identity of the current instance. */
  readonly instanceName: string;
  /** Stops the instance after it has drained. */
  drainInstance(): Promise<void>;
  close(): Promise<void>;
}

const TERMINATION_SIGNALS: readonly NodeJS.Signals[] = ["SIGTERM", "SIGKILL"];

/** Running daemons, which are killed when this process exits. */
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
  /** Resolves when the daemon's output has been read to its end. */
  let outputClosed: Promise<unknown> = Promise.resolve();
  let processNumber = 0;
  let instance: InstanceStandIn | undefined;
  let isStartingInstance = false;
  let instanceNumber = 0;
  let sendsBrokenResponses = false;
  let rateLimit: number | undefined;
  let coldUntil: Milliseconds = 0;
  const speed = options.speed ?? USUAL_SPEED;
  /** Identities of instances that have announced that they leave. */
  const leavingInstances = new Set<string>();
  /** Identities of stopped instances; a stop breaks off the calls that the instance was running. */
  const stoppedInstances = new Set<string>();
  const expectedExits = new Set<ChildProcess>();
  let isClosed = false;
  const oddHeartbeats = startOddHeartbeats(
    settings.listen.heartbeats,
    () => `${name}-i${instanceNumber}`,
  );

  /** Does nothing when an instance runs or is starting: replacements may overlap. */
  async function startInstance(): Promise<void> {
    if (instance !== undefined || isStartingInstance) {
      return;
    }
    isStartingInstance = true;
    instanceNumber += 1;
    const identity = `${name}-i${instanceNumber}`;
    const coldMilliseconds = options.startsCold && instanceNumber > 1
      ? COLD_START.cold_s * 1_000
      : 0;
    coldUntil = now() + coldMilliseconds;
    if (coldMilliseconds > 0) {
      options.onCold(host, coldMilliseconds);
    }
    instance = await startInstanceStandIn({
      identity,
      service,
      failureDomain,
      heartbeats: settings.listen.heartbeats,
      slots: SLOTS,
      coldMilliseconds,
      answer(incoming, response) {
        void serve(identity, incoming, response);
        return true;
      },
    });
    isStartingInstance = false;
  }

  /** Runs a call, with a nested call for some, unless its connection ends before. */
  async function serve(
    identity: string,
    incoming: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const requestIdentity = String(incoming.headers["x-attempt-id"]);
    const run: { -readonly [Key in keyof ObservedRun]: ObservedRun[Key] } = {
      identity: requestIdentity,
      instance: identity,
      at: now(),
      endedAt: Infinity,
      outcome: "running",
      callerService: String(incoming.headers["x-caller-service"]),
      account: incoming.headers["x-tenant"]?.toString(),
      hasKey: incoming.headers["api-key"] !== undefined,
      observerDelay: options.observerDelay(),
    };
    options.onRun(run);
    const finish = (outcome: ObservedRun["outcome"]) => {
      if (run.outcome === "running") {
        run.outcome = outcome;
        run.endedAt = now();
      }
    };
    response.once("finish", () => finish("answered"));
    response.once(
      "close",
      () => finish(stoppedInstances.has(identity) ? "broke-off" : "cut"),
    );
    if (sendsBrokenResponses) {
      finish("broke-off");
      sendBrokenResponse(response);
      return;
    }
    const path = incoming.url ?? "";
    const coldFactor = now() < coldUntil ? COLD_FACTOR : 1;
    await speed.work(coldFactor * drawServiceTime(path));
    if (response.destroyed) {
      return;
    }
    const needsCall = path.startsWith("/lookup/") &&
      Math.random() < NESTED_CALL_SHARE;
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
      ...(rateLimit === undefined ? {} : { "server-limit": String(rateLimit) }),
      ...(leavingInstances.has(identity) ? { "server-leaving": "1" } : {}),
      ...(options.speed === undefined
        ? {}
        : { "x-instance-load": formatLoad(instance?.running ?? 0, speed) }),
    });
    response.end(body);
  }

  async function stopInstance(): Promise<void> {
    const stopped = instance;
    instance = undefined;
    stoppedInstances.add(`${name}-i${instanceNumber}`);
    await stopped?.close();
  }

  const host: SoakHost = {
    name,
    service,
    failureDomain,
    slots: SLOTS,
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
    get starvedTime() {
      return child?.pid === undefined ? 0 : readProcessorWaitTime(child.pid);
    },
    get peakMemoryMegabytes() {
      return child?.pid === undefined ? 0 : readPeakMemory(child.pid);
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
      outputClosed = new Promise((resolve) => output.once("close", resolve));
      children.add(started);
      started.once("exit", (code, signal) => {
        children.delete(started);
        if (!expectedExits.has(started)) {
          const cause = `code ${code}, signal ${signal}`;
          options.onUnexpectedExit({ host: name, at: now(), cause });
          host.start();
        }
      });
    },
    signal(signal) {
      if (child !== undefined && TERMINATION_SIGNALS.includes(signal)) {
        expectedExits.add(child);
      }
      child?.kill(signal);
    },
    async waitForExit() {
      const awaited = child;
      while (awaited?.exitCode === null && awaited.signalCode === null) {
        await sleep(10);
      }
    },
    crashInstance: stopInstance,
    startInstance,
    setRateLimit: (perSecond) => void (rateLimit = perSecond),
    async becomeCold(duration) {
      if (instance === undefined) {
        return false;
      }
      coldUntil = Math.max(coldUntil, now() + duration);
      await instance.becomeCold(duration);
      return true;
    },
    get instanceName() {
      return `${name}-i${instanceNumber}`;
    },
    setBrokenResponses: (isBroken) => void (sendsBrokenResponses = isBroken),
    async drainInstance() {
      const leaving = instance;
      if (leaving === undefined) {
        return;
      }
      const identity = host.instanceName;
      leavingInstances.add(identity);
      if (await leaving.sendHeartbeat("draining") === 200) {
        options.onDrainAcknowledged({
          instance: identity,
          acknowledgedAt: now(),
        });
      }
      await sleep(DRAIN_DURATION_MS);
      await leaving.deregister();
      const until = now() + CALL_COMPLETION_TIMEOUT_MS;
      while (leaving.running > 0 && now() < until) {
        await sleep(20);
      }
      if (instance === leaving) {
        await stopInstance();
      }
    },
    async close() {
      isClosed = true;
      oddHeartbeats.dispose();
      host.signal("SIGKILL");
      await outputClosed;
      link.close();
      storeLink.close();
      await stopInstance();
      log.end();
    },
  };
  return host;
}

export async function waitUntilReady(host: SoakHost): Promise<void> {
  const until = performance.now() + READY_TIMEOUT_MS;
  while (performance.now() < until) {
    const { status } = await sendRequest(host.readiness, {
      path: "/readyz",
      identity: "readiness",
    });
    if (status === 200) {
      return;
    }
    await sleep(50);
  }
  throw new Error(`${host.name} is not ready within ${READY_TIMEOUT_MS} ms`);
}

function drawServiceTime(path: string): Milliseconds {
  const { from, to } = path.startsWith("/slow/")
    ? SLOW_ROUTE_WORK_MS
    : Math.random() < LONG_WORK_SHARE
    ? LONG_WORK_MS
    : SHORT_WORK_MS;
  return from + Math.random() * (to - from);
}

/** Running and waiting calls, slots, and how long work takes at this moment in hundredths of usual. */
function formatLoad(running: number, { ratio }: HostSpeed): string {
  return [running, 0, SLOTS, Math.round(100 * ratio)].join(",");
}
