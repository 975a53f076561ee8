/**
 * A small mesh on loopback for the scripts of the review: a store, daemons as separate processes with
 * the command of the deploy file, and helpers of the stand-ins.
 */

import { spawn } from "node:child_process";
import {
  closeSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { Agent, request } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

export const ROOT = join(dirname(fileURLToPath(import.meta.url)), "..", "..");
export const ADDRESS = "127.0.0.1";
export const VIRTUAL_HOST = "review.example";
/** Bounds and settings of the site file `mtopamoja`. */
export const BEAT_S = 0.87;
export const GRACE_S = 6;
/** `max_body_bytes` in the configuration of the pages. */
export const MAXIMUM_BODY_BYTES = 67_108_864;
export const STABLE_MS = 3_000;

export const EXIT_HELD = 0;
export const EXIT_BROKEN = 1;
export const EXIT_COULD_NOT_RUN = 2;

export const isTroubled = process.env.TROUBLE !== "0";

export const sleep = (milliseconds) =>
  new Promise((resolve) => setTimeout(resolve, milliseconds));

export async function waitFor(condition, { within = 15_000, what }) {
  const end = Date.now() + within;
  while (!await condition()) {
    if (Date.now() > end) {
      throw new Error(`not reached in time: ${what}`);
    }
    await sleep(20);
  }
}

/** Below the ports that the system gives to outgoing connections. */
const FIRST_PORT = 12_000;
/** Each process begins in a block of its own, so that scripts can run side by side. */
const PORTS_PER_BLOCK = 100;
const BLOCKS = 200;
let nextPort = FIRST_PORT + (process.pid % BLOCKS) * PORTS_PER_BLOCK;

function isFree(port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, ADDRESS, () => server.close(() => resolve(true)));
  });
}

export async function findFreePorts(count) {
  const ports = [];
  while (ports.length < count) {
    if (await isFree(nextPort)) {
      ports.push(nextPort);
    }
    nextPort += 1;
  }
  return ports;
}

/** Writes what was sent, answered and run to `record.txt` in the folder of the case. */
export function createRecord(caseFolder) {
  const startedAt = Date.now();
  const lines = [];
  return {
    write(line) {
      lines.push(`${((Date.now() - startedAt) / 1_000).toFixed(3)} ${line}`);
    },
    save() {
      writeFileSync(join(caseFolder, "record.txt"), lines.join("\n") + "\n");
    },
  };
}

/** Reads the command of the role from the deploy file. */
function readRunCommand() {
  const text = readFileSync(join(ROOT, "deploy", "system.toml"), "utf8");
  return /^run = "(.*)"$/m.exec(text)[1].split(" ");
}

/** Fills in the settings template of the deploy file. */
function renderSettings(values) {
  const template = readFileSync(
    join(ROOT, "deploy", "settings.jsonc"),
    "utf8",
  );
  return template.replaceAll(/\{\{([\w.]+)(\|json)?\}\}/g, (_, name, json) => {
    const value = name.split(".").reduce((part, key) => part[key], values);
    return json === undefined ? String(value) : JSON.stringify(value);
  });
}

/** Starts the mesh; `run` gets it, and all that it started has ended when this resolves. */
export async function withMesh(run) {
  const folder = mkdtempSync(join(tmpdir(), "review-"));
  const closers = [];
  const daemons = [];
  try {
    const { startStoreStandIn } = await import(
      join(ROOT, "target", "review", "store_stand_in.mjs")
    );
    const store = await startStoreStandIn();
    closers.push(() => store.close());
    return await run({
      store,
      folder,
      onEnd: (closer) => closers.push(closer),
      startDaemon: (options) =>
        startDaemon({ ...options, folder, store, daemons }),
    });
  } finally {
    for (const daemon of daemons) {
      daemon.isOver = true;
      daemon.kill("SIGKILL");
    }
    await Promise.all(daemons.map((daemon) => daemon.ended));
    for (const close of closers.reverse()) {
      await close();
    }
    rmSync(folder, { recursive: true, force: true });
  }
}

