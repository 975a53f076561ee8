// Stand-ins and helpers for the cases of the second review: a store, instances, daemons as processes, and clients.
// Written from the users' pages. Everything listens on 127.0.0.1.

import { spawn } from "node:child_process";
import {
  appendFileSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { createServer, request as httpRequest } from "node:http";
import { createServer as createTcpServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

const ROOT = fileURLToPath(new URL("../..", import.meta.url));
const ADDRESS = "127.0.0.1";
export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
export const VIRTUAL_HOST = "ficu95.example";

/** The record of a case: what was sent, answered and run, with the time since its start. */
export function createRecord(file) {
  const startedAt = performance.now();
  writeFileSync(file, "");
  return (event, fields = {}) => {
    const text = Object.entries(fields).map(([name, value]) =>
      `${name}=${value}`
    )
      .join(" ");
    appendFileSync(
      file,
      `${
        (performance.now() - startedAt).toFixed(0).padStart(7)
      } ms ${event} ${text}\n`,
    );
  };
}

/** Below the ports of outgoing connections, which could take a port while its daemon is down. */
const LOWEST_PORT = 20_000;
const HIGHEST_PORT = 32_000;
let nextPort = LOWEST_PORT +
  Math.floor(Math.random() * (HIGHEST_PORT - LOWEST_PORT));

async function isFree(port) {
  const server = createTcpServer();
  const isBound = await new Promise((resolve) => {
    server.once("error", () => resolve(false));
    server.listen(port, ADDRESS, () => resolve(true));
  });
  if (isBound) {
    await new Promise((resolve) => server.close(resolve));
  }
  return isBound;
}

async function findFreePorts(count) {
  const ports = [];
  while (ports.length < count) {
    nextPort = nextPort < HIGHEST_PORT ? nextPort + 1 : LOWEST_PORT;
    if (await isFree(nextPort)) {
      ports.push(nextPort);
    }
  }
  return ports;
}

function listen(server, port = 0) {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, ADDRESS, () => resolve(server.address().port));
  });
}

function readAll(stream) {
  return new Promise((resolve, reject) => {
    const parts = [];
    stream.on("data", (part) => parts.push(part));
    stream.on("end", () => resolve(Buffer.concat(parts)));
    stream.on("error", reject);
  });
}

/** The platform's store: an append-only log with keyed topics (PROTOCOL.md). */
export async function startStore() {
  const topics = new Map();
  const topicOf = (name) => {
    if (!topics.has(name)) {
      topics.set(name, { records: [], waiting: new Set() });
    }
    return topics.get(name);
  };
  const add = (name, record) => {
    const topic = topicOf(name);
    topic.records.push(record);
    for (const wake of [...topic.waiting]) {
      wake();
    }
    return topic.records.length - 1;
  };
  const newest = (name) => {
    const byKey = new Map();
    topicOf(name).records.forEach((record, offset) => {
      const end = 1 + record[0];
      const key = record.toString("utf8", 1, end);
      const value = record.subarray(end);
      byKey.delete(key);
      if (value.length > 0) {
        byKey.set(key, { key, value: value.toString("base64"), offset });
      }
    });
    return byKey;
  };
  const json = (response, status, document) => {
    const body = JSON.stringify(document);
    response.writeHead(status, {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(body),
    });
    response.end(body);
  };
  const server = createServer(async (request, response) => {
    const url = new URL(request.url, "http://store");
    const query = url.searchParams;
    const name = query.get("topic") ?? "";
    const body = await readAll(request);
    const topic = topicOf(name);
    if (url.pathname === "/log-append") {
      if (name === "keyed.op" || name === "keyed.servers") {
        json(response, 403, {});
        return;
      }
      const at = query.get("at");
      if (at !== null && Number(at) !== topic.records.length) {
        json(response, 412, { end_offset: topic.records.length });
        return;
      }
      const offset = topic.records.length;
      for (let position = 0; position < body.length;) {
        const end = position + 4 + body.readUInt32BE(position);
        add(name, body.subarray(position + 4, end));
        position = end;
      }
      json(response, 200, { offset, end_offset: topic.records.length });
    } else if (url.pathname === "/log-newest") {
      const after = query.get("after");
      const items = [...newest(name).values()]
        .sort((left, right) => left.key < right.key ? -1 : 1)
        .filter(({ key }) => after === null || key > after);
      json(response, 200, {
        items: items.slice(0, 500),
        has_more: items.length > 500,
        end_offset: topic.records.length,
      });
    } else if (url.pathname === "/log-read") {
      const from = Number(query.get("from"));
      const wait = Number(query.get("wait_ms") ?? 0);
      if (from >= topic.records.length && wait > 0) {
        await new Promise((resolve) => {
          const wake = () => {
            clearTimeout(timer);
            topic.waiting.delete(wake);
            resolve();
          };
          const timer = setTimeout(wake, wait);
          topic.waiting.add(wake);
        });
      }
      if (from > topic.records.length) {
        json(response, 410, { first_offset: 0 });
        return;
      }
      const head = Buffer.alloc(16);
      head.writeBigUInt64BE(BigInt(topic.records.length), 0);
      const frames = topic.records.slice(from).flatMap((record) => {
        const length = Buffer.alloc(4);
        length.writeUInt32BE(record.length);
        return [length, record];
      });
      const bytes = Buffer.concat([head, ...frames]);
      response.writeHead(200, { "content-length": bytes.length });
      response.end(bytes);
    } else {
      json(response, 404, {});
    }
  });
  server.keepAliveTimeout = 60_000;
  const port = await listen(server);
  return {
    address: `${ADDRESS}:${port}`,
    /** Writes a record as the operator does. */
    write(topic, key, document) {
      const keyBytes = Buffer.from(key);
      add(
        topic,
        Buffer.concat([
          Buffer.from([keyBytes.length]),
          keyBytes,
          Buffer.from(JSON.stringify(document)),
        ]),
      );
    },
    close() {
      server.closeAllConnections();
      server.close();
    },
  };
}

