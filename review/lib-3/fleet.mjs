// Starts daemons with the command of the deploy file, and ends every process that was started.
import { spawn } from "node:child_process";
import fs from "node:fs";
import http from "node:http";
import net from "node:net";
import os from "node:os";
import path from "node:path";
import { fileURLToPath } from "node:url";

export const ROOT = fileURLToPath(new URL("../../", import.meta.url));
const folder = fs.mkdtempSync(path.join(os.tmpdir(), "review-3-"));
const children = new Set();

export const sleep = (milliseconds) =>
  new Promise((resolve) => setTimeout(resolve, milliseconds));

const taken = new Set();

// Below the range from which the kernel takes ports for outgoing connections.
export async function findPort(address) {
  while (true) {
    const port = 15_000 + Math.floor(Math.random() * 15_000);
    const isFree = !taken.has(port) && await new Promise((resolve) => {
      const server = net.createServer();
      server.on("error", () => resolve(false));
      server.listen(port, address, () => server.close(() => resolve(true)));
    });
    if (isFree) {
      taken.add(port);
      return port;
    }
  }
}

function readCommand() {
  const text = fs.readFileSync(path.join(ROOT, "deploy/system.toml"), "utf8");
  return /^run = "(.*)"$/m.exec(text)[1].split(" ");
}

export async function planDaemon({ host, zone, service, store, address, beatSeconds = 0.5, stopSeconds = 6 }) {
  const port = async () => `${address}:${await findPort(address)}`;
  const link = await findPort(address);
  const settings = {
    host, failureDomain: zone, address, service,
    listen: { calls: await port(), heartbeats: await port(), readiness: await port() },
    internalPorts: [link, link],
    metrics: await port(),
    store, heartbeatSeconds: beatSeconds, stopSeconds,
  };
  const file = path.join(folder, `${host}.jsonc`);
  return {
    host, zone, settings, link: { address, port: link }, file,
    child: undefined,
    start() {
      fs.writeFileSync(file, JSON.stringify(settings));
      const [program, ...words] = readCommand();
      const output = fs.openSync(path.join(folder, `${host}.log`), "a");
      const child = spawn(program === "node" ? process.execPath : program, words, {
        cwd: ROOT,
        env: { PATH: process.env.PATH, HOME: folder, GUAVARUN_NODE_FILE: file },
        stdio: ["ignore", output, output],
      });
      fs.closeSync(output);
      children.add(child);
      child.on("exit", () => children.delete(child));
      this.child = child;
      return child;
    },
    isReady: () => new Promise((resolve) => {
      const request = http.get(`http://${settings.listen.readiness}/readyz`, { agent: false, timeout: 1_000 },
        (response) => { response.resume(); resolve(response.statusCode === 200); });
      request.on("error", () => resolve(false));
      request.on("timeout", () => request.destroy());
    }),
    log: () => fs.readFileSync(path.join(folder, `${host}.log`), "utf8"),
  };
}

// Waits until all daemons are ready; names those that are not, with the end of their logs.
export async function waitUntilReady(daemons, milliseconds = 25_000) {
  let ready = [];
  try {
    await waitFor(async () => {
      ready = await Promise.all(daemons.map((each) => each.isReady()));
      return ready.every(Boolean);
    }, milliseconds, "daemons are ready");
  } catch (error) {
    const late = daemons.filter((_, index) => !ready[index]);
    throw new Error(`${error.message}: ${late.map((each) => `${each.host} (exit ${each.child.exitCode}) ${each.log().slice(-2_000)}`).join("; ")}`);
  }
}

export async function waitFor(condition, milliseconds, what) {
  const until = Date.now() + milliseconds;
  while (!await condition()) {
    if (Date.now() > until) throw new Error(`not in time: ${what}`);
    await sleep(50);
  }
}

export function endAll() {
  for (const child of children) {
    child.kill("SIGCONT");
    child.kill("SIGKILL");
  }
  fs.rmSync(folder, { recursive: true, force: true });
}

for (const signal of ["SIGTERM", "SIGINT", "SIGHUP"]) {
  process.on(signal, () => {
    endAll();
    process.exit(2);
  });
}

// Sends one request as a client; resolves with the status, 0 when the connection ended without an answer.
export function call(endpoint, { method = "GET", path: target, host, attempt, deadlineMs = 1_500, key, body, agent = false, headers = {} }) {
  return new Promise((resolve) => {
    const outgoing = http.request(`http://${endpoint}${target}`, {
      method, agent,
      headers: {
        host, "x-attempt-id": attempt, "x-deadline-ms": String(deadlineMs),
        ...(key === undefined ? {} : { "api-key": key }),
        ...(body === undefined ? {} : { "content-length": body.length }),
        ...headers,
      },
    }, (response) => {
      const chunks = [];
      response.on("data", (chunk) => chunks.push(chunk));
      response.on("end", () => resolve({ status: response.statusCode, headers: response.headers, body: Buffer.concat(chunks) }));
      response.on("error", () => resolve({ status: 0, headers: {}, body: Buffer.alloc(0) }));
    });
    outgoing.on("error", () => resolve({ status: 0, headers: {}, body: Buffer.alloc(0) }));
    outgoing.setTimeout(deadlineMs + 500, () => outgoing.destroy());
    outgoing.end(body);
  });
}
