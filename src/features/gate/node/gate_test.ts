import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { SILENT_LOG } from "../../../base/common/event_log.ts";
import { STEADY_CLOCK } from "../../../base/node/system_clock.ts";
import type { GateOutcome } from "../common/gate_call.ts";
import { createGate } from "./gate.ts";
import {
  createFixtureReport,
  createFixtureRequest,
  FIXTURE_HEADERS,
} from "./gate_fixture.ts";

const DEADLINE_MS = 2_000;

test("a waiting call whose caller left during a stall does not start", {
  timeout: 10_000,
}, async (context) => {
  const seen: string[] = [];
  const server = createServer((request, response) => {
    const identity = String(request.headers["x-request"]);
    seen.push(identity);
    setTimeout(() => {
      response.setHeader("x-request", identity);
      response.end("done");
    }, 30);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const held: (() => void)[] = [];
  const gate = createGate({
    clock: STEADY_CLOCK,
    log: SILENT_LOG,
    headers: FIXTURE_HEADERS,
    heartbeatMilliseconds: 5_000,
    afterStall: (callback) => void held.push(callback),
  });
  context.after(() => {
    gate.dispose();
    server.closeAllConnections();
    server.close();
  });
  gate.applyReport(createFixtureReport({ port, slots: 1 }));
  const outcomes: GateOutcome[] = [];
  gate.offer(
    createFixtureRequest("first", DEADLINE_MS),
    (outcome) => outcomes.push(outcome),
  );
  const leaver = gate.offer(
    createFixtureRequest("left", DEADLINE_MS),
    () => {},
  );
  gate.offer(
    createFixtureRequest("stays", DEADLINE_MS),
    (outcome) => outcomes.push(outcome),
  );
  while (held.length === 0) {
    await sleep(5);
  }
  leaver.cancel();
  held.shift()!();
  while (outcomes.length < 2) {
    await sleep(5);
  }
  assert.deepEqual(seen, ["first", "stays"]);
  assert.deepEqual(outcomes.map(({ type }) => type), ["answer", "answer"]);
});
