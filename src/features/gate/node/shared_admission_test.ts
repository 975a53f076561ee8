import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { VirtualClock } from "../../../base/common/clock.ts";
import { SILENT_LOG } from "../../../base/common/event_log.ts";
import {
  createFixtureReport,
  createFixtureRequest,
  FIXTURE_HEADERS,
} from "../common/gate_fixture.ts";
import type { GateRequest } from "../common/gate_call.ts";
import type { GateCall } from "../common/gate_call_state.ts";
import { createInstanceCondition } from "../common/instance_condition.ts";
import { NO_NOTICES } from "../common/instance_notices.ts";
import { type CallAdmission, createCallAdmission } from "./call_admission.ts";

/** Admission to an instance whose calls end when the test says so. */
function createAdmission(
  slots: number,
  sharesByAccount: () => boolean,
) {
  const clock = new VirtualClock();
  const started: string[] = [];
  const running = new Set<GateCall>();
  const condition = createInstanceCondition({
    clock,
    heartbeatMilliseconds: 100_000,
  });
  const report = createFixtureReport({ port: 1, slots });
  condition.tracker.applyReport(report);
  condition.recordReport(report, clock.now());
  const admission: CallAdmission = createCallAdmission({
    clock,
    log: SILENT_LOG,
    headers: FIXTURE_HEADERS,
    heartbeatMilliseconds: 100_000,
    readNotices: () => NO_NOTICES,
    afterStall: (callback) => callback(),
    sharesByAccount,
  }, {
    condition,
    dispatch: () => ({
      running,
      start(call) {
        call.timer?.dispose();
        call.state = "running";
        call.startedAt = clock.now();
        running.add(call);
        started.push(call.identity);
      },
      closeIdleConnections() {},
      dispose() {},
    }),
  });

  function offer(
    account: string,
    identity: string,
    fields: Partial<GateRequest> = {},
  ): void {
    const request = createFixtureRequest(identity, 60_000);
    admission.offer({ ...request, account, ...fields }, () => {});
  }

  /** Ends the running calls after this time. */
  function end(duration: number): void {
    clock.advance(duration);
    for (const call of running) {
      running.delete(call);
      call.state = "ended";
      admission.recordEnd(call, clock.now());
    }
    admission.startQueued();
  }

  return { admission, started, offer, end };
}

describe("accounts that are removed from the configuration while a call runs", () => {
  // Guards against state of an account that counts a call as running forever and is never forgotten.
  test("have the slot time of the call once they are configured again", () => {
    let sharesByAccount = true;
    const { admission, started, offer, end } = createAdmission(
      1,
      () => sharesByAccount,
    );
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

describe("a slot that is kept from a queued long call", () => {
  // Guards against calls that are refused or wait for the next sweep beside a free slot.
  test("is used at once by a short call that is behind the long one in the queue", () => {
    const { admission, started, offer, end } = createAdmission(4, () => true);
    for (let index = 0; index < 60; index += 1) {
      offer("urgent", `urgent-${index}`, {
        rank: 0,
        meanServiceMilliseconds: 30,
        objectiveInMilliseconds: 100,
        deadlineInMilliseconds: 100,
      });
      end(30);
    }
    const short = { meanServiceMilliseconds: 30 };
    for (let index = 0; index < 20; index += 1) {
      offer("short", `short-${index}`, short);
      end(30);
    }
    for (let index = 0; index < 4; index += 1) {
      offer(`long-${index}`, `long-${index}`, { meanServiceMilliseconds: 500 });
    }
    assert.equal(started.at(-1), "long-2");
    assert.equal(admission.waiting, 1);
    offer("short", "last", {
      ...short,
      objectiveInMilliseconds: 60,
      deadlineInMilliseconds: 60,
    });
    assert.equal(started.at(-1), "last");
    assert.equal(admission.waiting, 1);
    admission.dispose();
  });
});
