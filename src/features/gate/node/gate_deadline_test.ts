import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { Clock } from "../../../base/common/clock.ts";
import { SILENT_LOG } from "../../../base/common/event_log.ts";
import { MONOTONIC_CLOCK } from "../../../base/node/system_clock.ts";
import {
  DEADLINE_EXCEEDED_REASON,
  type GateOutcome,
} from "../common/gate_call.ts";
import { NO_NOTICES } from "../common/instance_notices.ts";
import { createGate } from "./gate.ts";
import {
  createFixtureReport,
  createFixtureRequest,
  FIXTURE_HEADERS,
} from "../common/gate_fixture.ts";

const EARLY_MS = 3;
const DEADLINE_MS = 100;

/** Fires timers early, as happens because Node truncates timer delays to whole milliseconds. */
class EarlyTimerClock extends Clock {
  override now() {
    return MONOTONIC_CLOCK.now();
  }

  override schedule(delay: number, callback: () => void) {
    return MONOTONIC_CLOCK.schedule(delay - EARLY_MS, callback);
  }
}

test(
  "a call aborted at its deadline fails with the deadline reason, even if the timer fired early",
  {
    timeout: 10_000,
  },
  async (context) => {
    const server = createServer(() => {});
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    const { port } = server.address() as AddressInfo;
    const gate = createGate({
      clock: new EarlyTimerClock(),
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
    gate.applyReport(createFixtureReport({ port, slots: 1 }));
    const outcome = await new Promise<GateOutcome>((resolve) => {
      gate.offer(createFixtureRequest("late", DEADLINE_MS), resolve);
    });
    assert.deepEqual(outcome, {
      type: "failed",
      reason: DEADLINE_EXCEEDED_REASON,
    });
  },
);
