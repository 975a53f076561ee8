// Measures daemons as separate processes: resident memory, processor time and link bytes per
// daemon, without calls and under load. Prints one row per fleet size for docs/CAPACITY.md.
// Usage: npm run measure:daemons
import { spawn } from "node:child_process";
import { randomUUID } from "node:crypto";
import { mkdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { Agent, request } from "node:http";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import {
  createDemoContract,
  createFleet,
  OLD_VERSION,
} from "../dist/src/programs/node/demo_fleet.js";

const FOLDER = "run/measure";
const PROGRAM = "dist/src/programs/node/guavarun.js";
const HOSTS_PER_DOMAIN = [1, 3, 6, 12];
const SETTLE_MS = 8_000;
const MEASUREMENT_MS = 15_000;
const CALLS_PER_SECOND_PER_DAEMON = 60;
const READY_TIMEOUT_MS = 60_000;
const TICKS_PER_SECOND = 100;

const children = new Set();
process.on("exit", () => children.forEach((child) => child.kill("SIGKILL")));

function start(command, name, settings, flags = []) {
  const file = join(FOLDER, `${name}.jsonc`);
  const log = { file: join(FOLDER, `${name}.log`) };
  writeFileSync(file, JSON.stringify({ ...settings, log }));
  const child = spawn(process.execPath, [...flags, PROGRAM, command, file], {
    stdio: "inherit",
  });
  children.add(child);
  child.on("exit", () => children.delete(child));
  return child;
}

function readMemory(pid) {
  const match = /VmRSS:\s+(\d+) kB/.exec(
    readFileSync(`/proc/${pid}/status`, "utf8"),
  );
  return Number(match[1]) / 1_024;
}

/** Returns the user and system time of a process in seconds. */
function readProcessorTime(pid) {
  const fields = readFileSync(`/proc/${pid}/stat`, "utf8").split(") ")[1].split(
    " ",
  );
  return (Number(fields[11]) + Number(fields[12])) / TICKS_PER_SECOND;
}

async function readLinkBytes(daemon, token) {
  const response = await fetch(
    `http://127.0.0.1:${daemon.administrationPort}/metrics`,
    {
      headers: { authorization: `Bearer ${token}` },
    },
  );
  const text = await response.text();
  return [...text.matchAll(/^guavarun_link_bytes\{.*\} (\d+)/gm)]
    .reduce((sum, [, bytes]) => sum + Number(bytes), 0);
}

async function waitUntilReady(daemons) {
  const deadline = Date.now() + READY_TIMEOUT_MS;
  for (const daemon of daemons) {
    const url = `http://127.0.0.1:${daemon.administrationPort}/ready`;
    while (!await fetch(url).then((response) => response.ok, () => false)) {
      if (Date.now() > deadline) {
        throw new Error(`${daemon.host} is not ready`);
      }
      await sleep(100);
    }
  }
}

async function publish(daemon, token) {
  const response = await fetch(
    `http://127.0.0.1:${daemon.administrationPort}/changes`,
    {
      method: "POST",
      headers: {
        authorization: `Bearer ${token}`,
        "content-type": "application/json",
      },
      body: JSON.stringify({
        identity: randomUUID(),
        ...createDemoContract(100_000),
      }),
    },
  );
  if (!response.ok) {
    throw new Error(`The contract was refused: ${await response.text()}`);
  }
}

/** Calls each daemon at a constant rate until stopped. */
function startCalls(daemons) {
  const agent = new Agent({ keepAlive: true, maxSockets: 8 });
  const counts = { sent: 0, answered: 0 };
  const timers = daemons.map((daemon) =>
    setInterval(() => {
      counts.sent += 1;
      request({
        agent,
        host: "127.0.0.1",
        port: daemon.proxyPort,
        path: "/v1/availability",
        headers: { "guavarun-customer": "hollister" },
      }, (response) => {
        counts.answered += response.statusCode === 200 ? 1 : 0;
        response.resume();
      }).on("error", () => {}).end();
    }, 1_000 / CALLS_PER_SECOND_PER_DAEMON)
  );
  return { counts, stop: () => timers.forEach(clearInterval) };
}

async function measurePeriod(fleet, processes, token) {
  const readBytes = () =>
    Promise.all(fleet.daemons.map((daemon) => readLinkBytes(daemon, token)));
  const sum = (values) => values.reduce((total, value) => total + value, 0);
  const bytesBefore = sum(await readBytes());
  const timeBefore = sum(processes.map(({ pid }) => readProcessorTime(pid)));
  await sleep(MEASUREMENT_MS);
  const seconds = MEASUREMENT_MS / 1_000;
  const count = processes.length;
  const time = sum(processes.map(({ pid }) => readProcessorTime(pid))) -
    timeBefore;
  return {
    bytesPerSecond: Math.round(
      (sum(await readBytes()) - bytesBefore) / seconds / count,
    ),
    corePercent: Number((time / seconds / count * 100).toFixed(2)),
    memoryMegabytes: Number(
      (sum(processes.map(({ pid }) => readMemory(pid))) / count).toFixed(1),
    ),
  };
}

async function measureFleet(hostsPerDomain) {
  rmSync(FOLDER, { recursive: true, force: true });
  mkdirSync(FOLDER, { recursive: true });
  const token = randomUUID();
  const fleet = await createFleet(token, { hostsPerDomain });
  start("platform", "platform", fleet.platform);
  await sleep(500);
  const daemons = fleet.daemons.map((settings) =>
    start("daemon", settings.host, settings)
  );
  fleet.upstreams.filter(({ version }) => version === OLD_VERSION)
    .forEach((settings, index) =>
      start("upstream", `upstream-${index}`, settings)
    );
  await waitUntilReady(fleet.daemons);
  await publish(fleet.daemons[0], token);
  await sleep(SETTLE_MS);
  const idle = await measurePeriod(fleet, daemons, token);
  const calls = startCalls(fleet.daemons);
  const busy = await measurePeriod(fleet, daemons, token);
  calls.stop();
  await sleep(500);
  [...children].forEach((child) => child.kill("SIGKILL"));
  await sleep(500);
  return {
    daemons: daemons.length,
    "idle bytes/s": idle.bytesPerSecond,
    "idle core %": idle.corePercent,
    "idle MB": idle.memoryMegabytes,
    "busy bytes/s": busy.bytesPerSecond,
    "busy core %": busy.corePercent,
    "busy MB": busy.memoryMegabytes,
    calls: calls.counts.sent,
    answered: calls.counts.answered,
  };
}

/** Returns the resident memory of an idle Node process in megabytes. */
async function measureRuntime() {
  const child = spawn(process.execPath, ["-e", "setTimeout(() => {}, 5000)"]);
  await sleep(1_500);
  const memory = readMemory(child.pid);
  child.kill("SIGKILL");
  return memory;
}

console.log(`Node alone: ${(await measureRuntime()).toFixed(1)} MB resident.`);
console.log(
  `Under calls each daemon proxies ${CALLS_PER_SECOND_PER_DAEMON} calls/s.`,
);
const rows = [];
for (const hostsPerDomain of HOSTS_PER_DOMAIN) {
  rows.push(await measureFleet(hostsPerDomain));
  console.table(rows.slice(-1));
}
console.table(rows);
