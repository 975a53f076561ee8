import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { describe, test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import type { EventLog } from "../../../base/common/event_log.ts";
import { MONOTONIC_CLOCK } from "../../../base/node/system_clock.ts";
import {
  createFixtureReport,
  createFixtureRequest,
  FIXTURE_HEADERS,
} from "../common/gate_fixture.ts";
import type { Gate } from "../common/gate.ts";
import type { GateOutcome } from "../common/gate_call.ts";
import { NO_NOTICES } from "../common/instance_notices.ts";
import { createGate } from "./gate.ts";

interface Fixture {
  readonly gate: Gate;
  /** The responses that the instance has not sent yet. */
  readonly pending: (() => void)[];
  readonly log: (readonly [string, unknown])[];
  offer(
    identity: string,
    options: { readonly deadline: number; readonly mayBeReturned?: true },
  ): readonly GateOutcome[];
}

async function startGate(
  context: TestContext,
  { slots, currentServiceTime }: {
    readonly slots: number;
    readonly currentServiceTime: number;
  },
): Promise<Fixture> {
  const lines: (readonly [string, unknown])[] = [];
  const log: EventLog = {
    write: (_level, event, fields) => void lines.push([event, fields]),
    extend: () => log,
  };
  const pending: (() => void)[] = [];
  const server = createServer((request, response) => {
    response.setHeader("x-request", String(request.headers["x-request"]));
    pending.push(() => response.end("done"));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const gate = createGate({
    clock: MONOTONIC_CLOCK,
    log,
    headers: FIXTURE_HEADERS,
    readNotices: () => ({ ...NO_NOTICES, currentServiceTime }),
    heartbeatMilliseconds: 5_000,
    afterStall: (callback) => callback(),
  });
  context.after(() => {
    gate.dispose();
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  gate.applyReport(createFixtureReport({ port, slots }));
  return {
    gate,
    pending,
    log: lines,
    offer(identity, { deadline, mayBeReturned }) {
      const outcomes: GateOutcome[] = [];
      const request = createFixtureRequest(identity, deadline);
      gate.offer(
        mayBeReturned ? { ...request, mayBeReturned } : request,
        (outcome) => outcomes.push(outcome),
      );
      return outcomes;
    },
  };
}

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await sleep(2);
  }
}

describe("a gate without a free slot", () => {
  // Guards against calls that wait at one gate while another has room.
  test("returns a call at once if it may, and queues others", async (context) => {
    const { gate, offer } = await startGate(context, {
      slots: 1,
      currentServiceTime: 1,
    });
    // The wait for a slot is expected to be 50 ms, an eighth of the objective is 38 ms.
    offer("running", { deadline: 300, mayBeReturned: true });
    const [outcome] = offer("returned", { deadline: 300, mayBeReturned: true });
    const queued = offer("queued", { deadline: 300 });
    assert.equal(gate.load.running, 1);
    assert.equal(gate.load.waiting, 1);
    assert.equal(queued.length, 0);
    assert.ok(outcome.type === "refused" && outcome.reason === "full");
    assert.equal(outcome.reachedInstance, false);
  });

  // Guards against calls that are kept in the queue of a host that has become slow.
  test("returns waiting calls that may be returned when its host turns slow", {
    timeout: 10_000,
  }, async (context) => {
    const { gate, offer, pending } = await startGate(context, {
      slots: 2,
      currentServiceTime: 20,
    });
    const deadline = 4_000;
    offer("first", { deadline });
    offer("second", { deadline });
    offer("third", { deadline, mayBeReturned: true });
    const kept = offer("kept", { deadline });
    const returned = offer("returned", { deadline, mayBeReturned: true });
    assert.equal(gate.load.waiting, 3);
    await waitUntil(() => pending.length === 2);
    pending[0]();
    await waitUntil(() => returned.length > 0);
    const [outcome] = returned;
    assert.ok(outcome.type === "refused" && outcome.reason === "full");
    assert.equal(kept.length, 0);
    assert.equal(gate.load.waiting, 1);
  });
});

describe("a gate whose instance states the momentary speed of its host", () => {
  // Guards against a figure that is decoded but does not reach callers.
  test("reports it with its load until the instance is replaced", {
    timeout: 10_000,
  }, async (context) => {
    const { gate, log, offer, pending } = await startGate(context, {
      slots: 4,
      currentServiceTime: 2.5,
    });
    const { instance } = gate;
    assert.ok(instance !== undefined);
    assert.equal("currentServiceTime" in gate.load, false);
    const outcomes = offer("call", { deadline: 2_000 });
    await waitUntil(() => pending.length === 1);
    pending[0]();
    await waitUntil(() => outcomes.length > 0);
    const { currentServiceTime } = gate.load;
    assert.ok(currentServiceTime !== undefined && currentServiceTime > 2);
    assert.deepEqual(log.filter(([event]) => event === "gate.speed-changed"), [
      ["gate.speed-changed", {
        instance: instance.identity,
        ratio: 2.5,
        speed: "slow",
        changes: 1,
      }],
    ]);
    gate.applyReport({ ...instance, identity: "i-2", startedAt: 2 });
    assert.equal("currentServiceTime" in gate.load, false);
  });
});
