import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { describe, test } from "node:test";
import { type EventLog, SILENT_LOG } from "../../../base/common/event_log.ts";
import { MONOTONIC_CLOCK } from "../../../base/node/system_clock.ts";
import {
  createFixtureReport,
  createFixtureRequest,
  FIXTURE_HEADERS,
} from "../common/gate_fixture.ts";
import type { GateOutcome } from "../common/gate_call.ts";
import { NO_NOTICES } from "../common/instance_notices.ts";
import { createGate } from "./gate.ts";

describe("a gate without a free slot", () => {
  // Guards against calls that wait at one gate while another has room.
  test("returns a call at once if it may, and queues others", async (context) => {
    const pending: (() => void)[] = [];
    const server = createServer((request, response) => {
      response.setHeader("x-request", String(request.headers["x-request"]));
      pending.push(() => response.end("done"));
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    const gate = createGate({
      clock: MONOTONIC_CLOCK,
      log: SILENT_LOG,
      headers: FIXTURE_HEADERS,
      readNotices: () => NO_NOTICES,
      heartbeatMilliseconds: 5_000,
      afterStall: (callback) => callback(),
    });
    context.after(() => {
      gate.dispose();
      server.closeAllConnections();
      server.close();
    });
    const { port } = server.address() as AddressInfo;
    gate.applyReport(createFixtureReport({ port, slots: 1 }));
    // The wait for a slot is expected to be 50 ms, a call's objective is 300 ms.
    const offer = (identity: string, mayBeReturned: boolean) => {
      const outcomes: GateOutcome[] = [];
      const request = createFixtureRequest(identity, 300);
      gate.offer(
        mayBeReturned ? { ...request, mayBeReturned } : request,
        (outcome) => outcomes.push(outcome),
      );
      return outcomes;
    };
    offer("running", true);
    const returned = offer("returned", true);
    const queued = offer("queued", false);
    assert.equal(gate.load.running, 1);
    assert.equal(gate.load.waiting, 1);
    assert.equal(queued.length, 0);
    const [outcome] = returned;
    assert.ok(outcome.type === "refused" && outcome.reason === "full");
    assert.equal(outcome.reachedInstance, false);
  });
});

describe("a gate whose instance states the momentary speed of its host", () => {
  // Guards against a figure that is decoded but does not reach callers.
  test("reports it with its load until the instance is replaced", async (context) => {
    const lines: (readonly [string, unknown])[] = [];
    const log: EventLog = {
      write: (_level, event, fields) => void lines.push([event, fields]),
      extend: () => log,
    };
    const server = createServer((request, response) => {
      response.setHeader("x-request", String(request.headers["x-request"]));
      response.end("done");
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    const gate = createGate({
      clock: MONOTONIC_CLOCK,
      log,
      headers: FIXTURE_HEADERS,
      readNotices: () => ({ ...NO_NOTICES, currentServiceTime: 2.5 }),
      heartbeatMilliseconds: 5_000,
      afterStall: (callback) => callback(),
    });
    context.after(() => {
      gate.dispose();
      server.closeAllConnections();
      server.close();
    });
    const { port } = server.address() as AddressInfo;
    const report = createFixtureReport({ port, slots: 4 });
    gate.applyReport(report);
    assert.equal("currentServiceTime" in gate.load, false);
    await new Promise((settle) =>
      gate.offer(createFixtureRequest("call-1", 2_000), settle)
    );
    const { currentServiceTime } = gate.load;
    assert.ok(currentServiceTime !== undefined && currentServiceTime > 2);
    assert.deepEqual(
      lines.filter(([event]) => event === "gate.speed-changed"),
      [
        ["gate.speed-changed", {
          instance: report.identity,
          ratio: 2.5,
          speed: "slow",
          changes: 1,
        }],
      ],
    );
    gate.applyReport({ ...report, identity: "i-2", startedAt: 2 });
    assert.equal("currentServiceTime" in gate.load, false);
  });
});
