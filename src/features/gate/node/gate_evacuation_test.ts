import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { describe, test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { createEventBuffer } from "../../../base/common/event_log.ts";
import { MONOTONIC_CLOCK } from "../../../base/node/system_clock.ts";
import type { GateOutcome } from "../common/gate_call.ts";
import {
  createFixtureReport,
  createFixtureRequest,
  FIXTURE_HEADERS,
} from "../common/gate_fixture.ts";
import { NO_NOTICES } from "../common/instance_notices.ts";
import { createGate } from "./gate.ts";

const DEADLINE_MS = 2_000;
const WORK_MS = 60;
const COLD_START = { durationMilliseconds: 3_000, requestsPerSecond: 10 };

async function startGate(context: TestContext) {
  const received: string[] = [];
  const server = createServer((request, response) => {
    const identity = String(request.headers["x-request"]);
    received.push(identity);
    setTimeout(() => {
      response.setHeader("x-request", identity);
      response.end("done");
    }, WORK_MS);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const buffer = createEventBuffer(100, () => performance.now());
  let isEvacuated = false;
  const gate = createGate({
    clock: MONOTONIC_CLOCK,
    log: buffer.log,
    headers: FIXTURE_HEADERS,
    readNotices: () => NO_NOTICES,
    heartbeatMilliseconds: 5_000,
    readColdStartLimit: () => COLD_START,
    isEvacuated: () => isEvacuated,
    afterStall: (callback) => callback(),
  });
  context.after(() => {
    gate.dispose();
    server.closeAllConnections();
    server.close();
  });
  let sequence = 0;
  const report = (coldForMilliseconds: number) => {
    sequence += 1;
    gate.applyReport({
      ...createFixtureReport({ port, slots: 1 }),
      sequence,
      coldForMilliseconds,
    });
  };
  report(0);
  return {
    gate,
    received,
    report,
    evacuate(isActive: boolean) {
      isEvacuated = isActive;
      gate.handleEvacuation(isActive);
    },
    offer: (identity: string) =>
      new Promise<GateOutcome>((resolve) =>
        void gate.offer(createFixtureRequest(identity, DEADLINE_MS), resolve)
      ),
    eventsOf: (event: string) =>
      buffer.events.filter((each) => each.event === event),
  };
}

function reasonOf(outcome: GateOutcome): string {
  return outcome.type === "refused" ? outcome.reason : outcome.type;
}

describe("a gate whose failure domain is evacuated", () => {
  // Guards against calls that reach the instance after the order: queued ones, and offers that were on their way.
  test("lets the running call end, and refuses queued and later ones so that they can be offered elsewhere", async (context) => {
    const { gate, offer, evacuate, received } = await startGate(context);
    const refusals: string[] = [];
    gate.onCallRefused((reason) => refusals.push(reason));
    let changes = 0;
    gate.onChanged(() => changes += 1);
    const running = offer("running");
    const queued = offer("queued");
    evacuate(true);
    const later = offer("later");
    const outcomes = await Promise.all([running, queued, later]);
    assert.deepEqual(outcomes.map(reasonOf), [
      "answer",
      "evacuated",
      "evacuated",
    ]);
    for (const outcome of outcomes.slice(1)) {
      assert.ok(outcome.type === "refused" && !outcome.reachedInstance);
      assert.ok(outcome.retryAfter > 0);
    }
    await sleep(2 * WORK_MS);
    assert.deepEqual(received, ["running"]);
    assert.deepEqual(refusals, ["evacuated", "evacuated"]);
    assert.equal(gate.isServing, false);
    assert.equal(changes, 1, "callers learn of it at once");
  });

  // Guards against a full load on an instance that has become cold while it got no calls.
  test("is bound like a cold one after it was taken back, until its next report", async (context) => {
    const { gate, offer, evacuate, report, received, eventsOf } =
      await startGate(context);
    evacuate(true);
    evacuate(false);
    assert.equal(gate.isServing, true);
    assert.equal(gate.coldLimit, COLD_START.requestsPerSecond);
    const calls = Array.from({ length: 5 }, (_, index) => offer(`c-${index}`));
    // Three may start within a quarter of a second.
    await sleep(230);
    assert.ok(received.length <= 3);
    report(0);
    await Promise.all(calls);
    assert.equal(eventsOf("gate.cold-limit").length, 1);
    assert.equal(eventsOf("gate.cold-limit")[0].fields.cause, "restored");
  });
});

// Guards against callers that go on sending to a cold instance until the next regular status.
test("a gate tells callers at once what its cold instance takes, and when the bound ends", async (context) => {
  const { gate, report, offer, eventsOf } = await startGate(context);
  const limits: number[] = [];
  gate.onChanged(() => limits.push(gate.load.limit));
  report(1_000);
  assert.deepEqual(limits, [0.5], "10 calls a second of 50 ms");
  assert.ok(gate.load.running < gate.load.limit);
  await Promise.all(["first", "second", "third"].map(offer));
  // Three calls in a quarter of a second are what the bound allows: there is no room although nothing runs.
  assert.ok(gate.load.running >= gate.load.limit);
  report(0);
  assert.equal(limits.length, 2);
  assert.ok(limits[1] >= limits[0]);
  assert.deepEqual(
    eventsOf("gate.cold-limit").map(({ fields }) => fields.perSecond),
    [10],
  );
});
