/**
 * Admits offered calls: starts, queues or refuses them.
 *
 * @module
 */

import type { Disposable } from "../../../base/common/disposable.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { InstanceReport } from "../../../world/common/mesh_instance.ts";
import {
  decideAdmission,
  estimateQueueWait,
} from "../common/admission_decision.ts";
import { isReturned } from "../common/call_return.ts";
import type { CallHandle } from "../common/gate.ts";
import type {
  GateOutcome,
  GateRequest,
  RefusalReason,
} from "../common/gate_call.ts";
import {
  canRun,
  createGateCall,
  type GateCall,
} from "../common/gate_call_state.ts";
import type { InstanceCondition } from "../common/instance_condition.ts";
import { createInstanceRoom } from "../common/instance_room.ts";
import {
  createNestedRefusals,
  NESTED_RETRY_AFTER_MS,
} from "../common/nested_refusals.ts";
import type { CallDispatch } from "./call_dispatch.ts";
import { createCallRefusal } from "./call_refusal.ts";
import type { GateOptions } from "./gate_options.ts";
import { createQueueChecks } from "./queue_checks.ts";

export interface CallAdmission extends Disposable {
  /** The number of queued calls. */
  readonly waiting: number;
  offer(
    request: GateRequest,
    settle: (outcome: GateOutcome) => void,
  ): CallHandle;
  /** Records a call that has left the instance. */
  recordEnd(call: GateCall, now: Milliseconds): void;
  /** Returns log fields: the slots kept for urgent calls and the accounts that wait; none without accounts. */
  describeSharing(): {
    readonly reserved?: number;
    readonly accountsWaiting?: number;
  };
  /** Starts queued calls while there is room; called when a slot may be free. */
  startQueued(): void;
  refuseQueued(reason: RefusalReason): void;
  /** Refuses the queued calls that the instance cannot run; they were accepted for the one before it. */
  refuseQueuedForOthers(instance: InstanceReport): void;
  /** Returns the number of offers refused for lack of capacity since the last call. */
  takeRefusedCount(): number;
}

export function createCallAdmission(
  options: GateOptions,
  { condition, dispatch }: {
    readonly condition: InstanceCondition;
    readonly dispatch: () => CallDispatch;
  },
): CallAdmission {
  const { clock, log, isEvacuated = () => false } = options;
  const room = createInstanceRoom({
    ...options,
    condition,
    running: () => dispatch().running,
  });
  const { queue } = room;
  const refuse = createCallRefusal(log);
  const queueChecks = createQueueChecks(options, {
    condition,
    room,
    start,
    refuse,
  });
  const nestedRefusals = createNestedRefusals();
  let refusedCount = 0;

  function offer(
    request: GateRequest,
    settle: (outcome: GateOutcome) => void,
  ): CallHandle {
    const now = clock.now();
    const call = createGateCall({
      request,
      settle,
      expectedMilliseconds: condition.expectServiceTime(request, now),
      now,
    });
    const refusalReason = findRefusalReason(request);
    if (refusalReason !== undefined) {
      refuse(call, refusalReason);
      return { cancel() {} };
    }
    const load = room.describeLoad(call, room.findPosition(call, now), now);
    const decision = decideAdmission(call, load, now);
    const expectedWait = decision.type === "wait" ? estimateQueueWait(load) : 0;
    const isWaitTooLong = request.mayBeReturned === true && isReturned({
      waited: 0,
      expectedWait,
      objective: request.objectiveInMilliseconds,
    });
    // After the other decisions, so that calls without room do not use up the refusals of those with room.
    if (
      room.isShared && decision.type !== "refuse" && !isWaitTooLong &&
      nestedRefusals.takeRefusal(request.route, now)
    ) {
      refuse(call, "nested-refused", NESTED_RETRY_AFTER_MS);
      return { cancel() {} };
    }
    room.recordOffered(call, now);
    if (isWaitTooLong) {
      refuse(call, room.recordRefused(call, now), expectedWait);
      return { cancel() {} };
    }
    if (decision.type !== "refuse") {
      room.recordAdmitted(call, now);
    }
    switch (decision.type) {
      case "refuse":
        refusedCount += 1;
        refuse(call, room.recordRefused(call, now), decision.retryAfter);
        break;
      case "start":
        start(call);
        break;
      case "wait":
        queueChecks.enqueue(call, now);
        break;
    }
    return { cancel: () => cancel(call) };
  }

  function findRefusalReason(request: GateRequest): RefusalReason | undefined {
    // Before all else, so that the reason tells why the instance gets no calls.
    if (isEvacuated()) {
      return "evacuated";
    }
    const { instance } = condition.tracker;
    if (instance === undefined) {
      return "no-instance";
    }
    if (instance.state !== "ready") {
      return "leaving";
    }
    if (!canRun(instance, request)) {
      return "other-service";
    }
    return condition.isServing ? undefined : "unreachable";
  }

  function start(call: GateCall): void {
    room.recordStart(call, clock.now());
    dispatch().start(call);
  }

  function cancel(call: GateCall): void {
    if (call.state === "waiting") {
      queue.remove(call.identity);
      refuse(call, "cancelled");
    } else if (call.state === "running") {
      call.isCancelled = true;
      call.connection?.dispose();
    }
  }

  function refuseQueued(reason: RefusalReason): void {
    for (const call of queue.removeAll()) {
      refuse(call, reason);
    }
  }

  return {
    get waiting() {
      return queue.size;
    },
    offer,
    recordEnd(call, now) {
      room.recordEnd(call, now);
      if (room.isShared && !call.isCancelled) {
        nestedRefusals.recordRun(
          call.request.route,
          call.wasNestedRefused,
          now,
        );
      }
    },
    describeSharing: room.describeSharing,
    startQueued: queueChecks.startQueued,
    refuseQueued,
    refuseQueuedForOthers(instance) {
      const others = queue.removeWhere(({ request }) =>
        !canRun(instance, request)
      );
      for (const call of others) {
        refuse(call, "other-service");
      }
    },
    takeRefusedCount() {
      const count = refusedCount;
      refusedCount = 0;
      return count;
    },
    dispose() {
      queueChecks.dispose();
      refuseQueued("cancelled");
    },
  };
}