/** A configuration as the operator writes it. `routes`: name, kind, service, goal, timeout, attempts. */
export function configuration(version, routes, { tenants, limits = {} } = {}) {
  const services = [...new Set(routes.map(({ service }) => service))];
  return {
    version: `r${version}`,
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 67_108_864,
      header_timeout_s: 3,
      idle_timeout_s: 15,
      ...limits,
    },
    listeners: [{
      host: VIRTUAL_HOST,
      rules: routes.map((route) => ({
        name: route.name,
        kind: route.kind,
        goal_s: route.goal,
        prio: route.prio ?? 1,
        match: { prefix: `/${route.name}/` },
        action: {
          service: route.service,
          timeout_s: route.timeout,
          attempts: route.attempts ?? 2,
        },
      })),
    }],
    clusters: services.map((name) => ({
      name,
      health_path: "/healthz",
      max_conns: 110,
    })),
    ...(tenants === undefined ? {} : { tenants }),
  };
}

/**
 * An application instance. `serve(run)` returns { status, headers, body, work } or undefined; `work` is how long it takes in
 * ms. At most `slots` requests run at a time; the others wait.
 */
export async function startInstance(
  {
    id,
    service,
    zone,
    heartbeats,
    serve,
    slots = 12,
    version = "v1",
    beat = 870,
    onRun = () => {},
  },
) {
  const born = Date.now();
  const queue = [];
  const runs = [];
  let running = 0;
  let sequence = 0;
  let state = "ready";
  const next = () => {
    while (running < slots && queue.length > 0) {
      queue.shift()();
    }
  };
  const server = createServer(async (request, response) => {
    const attempt = request.headers["x-attempt-id"];
    const reply = (status, headers, body = Buffer.alloc(0)) => {
      response.writeHead(status, {
        "x-attempt-id": attempt ?? "",
        "content-length": body.length,
        ...headers,
      });
      response.end(body);
    };
    if (request.url === "/healthz") {
      reply(200, { "x-instance-id": id });
      return;
    }
    if (request.headers["x-expect-instance"] !== id) {
      request.resume();
      reply(421, { "x-instance-id": id });
      return;
    }
    if (attempt === undefined) {
      request.resume();
      reply(400, { "x-not-run": "1" });
      return;
    }
    let isGone = false;
    // Most instances drop a request when its connection closes.
    const gone = new Promise((resolve) =>
      response.once("close", () => {
        isGone = !response.writableFinished;
        resolve();
      })
    );
    let body;
    try {
      body = await readAll(request);
    } catch {
      return;
    }
    if (running >= slots) {
      await new Promise((resolve) => queue.push(resolve));
      if (isGone) {
        next();
        return;
      }
    }
    running += 1;
    const run = {
      attempt,
      instance: id,
      at: performance.now(),
      headers: request.headers,
      method: request.method,
      url: request.url,
      body,
      get isGone() {
        return isGone;
      },
    };
    runs.push(run);
    onRun(run);
    try {
      const answer = await serve(run) ?? {};
      if (answer.work > 0) {
        await Promise.race([sleep(answer.work), gone]);
      }
      if (!isGone) {
        run.answeredAt = performance.now();
        reply(answer.status ?? 200, {
          "x-server-seal": `${id}.${attempt}`,
          ...answer.headers,
        }, answer.body ?? Buffer.from(`${id} ${attempt}`));
      }
    } finally {
      running -= 1;
      next();
    }
  });
  server.keepAliveTimeout = 10_000;
  const port = await listen(server);
  const send = (method, document) =>
    new Promise((resolve) => {
      const body = JSON.stringify(document);
      const outgoing = httpRequest(`http://${heartbeats}/instances/${id}`, {
        method,
        headers: {
          "content-type": "application/json",
          "content-length": Buffer.byteLength(body),
        },
      }, (response) => {
        response.resume();
        resolve(response.statusCode);
      });
      outgoing.on("error", () => resolve(0));
      outgoing.setTimeout(1_000, () => outgoing.destroy());
      outgoing.end(body);
    });
  const ping = () => {
    sequence += 1;
    return send("PUT", {
      service,
      addr: `${ADDRESS}:${port}`,
      zone,
      version,
      slots,
      state,
      cold_left_s: 0,
      seq: sequence,
      born,
    });
  };
  const timer = setInterval(ping, beat);
  await ping();
  return {
    id,
    runs,
    address: `${ADDRESS}:${port}`,
    get running() {
      return running;
    },
    ping,
    close() {
      clearInterval(timer);
      server.closeAllConnections();
      server.close();
    },
  };
}

