/**
 * A gate and its instance in the replay of shared room.
 *
 * @module
 */

import type { VirtualClock } from "../../../base/common/clock.ts";
import { SILENT_LOG } from "../../../base/common/event_log.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import {
  createFixtureReport,
  FIXTURE_HEADERS,
} from "../common/gate_fixture.ts";
import type { GateCall } from "../common/gate_call_state.ts";
import { createInstanceCondition } from "../common/instance_condition.ts";
import { NO_NOTICES } from "../common/instance_notices.ts";
import type { NestedRefusals } from "../common/nested_refusals.ts";
import { type CallAdmission, createCallAdmission } from "./call_admission.ts";

export const SLOTS = 4;

export interface ReplayGate {
  readonly admission: CallAdmission;
  readonly speed: number;
  reportedLoad: number;
  readonly running: Set<GateCall>;
}

export type RunResult = "served" | "nested-refused" | "shed";

export type RunCall = (
  call: GateCall,
  gate: ReplayGate,
  done: (result: RunResult) => void,
) => void;

export interface ReplayGateOptions {
  readonly clock: VirtualClock;
  /** The work that the instance does in a given time, as a multiple of the usual. */
  readonly speed: number;
  readonly heartbeatMilliseconds: Milliseconds;
  readonly sharesByAccount: boolean;
  readonly nestedRefusals?: NestedRefusals;
  readonly run: RunCall;
}

export function createReplayGate(
  { clock, speed, heartbeatMilliseconds, sharesByAccount, nestedRefusals, run }:
    ReplayGateOptions,
): ReplayGate {
  const condition = createInstanceCondition({
    clock,
    heartbeatMilliseconds,
  });
  const report = createFixtureReport({ port: 1, slots: SLOTS });
  condition.tracker.applyReport(report);
  condition.recordReport(report, clock.now());
  const running = new Set<GateCall>();
  const admission: CallAdmission = createCallAdmission({
    clock,
    log: SILENT_LOG,
    headers: FIXTURE_HEADERS,
    heartbeatMilliseconds,
    readNotices: () => NO_NOTICES,
    afterStall: (callback) => callback(),
    sharesByAccount: () => sharesByAccount,
  }, {
    condition,
    dispatch: () => ({
      running,
      start,
      closeIdleConnections() {},
      dispose() {},
    }),
    nestedRefusals,
  });

  function start(call: GateCall): void {
    call.timer?.dispose();
    call.state = "running";
    call.startedAt = clock.now();
    running.add(call);
    run(call, gate, (result) => {
      const now = clock.now();
      const wasNestedRefused = result === "nested-refused";
      call.state = "ended";
      call.wasNestedRefused = wasNestedRefused;
      running.delete(call);
      admission.recordEnd(call, now);
      const { request } = call;
      if (result === "served") {
        condition.recordServed(request, { startedAt: call.startedAt, now });
      }
      call.settle(
        result === "shed"
          ? {
            type: "refused",
            reason: "instance-refused",
            retryAfter: condition.meanServiceTime,
            reachedInstance: true,
          }
          : {
            type: "answer",
            status: wasNestedRefused ? 500 : 200,
            rawHeaders: [],
            body: new Uint8Array(),
            serviceMilliseconds: now - call.startedAt,
            wasNestedRefused,
          },
      );
      admission.startQueued();
    });
  }

  const gate: ReplayGate = { admission, speed, reportedLoad: 0, running };
  return gate;
}
