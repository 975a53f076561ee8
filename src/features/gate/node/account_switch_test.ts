import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { VirtualClock } from "../../../base/common/clock.ts";
import { SILENT_LOG } from "../../../base/common/event_log.ts";
import {
  createFixtureReport,
  createFixtureRequest,
  FIXTURE_HEADERS,
} from "../common/gate_fixture.ts";
import type { GateCall } from "../common/gate_call_state.ts";
import { createInstanceCondition } from "../common/instance_condition.ts";
import { NO_NOTICES } from "../common/instance_notices.ts";
import { type CallAdmission, createCallAdmission } from "./call_admission.ts";

describe("accounts that are removed from the configuration while a call runs", () => {
  // Guards against state of an account that counts a call as running forever and is never forgotten.
  test("have the slot time of the call once they are configured again", () => {
    const clock = new VirtualClock();
    const started: string[] = [];
    const running = new Set<GateCall>();
    let sharesByAccount = true;
    const condition = createInstanceCondition({
      clock,
      heartbeatMilliseconds: 100_000,
    });
    const report = createFixtureReport({ port: 1, slots: 1 });
    condition.tracker.applyReport(report);
    condition.recordReport(report, clock.now());
    const admission: CallAdmission = createCallAdmission({
      clock,
      log: SILENT_LOG,
      headers: FIXTURE_HEADERS,
      heartbeatMilliseconds: 100_000,
      readNotices: () => NO_NOTICES,
      afterStall: (callback) => callback(),
      sharesByAccount: () => sharesByAccount,
    }, {
      condition,
      dispatch: () => ({
        running,
        start(call) {
          call.state = "running";
          call.startedAt = clock.now();
          running.add(call);
          started.push(call.identity);
        },
        closeIdleConnections() {},
        dispose() {},
      }),
    });

    function offer(account: string, identity: string): void {
      const request = createFixtureRequest(identity, 60_000);
      admission.offer({ ...request, account }, () => {});
    }

    function end(duration: number): void {
      clock.advance(duration);
      for (const call of running) {
        running.delete(call);
        call.state = "ended";
        admission.recordEnd(call, clock.now());
      }
      admission.startQueued();
    }

    offer("slow", "slow-1");
    sharesByAccount = false;
    end(2_000);
    sharesByAccount = true;
    for (const identity of ["quick-1", "quick-2", "quick-3"]) {
      offer("quick", identity);
      end(20);
    }
    offer("other", "other-1");
    offer("slow", "slow-2");
    offer("quick", "quick-4");
    end(20);
    assert.deepEqual(started.slice(-2), ["other-1", "quick-4"]);
    admission.dispose();
  });
});
