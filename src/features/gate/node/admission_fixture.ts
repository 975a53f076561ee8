/**
 * Admission to an instance whose calls end when the test says so, or after a time that it draws.
 *
 * @module
 */

import { VirtualClock } from "../../../base/common/clock.ts";
import { SILENT_LOG } from "../../../base/common/event_log.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { CallHandle } from "../common/gate.ts";
import {
  createFixtureReport,
  createFixtureRequest,
  FIXTURE_HEADERS,
} from "../common/gate_fixture.ts";
import type { GateOutcome, GateRequest } from "../common/gate_call.ts";
import type { GateCall } from "../common/gate_call_state.ts";
import {
  createInstanceCondition,
  type InstanceCondition,
} from "../common/instance_condition.ts";
import { NO_NOTICES } from "../common/instance_notices.ts";
import { type CallAdmission, createCallAdmission } from "./call_admission.ts";
import type { GateOptions } from "./gate_options.ts";

export interface AdmissionFixture {
  readonly admission: CallAdmission;
  readonly clock: VirtualClock;
  readonly condition: InstanceCondition;
  /** The identities of the calls that were sent to the instance. */
  readonly started: readonly string[];
  /** Offers a call; returns its outcomes. */
  offer(
    account: string,
    identity: string,
    fields?: Partial<GateRequest>,
  ): readonly GateOutcome[];
  /** The handles of the offered calls, by identity. */
  readonly handles: ReadonlyMap<string, CallHandle>;
  /** Ends the running calls after this time. */
  end(
    duration: Milliseconds,
    options?: { readonly wasNestedRefused: boolean },
  ): void;
}

export function createAdmissionFixture(
  slots: number,
  {
    sharesByAccount = () => true,
    afterStall = (callback) => callback(),
    weighAccount,
    drawDuration,
  }:
    & Partial<
      Pick<GateOptions, "sharesByAccount" | "afterStall" | "weighAccount">
    >
    & {
      /** Draws how long a call runs; absent if calls end when the test says so. */
      readonly drawDuration?: () => Milliseconds;
    } = {},
): AdmissionFixture {
  const clock = new VirtualClock();
  const started: string[] = [];
  const running = new Set<GateCall>();
  const handles = new Map<string, CallHandle>();
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
    afterStall,
    sharesByAccount,
    weighAccount,
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
        if (drawDuration !== undefined) {
          clock.schedule(drawDuration(), () => answer(call));
        }
      },
      closeIdleConnections() {},
      dispose() {},
    }),
  });

  function answer(call: GateCall): void {
    const now = clock.now();
    running.delete(call);
    call.state = "ended";
    admission.recordEnd(call, now);
    condition.recordServed(call.request, { startedAt: call.startedAt, now });
    call.settle({
      type: "answer",
      status: 200,
      rawHeaders: [],
      body: new Uint8Array(),
      serviceMilliseconds: now - call.startedAt,
      wasNestedRefused: false,
    });
    admission.startQueued();
  }

  return {
    admission,
    clock,
    condition,
    started,
    handles,
    offer(account, identity, fields = {}) {
      const outcomes: GateOutcome[] = [];
      const request = createFixtureRequest(identity, 60_000);
      const handle = admission.offer(
        { ...request, account, ...fields },
        (outcome) => outcomes.push(outcome),
      );
      handles.set(identity, handle);
      return outcomes;
    },
    end(duration, { wasNestedRefused } = { wasNestedRefused: false }) {
      clock.advance(duration);
      for (const call of running) {
        running.delete(call);
        call.state = "ended";
        call.wasNestedRefused = wasNestedRefused;
        admission.recordEnd(call, clock.now());
      }
      admission.startQueued();
    },
  };
}