async function startDaemon({ host, zone, service, folder, store, daemons }) {
  const [outbound, control, ready, metrics, internal] = await findFreePorts(5);
  const file = join(folder, `${host}.jsonc`);
  const values = {
    node: host,
    zone,
    ip: ADDRESS,
    service,
    app: "",
    listen: {
      outbound: `${ADDRESS}:${outbound}`,
      control: `${ADDRESS}:${control}`,
      ready: `${ADDRESS}:${ready}`,
    },
    internal_ports: [internal, internal],
    platform: { addr: store.address },
    beat_s: BEAT_S,
    bounds: { grace_s: GRACE_S },
  };
  // The daemons share one address here, so each needs a port of its own for its metrics.
  const text = renderSettings(values).replace(":9464", `:${metrics}`);
  const writeSettings = (changes = {}) => {
    let next = text;
    for (const [from, to] of Object.entries(changes)) {
      next = next.replaceAll(from, to);
    }
    writeFileSync(file, next);
  };
  writeSettings();
  const daemon = {
    host,
    outbound: `${ADDRESS}:${outbound}`,
    control: `${ADDRESS}:${control}`,
    ready: `${ADDRESS}:${ready}`,
    logFile: join(folder, `${host}.log`),
    exits: [],
    /** Set at the end of the case; nothing is started after that. */
    isOver: false,
    writeSettings,
    start() {
      if (daemon.isOver) {
        return;
      }
      const [program, ...words] = readRunCommand();
      const log = openSync(daemon.logFile, "a");
      const child = spawn(program, words, {
        cwd: ROOT,
        stdio: ["ignore", log, log],
        env: {
          PATH: process.env.PATH,
          HOME: process.env.HOME,
          LANG: process.env.LANG,
          GUAVARUN_NODE_FILE: file,
        },
      });
      closeSync(log);
      daemon.process = child;
      daemon.ended = new Promise((resolve) =>
        child.once("exit", (code, signal) => {
          daemon.exits.push({ at: Date.now(), code, signal });
          resolve();
        })
      );
    },
    kill(signal) {
      if (
        daemon.process.exitCode === null && daemon.process.signalCode === null
      ) {
        daemon.process.kill(signal);
      }
    },
    async waitUntilReady() {
      await waitFor(
        async () =>
          (await send(daemon.ready, { path: "/readyz" })).status === 200,
        { what: `${host} is ready` },
      );
    },
  };
  daemon.start();
  daemons.push(daemon);
  return daemon;
}

/** Sends one request; `status` is 0 if the connection ended or the time ran out without an answer. */
export function send(
  endpoint,
  { method = "GET", path, headers = {}, body, agent, timeout = 10_000 },
) {
  return new Promise((resolve) => {
    const end = (result) => {
      clearTimeout(timer);
      resolve(result);
    };
    const outgoing = request(`http://${endpoint}${path}`, {
      method,
      agent: agent ?? false,
      headers: {
        ...headers,
        ...(body === undefined ? {} : { "content-length": body.length }),
      },
    }, (response) => {
      const parts = [];
      response.on("data", (part) => parts.push(part));
      response.on("error", () => end({ status: 0, why: "cut" }));
      response.on("end", () =>
        end({
          status: response.statusCode,
          headers: response.headers,
          body: Buffer.concat(parts),
        }));
    });
    const timer = setTimeout(() => {
      end({ status: 0, why: "unanswered" });
      outgoing.destroy();
    }, timeout);
    outgoing.on(
      "error",
      (error) => end({ status: 0, why: error.code ?? error.message }),
    );
    outgoing.end(body);
  });
}

export const createAgent = () => new Agent({ keepAlive: true, maxSockets: 1 });

/** Builds a configuration document as the operator writes it. */
export function createConfiguration(version, routes) {
  return {
    version: `r${version}`,
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: MAXIMUM_BODY_BYTES,
      header_timeout_s: 3,
      idle_timeout_s: 15,
    },
    listeners: [{
      host: VIRTUAL_HOST,
      rules: routes.map((route) => ({
        name: route.name,
        kind: route.kind,
        goal_s: route.goal_s,
        prio: route.prio ?? 1,
        match: { prefix: route.prefix },
        action: {
          service: route.service,
          timeout_s: route.timeout_s,
          attempts: 2,
        },
      })),
    }],
    clusters: [...new Set(routes.map(({ service }) => service))].map((
      name,
    ) => ({
      name,
      health_path: "/healthz",
      max_conns: 110,
      proto: "h1",
      tls: false,
    })),
  };
}

/** Sends heartbeats of an instance to the daemon on its machine. */
export function createHeartbeats(
  { control, identity, describe, born = Date.now() },
) {
  let sequence = 0;
  /** Writes a heartbeat and returns the function that delivers it. */
  const prepare = (state) => {
    sequence += 1;
    const body = Buffer.from(
      JSON.stringify({
        ...describe(),
        state,
        cold_left_s: 0,
        seq: sequence,
        born,
      }),
    );
    return () =>
      send(control, {
        method: "PUT",
        path: `/instances/${identity}`,
        headers: { "content-type": "application/json" },
        body,
        timeout: 1_000,
      });
  };
  const beat = (state) => prepare(state)();
  const timer = setInterval(() => void beat("ready"), BEAT_S * 1_000);
  return {
    beat,
    prepare,
    stop: () => clearInterval(timer),
    born,
  };
}

/** Runs a case and ends the process with the exit code that the issue asks for. */
export async function main(caseFolder, run) {
  const record = createRecord(caseFolder);
  let code = EXIT_COULD_NOT_RUN;
  try {
    code = await run(record) ? EXIT_BROKEN : EXIT_HELD;
  } catch (error) {
    record.write(`the case could not run: ${error.stack}`);
    console.error(error);
  }
  record.write(`exit code ${code}`);
  record.save();
  process.exit(code);
}
