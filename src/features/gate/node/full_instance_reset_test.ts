import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { describe, test } from "node:test";
import { Clock } from "../../../base/common/clock.ts";
import { SILENT_LOG } from "../../../base/common/event_log.ts";
import { MONOTONIC_CLOCK } from "../../../base/node/system_clock.ts";
import type { GateOutcome } from "../common/gate_call.ts";
import {
  createFixtureReport,
  createFixtureRequest,
  FIXTURE_HEADERS,
} from "../common/gate_fixture.ts";
import { NO_NOTICES } from "../common/instance_notices.ts";
import { createGate } from "./gate.ts";

const ANNOUNCED_SLOTS = 2;
const DEADLINE_MS = 5_000;

/** Shows a twentieth of the time that passes, so that a reset counts as immediate on a busy computer too. */
class SlowClock extends Clock {
  override now = () => MONOTONIC_CLOCK.now() / 20;
  override schedule = (delay: number, callback: () => void) =>
    MONOTONIC_CLOCK.schedule(delay, callback);
}

/** Offers two unsafe calls to an instance that takes one at a time and resets the other. */
async function offerTwo(
  sharesByAccount: boolean,
  onEnd: (dispose: () => void) => void,
) {
  let running = 0;
  const server = createServer((request, response) => {
    if (running > 0) {
      request.socket.resetAndDestroy();
      return;
    }
    running += 1;
    setTimeout(() => {
      running -= 1;
      response.setHeader("x-request", String(request.headers["x-request"]));
      response.end("done");
    }, 200);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const gate = createGate({
    clock: new SlowClock(),
    log: SILENT_LOG,
    headers: FIXTURE_HEADERS,
    readNotices: () => NO_NOTICES,
    heartbeatMilliseconds: 5_000,
    afterStall: (callback) => callback(),
    sharesByAccount: () => sharesByAccount,
  });
  onEnd(() => {
    gate.dispose();
    server.closeAllConnections();
    server.close();
  });
  gate.applyReport(createFixtureReport({ port, slots: ANNOUNCED_SLOTS }));
  const outcomes = await Promise.all(
    ["first", "second"].map((identity) =>
      new Promise<GateOutcome>((resolve) =>
        gate.offer(
          { ...createFixtureRequest(identity, DEADLINE_MS), method: "POST" },
          resolve,
        )
      )
    ),
  );
  return { gate, outcomes };
}

describe("an instance resets a call that it has no room for", () => {
  for (const sharesByAccount of [false, true]) {
    const accounts = sharesByAccount ? "with" : "without";
    test(`${accounts} accounts the call counts as one that may have run`, async (context) => {
      const { gate, outcomes } = await offerTwo(
        sharesByAccount,
        (dispose) => context.after(dispose),
      );
      assert.deepEqual(
        outcomes.map(({ type }) => type).sort(),
        ["answer", "failed"],
      );
      assert.equal(gate.isServing, true);
    });
  }

  test("with accounts the gate sends it fewer calls at a time", async (context) => {
    const { gate } = await offerTwo(true, (dispose) => context.after(dispose));
    assert.equal(gate.load.limit, ANNOUNCED_SLOTS - 1);
  });

  test("without accounts the gate keeps to the announced slots", async (context) => {
    const { gate } = await offerTwo(false, (dispose) => context.after(dispose));
    assert.equal(gate.load.limit, ANNOUNCED_SLOTS);
  });
});
