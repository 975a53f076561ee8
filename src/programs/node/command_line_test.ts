import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { listenHttp, sendJson } from "../../base/node/http_server.ts";
import { parseDuration } from "../common/duration.ts";

const PROGRAM = "dist/src/programs/node/guavarun.js";

function run(args: readonly string[], daemon = "127.0.0.1:1") {
  return new Promise<{ code: number | null; text: string }>((resolve) => {
    const child = spawn(process.execPath, [PROGRAM, ...args], {
      env: { ...process.env, GUAVARUN_DAEMON: daemon, GUAVARUN_TOKEN: "t" },
    });
    let text = "";
    child.stdout.on("data", (part) => text += part);
    child.stderr.on("data", (part) => text += part);
    child.on("close", (code) => resolve({ code, text }));
  });
}

test("the exit code of a command reflects the outcome of its request", async (context) => {
  const folder = mkdtempSync(join(tmpdir(), "guavarun-"));
  const change = join(folder, "change.jsonc");
  const faulty = join(folder, "faulty.jsonc");
  writeFileSync(change, `{ "upsert": { "failureDomains": ["d"] } } // end`);
  writeFileSync(faulty, `{ "upsert": {\n "routes": [ {} ] } }`);
  const answers: Record<string, [number, object]> = {
    "/changes": [409, { result: "refused", reason: "r", description: "No." }],
    "/moves": [504, { result: "unknown", description: "Unknown." }],
    "/evacuations": [409, { result: "refused", description: "No domain." }],
    "/moves/m1": [200, { state: "done", description: "Done." }],
    "/moves/m2": [200, { state: "taken-back", description: "Back." }],
    "/moves/m3": [404, { state: "not-found", description: "None." }],
  };
  const daemon = await listenHttp((request, response) => {
    request.resume();
    sendJson(response, ...answers[request.url ?? ""]);
  }, { address: "127.0.0.1", port: 0 });
  context.after(() => daemon.close());
  const address = `127.0.0.1:${daemon.port}`;
  const cases: [string[], string | undefined, number, RegExp][] = [
    [["publish", change], address, 1, /^No\.$/m],
    [["publish", change], undefined, 3, /Nothing was done/],
    [["publish", faulty], address, 1, /faulty.jsonc:2: key upsert.routes.0/],
    [["publish", change, "--json"], address, 1, /"reason":"r"/],
    [["move", "s", "2", "--within", "5m"], address, 2, /Unknown/],
    [["move", "s", "2", "--within", "soon"], address, 64, /no duration/],
    [["move", "s"], address, 64, /Not enough/],
    [["evacuate", "east"], address, 1, /^No domain\.$/m],
    [["evacuate", "east"], undefined, 3, /Nothing was done/],
    [["evacuate"], address, 64, /Not enough/],
    [["restore", "east", "--json"], address, 1, /"result":"refused"/],
    [["status"], address, 1, /No domain/],
    [["status", "--wait", "1s"], address, 64, /--wait needs a CHANGE/],
    [["status"], undefined, 3, /^.+\.$/m],
    [["status", "m1"], address, 0, /Done/],
    [["status", "m2"], address, 1, /Back/],
    [["status", "m3"], address, 2, /None/],
    [["check", change], undefined, 0, /change, 0 problems/],
    [["check", faulty], undefined, 1, /key upsert.routes.0.name/],
    [["daemon", faulty], undefined, 1, /unknown key/],
    [["timeline"], undefined, 64, /Name log files/],
    [["explain", "r1"], undefined, 64, /Name a request, log files/],
    [["explain", "r1", "none.log"], undefined, 3, /Cannot read none.log/],
    [["publish", "--help"], undefined, 0, /Examples/],
  ];
  await Promise.all(cases.map(async ([words, target, code, expected]) => {
    const result = await run(words, target);
    assert.match(result.text, expected, words.join(" "));
    assert.equal(result.code, code, words.join(" "));
  }));
});

// The upstream stand-in drains for 3 s; the repeated signal arrives during that time.
test("a service that gets SIGTERM twice stops with exit code 0", async () => {
  const folder = mkdtempSync(join(tmpdir(), "guavarun-"));
  const settings = join(folder, "upstream.jsonc");
  writeFileSync(
    settings,
    `{ "service": "s", "version": "1", "address": "127.0.0.1", "administrationPort": 1 }`,
  );
  const child = spawn(process.execPath, [PROGRAM, "upstream", settings]);
  let text = "";
  let signals = 0;
  child.stderr.on("data", (part) => {
    text += part;
    const awaited = ["event=process.started", "event=process.stopping"];
    if (signals < awaited.length && text.includes(awaited[signals])) {
      signals += 1;
      child.kill("SIGTERM");
    }
  });
  const code = await new Promise((resolve) => child.on("close", resolve));
  assert.match(text, /event=process.stopped/);
  assert.equal(signals, 2);
  assert.equal(code, 0);
});

test("a duration needs a whole number and a unit", () => {
  const cases: [string, number | undefined][] = [
    ["500ms", 500],
    ["10m", 600_000],
    ["2h", 7_200_000],
    ["10", undefined],
    ["-1s", undefined],
    ["1.5s", undefined],
  ];
  for (const [text, duration] of cases) {
    assert.equal(parseDuration(text), duration, text);
  }
});
