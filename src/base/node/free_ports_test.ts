import assert from "node:assert/strict";
import { execFile } from "node:child_process";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { promisify } from "node:util";
import { findFreePorts } from "./free_ports.ts";

const MODULE = new URL("./free_ports.js", import.meta.url).href;
const FIRST_OUTGOING_PORT = 32_768;

/** Finds ports in a child process that lives for another 500 ms, like a process that uses its ports. */
function findInProcess(count: number): Promise<number[]> {
  const script = `import(${JSON.stringify(MODULE)}).then(async (module) => {
    console.log(JSON.stringify(await module.findFreePorts(${count})));
    setTimeout(() => {}, 500);
  })`;
  return promisify(execFile)(process.execPath, ["-e", script])
    .then(({ stdout }) => JSON.parse(stdout));
}

test("concurrent calls in one and in several processes never return the same port", async () => {
  const found = await Promise.all([
    findFreePorts(150),
    findFreePorts(150),
    ...Array.from({ length: 6 }, () => findInProcess(100)),
  ]);
  const ports = found.flat();
  assert.equal(ports.length, 900);
  assert.equal(new Set(ports).size, ports.length);
});

test("ports lie below the range from which outgoing connections take theirs", async () => {
  const [first] = readFileSync(
    "/proc/sys/net/ipv4/ip_local_port_range",
    "utf8",
  ).split(/\s+/).map(Number);
  const ports = await findFreePorts(10);
  assert.ok(ports.every((port) => port < Math.max(first, FIRST_OUTGOING_PORT)));
});
