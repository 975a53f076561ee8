// Runs a fleet as separate processes on this machine: a platform log, six daemons and their
// upstreams, with calls during a change and a move. Writes logs and settings to run/. Exits with 1
// when a call was lost, the versions of the daemons differ, the move has no result, a process did
// not stop with exit code 0, or the logs cannot be combined into one timeline.
import { spawn, spawnSync } from "node:child_process";
import { randomUUID } from "node:crypto";
import { mkdirSync, rmSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { createFleet } from "../dist/src/programs/node/demo_fleet.js";
import { runScenario } from "../dist/src/programs/node/demo_scenario.js";

const FOLDER = "run";
const PROGRAM = "dist/src/programs/node/guavarun.js";
const STOP_TIMEOUT_MS = 30_000;

/** Starts a command with a settings file; its events are written to a log file of the same name. */
function start(command, name, settings) {
  const file = join(FOLDER, `${name}.jsonc`);
  const log = { ...settings.log, file: join(FOLDER, `${name}.log`) };
  writeFileSync(file, JSON.stringify({ ...settings, log }, undefined, 2));
  const child = spawn(process.execPath, [PROGRAM, command, file], {
    stdio: ["ignore", "inherit", "inherit"],
  });
  const exited = new Promise((resolve) =>
    child.on("exit", (code, signal) => resolve(code ?? signal))
  );
  return { name, child, exited, log: log.file };
}

/** Stops a process; returns a fault when its exit code is not 0. */
async function stop({ name, child, exited }) {
  child.kill("SIGTERM");
  const timer = setTimeout(() => child.kill("SIGKILL"), STOP_TIMEOUT_MS);
  const code = await exited;
  clearTimeout(timer);
  return code === 0 ? [] : [`${name} exited with ${code}`];
}

async function stopAll(processes) {
  const faults = await Promise.all(processes.map(stop));
  return faults.flat();
}

async function fetchVersions(daemons) {
  return await Promise.all(daemons.map(async (daemon) => {
    const response = await fetch(
      `http://${daemon.address}:${daemon.administrationPort}/ready`,
    );
    return (await response.json()).version;
  }));
}

function createTimeline(files) {
  const html = join(FOLDER, "timeline.html");
  const page = spawnSync(process.execPath, [
    PROGRAM,
    "timeline",
    ...files,
    "--html",
    html,
  ], { encoding: "utf8" });
  const move = spawnSync(process.execPath, [
    PROGRAM,
    "timeline",
    ...files,
    "--move",
    "move-demo",
    "--json",
  ], { encoding: "utf8" });
  const events = move.stdout.split("\n").filter((line) => line !== "");
  console.log(`Timeline in ${html}; ${events.length} events of the move.`);
  return page.status === 0 && move.status === 0 && events.length > 0
    ? []
    : [`cannot create the timeline of the move: ${page.stderr}${move.stderr}`];
}

rmSync(FOLDER, { recursive: true, force: true });
mkdirSync(FOLDER);
const token = randomUUID();
const fleet = await createFleet(token);
const upstreams = [];
const daemons = [];
const faults = [];
const platform = start("platform", "platform", fleet.platform);
try {
  for (const settings of fleet.daemons) {
    daemons.push(start("daemon", settings.host, settings));
  }
  fleet.upstreams.forEach((settings, index) =>
    upstreams.push(start("upstream", `upstream-${index + 1}`, settings))
  );
  const result = await runScenario(fleet.daemons, {
    token,
    print: console.log,
  });
  faults.push(...result.faults);
  const versions = await fetchVersions(fleet.daemons);
  console.log(`Versions of the daemons: ${versions.join(", ")}.`);
  if (new Set(versions).size !== 1) {
    faults.push(`daemons have different versions: ${versions.join(", ")}`);
  }
} catch (error) {
  faults.push(String(error));
}
faults.push(...await stopAll(upstreams));
faults.push(...await stopAll(daemons));
faults.push(...await stopAll([platform]));
faults.push(
  ...createTimeline([platform, ...daemons, ...upstreams].map(({ log }) => log)),
);
faults.forEach((fault) => console.log(`Fault: ${fault}.`));
console.log(faults.length === 0 ? "All checks passed." : "Checks failed.");
process.exitCode = faults.length === 0 ? 0 : 1;