/** The command of the deploy file. */
const COMMAND = /^run = "(.*)"$/m.exec(
  readFileSync(join(ROOT, "deploy", "system.toml"), "utf8"),
)[1].split(" ");

/** A machine: a daemon as a process, with the settings that the platform renders. */
export async function createMachine(
  { node, zone, service, store, folder, grace = 6, beat = 0.87 },
) {
  const [calls, heartbeats, readiness, metrics, link, lastLink] =
    await findFreePorts(6);
  const file = join(folder, `${node}.jsonc`);
  writeFileSync(
    file,
    JSON.stringify({
      host: node,
      failureDomain: zone,
      address: ADDRESS,
      service,
      listen: {
        calls: `${ADDRESS}:${calls}`,
        heartbeats: `${ADDRESS}:${heartbeats}`,
        readiness: `${ADDRESS}:${readiness}`,
      },
      internalPorts: [link, lastLink],
      metrics: `${ADDRESS}:${metrics}`,
      store: store.address,
      heartbeatSeconds: beat,
      stopSeconds: grace,
    }),
  );
  let child;
  const exits = [];
  const log = openSync(join(folder, `${node}.log`), "a");
  const machine = {
    node,
    zone,
    service,
    calls: `${ADDRESS}:${calls}`,
    heartbeats: `${ADDRESS}:${heartbeats}`,
    readiness: `${ADDRESS}:${readiness}`,
    exits,
    logFile: join(folder, `${node}.log`),
    start() {
      child = spawn(
        COMMAND[0] === "node" ? process.execPath : COMMAND[0],
        COMMAND.slice(1),
        {
          cwd: ROOT,
          stdio: ["ignore", log, log],
          env: { PATH: process.env.PATH, GUAVARUN_NODE_FILE: file },
        },
      );
      const started = child;
      started.once(
        "exit",
        (code, signal) =>
          exits.push({ pid: started.pid, code, signal, at: performance.now() }),
      );
    },
    get pid() {
      return child?.pid;
    },
    get isRunning() {
      return child !== undefined && child.exitCode === null &&
        child.signalCode === null;
    },
    signal(name) {
      if (machine.isRunning) {
        child.kill(name);
      }
    },
    async waitForExit(within) {
      const until = performance.now() + within;
      while (machine.isRunning && performance.now() < until) {
        await sleep(10);
      }
      return !machine.isRunning;
    },
    async isReady() {
      return (await call(machine.readiness, { path: "/readyz" })).status ===
        200;
    },
    async waitUntilReady(within = 15_000) {
      const until = performance.now() + within;
      while (!await machine.isReady()) {
        if (performance.now() > until) {
          throw new Error(`${node} is not ready`);
        }
        await sleep(50);
      }
    },
    /** Megabytes: the resident set now and at its peak. */
    memory() {
      const status = readFileSync(`/proc/${child.pid}/status`, "utf8");
      const read = (name) =>
        Number(new RegExp(`${name}:\\s+(\\d+)`).exec(status)?.[1] ?? 0) / 1024;
      return { now: read("VmRSS"), peak: read("VmHWM") };
    },
  };
  return machine;
}

