import assert from "node:assert/strict";
import { createServer, type Server, type Socket } from "node:net";
import { test } from "node:test";
import { SILENT_LOG } from "../../../base/common/event_log.ts";
import { MONOTONIC_CLOCK } from "../../../base/node/system_clock.ts";
import type { CallRecord } from "../common/gate.ts";
import type { GateOutcome } from "../common/gate_call.ts";
import { NO_NOTICES } from "../common/instance_notices.ts";
import { createGate } from "./gate.ts";
import {
  createFixtureReport,
  createFixtureRequest,
  FIXTURE_HEADERS,
} from "../common/gate_fixture.ts";

const RESPONSES: Readonly<Record<string, string>> = {
  "an invalid header": "HTTP/1.1 200 OK\r\nDate: Sat\0\r\n",
  "a server error": "HTTP/1.1 500 Error\r\n",
};
const CALLS = 10;

function listen(head: string): Promise<Server> {
  return new Promise((resolve) => {
    const server = createServer((socket: Socket) => {
      socket.on("error", () => {});
      socket.on("data", (data: Buffer) => {
        const identity = /X-Request: (.*)\r\n/.exec(data.toString())?.[1];
        socket.end(
          `${head}X-Request: ${identity}\r\nContent-Length: 2\r\n\r\nok`,
        );
      });
    });
    server.listen(0, "127.0.0.1", () => resolve(server));
  });
}

/** Sends calls to an instance that responds with this head, and returns what the gate records of it. */
async function recordCalls(head: string) {
  const server = await listen(head);
  const gate = createGate({
    clock: MONOTONIC_CLOCK,
    log: SILENT_LOG,
    headers: FIXTURE_HEADERS,
    heartbeatMilliseconds: 1_000,
    readNotices: () => NO_NOTICES,
    afterStall: (callback) => callback(),
  });
  const { port } = server.address() as { port: number };
  gate.applyReport(createFixtureReport({ port, slots: 4 }));
  const records: CallRecord[] = [];
  gate.onCallCompleted((record) => records.push(record));
  for (let index = 0; index < CALLS; index += 1) {
    await new Promise<GateOutcome>((resolve) => {
      gate.offer(createFixtureRequest(`call-${index}`, 2_000), resolve);
    });
  }
  const { failureRate } = gate.load;
  gate.dispose();
  server.close();
  return { records, failureRate };
}

// Guards against an instance that keeps its share of the calls although its responses are invalid.
test("invalid responses count as failures of the instance for outlier detection and rollouts, like server errors", async () => {
  const invalid = await recordCalls(RESPONSES["an invalid header"]);
  const failed = await recordCalls(RESPONSES["a server error"]);
  for (const { records } of [invalid, failed]) {
    assert.equal(records.length, CALLS);
    assert.ok(records.every(({ isFailure }) => isFailure));
  }
  // The rates decay with time.
  assert.ok(Math.abs(invalid.failureRate - failed.failureRate) < 0.05);
  assert.ok(failed.failureRate > 0.5);
});
