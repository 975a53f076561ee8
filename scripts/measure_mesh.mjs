// Measures the deployed build of the mesh daemon as separate processes on loopback: processor time
// at start, when idle and per answered call, with a mix of small and large calls.
// Run the build command of deploy/system.toml first; it creates target/guavarun.cjs.
// Usage: npm run measure:mesh -- [DAEMONS] [CALLS-PER-SECOND-PER-DAEMON] [SECONDS] [NODE-FLAG...]
import { spawn } from "node:child_process";
import {
  existsSync,
  mkdirSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { Agent } from "node:http";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { startInstanceStandIn } from "../dist/platform/stand_in/instance_stand_in.js";
import {
  callMesh,
  configurationDocument,
  createSettings,
} from "../dist/platform/stand_in/mesh_fixture.js";
import { startStoreStandIn } from "../dist/platform/stand_in/store_stand_in.js";

const FOLDER = "run/measure-mesh";
const PROGRAM = "target/guavarun.cjs";
const TICKS_PER_SECOND = 100;
const SETTLE_MS = 3_000;
const CALLS = [
  { share: 0.6, path: "/lookup/x", responseBytes: 5_000 },
  {
    share: 0.2,
    path: "/write/x",
    method: "POST",
    bodyBytes: 1_200,
    responseBytes: 5_000,
  },
  {
    share: 0.06,
    path: "/photo/x",
    method: "POST",
    bodyBytes: 60_000,
    responseBytes: 1_500,
  },
  { share: 0.14, path: "/small/x", responseBytes: 400 },
];
const ROUTES = [
  { prefix: "/lookup/", service: "booking" },
  { prefix: "/write/", service: "booking", kind: "unsafe" },
  { prefix: "/photo/", service: "dispatch", kind: "upload" },
  { prefix: "/small/", service: "dispatch" },
];

const [daemonCount = 8, rate = 80, seconds = 10] = process.argv.slice(2, 5)
  .map(Number);
const flags = process.argv.slice(5);
const children = new Set();
process.on("exit", () => children.forEach((child) => child.kill("SIGKILL")));

/** Returns the user and system time of a process in milliseconds. */
function readProcessorTime(pid) {
  const fields = readFileSync(`/proc/${pid}/stat`, "utf8").split(") ")[1].split(
    " ",
  );
  return (Number(fields[11]) + Number(fields[12])) * 1_000 / TICKS_PER_SECOND;
}

function sumProcessorTime(hosts) {
  return hosts.reduce(
    (sum, { child }) => sum + readProcessorTime(child.pid),
    0,
  );
}

function answerCall(incoming, response) {
  const call = CALLS.find(({ path }) => path === incoming.url);
  setTimeout(() => {
    const body = Buffer.alloc(call.responseBytes, 97);
    response.writeHead(200, {
      "x-attempt-id": incoming.headers["x-attempt-id"],
      "content-length": body.length,
    });
    response.end(body);
  }, 20);
  return true;
}

async function startHost(store, index) {
  const host = `host-${index}`;
  const service = index % 3 === 2 ? "dispatch" : "booking";
  const settings = {
    ...await createSettings(store, {
      host,
      service,
      failureDomain: `domain-${index % 3}`,
    }),
    heartbeatSeconds: 1.5,
  };
  const file = join(FOLDER, `${host}.jsonc`);
  writeFileSync(file, JSON.stringify(settings));
  const child = spawn(process.execPath, [
    "--single-threaded",
    "--interrupt-budget=600000",
    "--max-old-space-size=200",
    ...flags,
    PROGRAM,
  ], {
    env: { PATH: process.env.PATH, GUAVARUN_NODE_FILE: file },
    stdio: ["ignore", openSync(join(FOLDER, `${host}.log`), "w"), "inherit"],
  });
  children.add(child);
  const instance = await startInstanceStandIn({
    identity: `i-${host}`,
    service,
    failureDomain: settings.failureDomain,
    heartbeats: settings.listen.heartbeats,
    slots: 14,
    answer: answerCall,
  });
  return { settings, child, instance };
}

function chooseCall() {
  let remainder = Math.random();
  return CALLS.find(({ share }) => (remainder -= share) < 0) ?? CALLS[0];
}

function startCalls(hosts) {
  const agent = new Agent({ keepAlive: true });
  const counts = { sent: 0, answered: 0 };
  const timers = hosts.map((host) =>
    setInterval(async () => {
      const { path, method, bodyBytes } = chooseCall();
      counts.sent += 1;
      const { status } = await callMesh(host, {
        path,
        method,
        identity: `${counts.sent.toString(16).padStart(16, "0")}`,
        body: bodyBytes === undefined ? undefined : Buffer.alloc(bodyBytes, 98),
        deadlineMilliseconds: 1_000,
        agent,
      });
      counts.answered += status === 200 ? 1 : 0;
    }, 1_000 / rate)
  );
  return { counts, stop: () => timers.forEach(clearInterval) };
}

if (!existsSync(PROGRAM)) {
  console.error(
    `Cannot measure: ${PROGRAM} is missing; run the build command of deploy/system.toml`,
  );
  process.exit(1);
}
rmSync(FOLDER, { recursive: true, force: true });
mkdirSync(FOLDER, { recursive: true });
const store = await startStoreStandIn();
store.write("keyed.op", "config", configurationDocument(1, ROUTES));
const hosts = await Promise.all(
  Array.from({ length: daemonCount }, (_, index) => startHost(store, index)),
);
await sleep(SETTLE_MS);
const startTime = sumProcessorTime(hosts);
await sleep(SETTLE_MS);
const idleTime = sumProcessorTime(hosts) - startTime;
const calls = startCalls(hosts);
const callsStartTime = sumProcessorTime(hosts);
await sleep(3_000);
const before = { time: sumProcessorTime(hosts), ...calls.counts };
await sleep(seconds * 1_000);
const after = { time: sumProcessorTime(hosts), ...calls.counts };
calls.stop();
console.table([{
  daemons: daemonCount,
  "calls/s": Math.round((after.sent - before.sent) / seconds),
  "start ms": Math.round(startTime / daemonCount),
  "idle core %": Number((idleTime / SETTLE_MS / daemonCount * 100).toFixed(2)),
  "first 3 s, ms a call": Number(
    ((before.time - callsStartTime) / before.answered).toFixed(3),
  ),
  "ms a call": Number(
    ((after.time - before.time) / (after.answered - before.answered)).toFixed(
      3,
    ),
  ),
  unanswered: after.sent - after.answered,
}]);
for (const { child } of hosts) {
  child.kill("SIGTERM");
}
await sleep(5_000);
process.exit(0);