/** One request of a client on a connection of its own, or on that of `agent`. Status 0: the connection ended without an answer. */
export function call(
  endpoint,
  { path, method = "GET", attempt, deadline, body, headers = {}, agent, abort },
) {
  return new Promise((resolve) => {
    const sentAt = performance.now();
    const end = (answer) =>
      resolve({ sentAt, endedAt: performance.now(), ...answer });
    const outgoing = httpRequest(`http://${endpoint}${path}`, {
      method,
      agent,
      headers: {
        host: VIRTUAL_HOST,
        ...(attempt === undefined ? {} : { "x-attempt-id": attempt }),
        ...(deadline === undefined
          ? {}
          : { "x-deadline-ms": String(deadline) }),
        ...(body === undefined ? {} : { "content-length": body.length }),
        ...headers,
      },
    }, (response) => {
      const parts = [];
      response.on("data", (part) => parts.push(part));
      response.on("end", () =>
        end({
          status: response.complete ? response.statusCode : 0,
          headers: response.headers,
          body: Buffer.concat(parts),
        }));
      response.on(
        "error",
        () => end({ status: 0, headers: {}, body: Buffer.alloc(0) }),
      );
    });
    outgoing.on(
      "error",
      (error) =>
        end({
          status: 0,
          headers: {},
          body: Buffer.alloc(0),
          error: error.code,
        }),
    );
    abort?.(() => outgoing.destroy());
    outgoing.end(body);
  });
}

/** Runs a case: `run(context)` returns whether the rule held. Ends all that was started, and the process. */
export async function runCase(moduleUrl, run) {
  const folder = mkdtempSync(join(tmpdir(), "guavarun-review-"));
  const record = createRecord(
    join(dirname(fileURLToPath(moduleUrl)), "record.txt"),
  );
  const machines = [];
  const closers = [];
  const context = {
    folder,
    record,
    hasTrouble: process.env.TROUBLE !== "0",
    machines,
    async store() {
      const store = await startStore();
      closers.push(() => store.close());
      return store;
    },
    async machine(options) {
      const machine = await createMachine({ folder, ...options });
      machines.push(machine);
      machine.start();
      return machine;
    },
    async instance(options) {
      const instance = await startInstance(options);
      closers.push(() => instance.close());
      return instance;
    },
    onEnd: (close) => closers.push(close),
  };
  const endAll = () => {
    for (const machine of machines) {
      machine.signal("SIGCONT");
      machine.signal("SIGKILL");
    }
  };
  process.on("exit", endAll);
  for (const signal of ["SIGINT", "SIGTERM"]) {
    process.on(signal, () => process.exit(2));
  }
  for (const event of ["uncaughtException", "unhandledRejection"]) {
    process.on(event, (error) => {
      record("could-not-run", { error: error.stack });
      process.exit(2);
    });
  }
  const limit = setTimeout(() => {
    record("case-too-long");
    process.exit(2);
  }, 115_000);
  let code = 2;
  try {
    const isKept = await run(context);
    code = isKept ? 0 : 1;
    record("verdict", { rule: isKept ? "held" : "broken" });
    console.log(isKept ? "held" : "broken");
  } catch (error) {
    record("could-not-run", { error: error.stack });
    console.error(error);
  }
  clearTimeout(limit);
  endAll();
  for (const close of closers) {
    close();
  }
  await Promise.all(machines.map((machine) => machine.waitForExit(3_000)));
  if (process.env.KEEP !== "1") {
    rmSync(folder, { recursive: true, force: true });
  } else {
    console.log(folder);
  }
  process.exit(code);
}
