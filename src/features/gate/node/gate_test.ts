import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { SILENT_LOG } from "../../../base/common/event_log.ts";
import { MONOTONIC_CLOCK } from "../../../base/node/system_clock.ts";
import type { GateOutcome } from "../common/gate_call.ts";
import { NO_NOTICES } from "../common/instance_notices.ts";
import { createGate } from "./gate.ts";
import {
  createFixtureReport,
  createFixtureRequest,
  FIXTURE_HEADERS,
} from "../common/gate_fixture.ts";

const DEADLINE_MS = 2_000;

test(
  "a queued call that is cancelled during an event loop stall does not start",
  {
    timeout: 10_000,
  },
  async (context) => {
    const received: string[] = [];
    const server = createServer((request, response) => {
      const identity = String(request.headers["x-request"]);
      received.push(identity);
      setTimeout(() => {
        response.setHeader("x-request", identity);
        response.end("done");
      }, 30);
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    const { port } = server.address() as AddressInfo;
    const deferred: (() => void)[] = [];
    const gate = createGate({
      clock: MONOTONIC_CLOCK,
      log: SILENT_LOG,
      headers: FIXTURE_HEADERS,
      readNotices: () => NO_NOTICES,
      heartbeatMilliseconds: 5_000,
      afterStall: (callback) => void deferred.push(callback),
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
    const cancelledCall = gate.offer(
      createFixtureRequest("left", DEADLINE_MS),
      () => {},
    );
    gate.offer(
      createFixtureRequest("stays", DEADLINE_MS),
      (outcome) => outcomes.push(outcome),
    );
    while (deferred.length === 0) {
      await sleep(5);
    }
    cancelledCall.cancel();
    deferred.shift()!();
    while (outcomes.length < 2) {
      await sleep(5);
    }
    assert.deepEqual(received, ["first", "stays"]);
    assert.deepEqual(outcomes.map(({ type }) => type), ["answer", "answer"]);
  },
);
