/**
 * Admits offered calls: starts, queues or refuses them, and starts queued calls when there is room.
 *
 * @module
 */

import type { Disposable } from "../../../base/common/disposable.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { InstanceReport } from "../../../world/common/mesh_instance.ts";
import {
  decideAdmission,
  estimateQueueWait,
  type GateLoad,
} from "../common/admission_decision.ts";
import {
  compareCalls,
  createCallQueue,
  isDeadlineUnmeetable,
} from "../common/call_queue.ts";
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
import {
  createNestedRefusals,
  NESTED_RETRY_AFTER_MS,
} from "../common/nested_refusals.ts";
import { createPriorityLoad } from "../common/priority_load.ts";
import { createSharedRoom } from "../common/shared_room.ts";
import { type CallDispatch, runStep } from "./call_dispatch.ts";
import type { GateOptions } from "./gate_options.ts";

/** An evacuation lasts seconds at least; its calls are served in other failure domains if there are any. */
const EVACUATED_RETRY_MS: Milliseconds = 1_000;
/** The interval of the checks for queued calls that can no longer meet their deadline. */
const SWEEP_INTERVAL_MS: Milliseconds = 40;

function retryAfterOf(reason: RefusalReason): Milliseconds {
  return reason === "evacuated" ? EVACUATED_RETRY_MS : 0;
}

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
  {
    clock,
    log,
    afterStall,
    sharesByAccount = () => false,
    weighAccount,
    isEvacuated = () => false,
  }: GateOptions,
  { condition, dispatch }: {
    readonly condition: InstanceCondition;
    readonly dispatch: () => CallDispatch;
  },
): CallAdmission {
  const sharedRoom = createSharedRoom(weighAccount);
  const nestedRefusals = createNestedRefusals();
  const queue = createCallQueue<GateCall>((calls, now) =>
    sharesByAccount()
      ? sharedRoom.shares.createOrder(calls, now)
      : (left, right) => compareCalls(left, right, now)
  );
  const priorityLoad = createPriorityLoad();
  const { requestRate } = condition;
  let sweepTimer: Disposable | undefined;
  let rateTimer: Disposable | undefined;
  let refusedCount = 0;

  function describeLoad(
    call: GateCall,
    ahead: number,
    countSamePriorityAhead: () => number,
    now: Milliseconds,
  ): GateLoad {
    if (sharesByAccount()) {
      return sharedRoom.describeLoad(call, {
        running: dispatch().running,
        limit: condition.limit,
        capacity: condition.capacity,
        ahead,
        countSamePriorityAhead,
        meanMilliseconds: condition.currentMeanServiceTime(now),
        rateWait: requestRate.timeUntil(ahead + 1, now),
      }, now);
    }
    return {
      limit: condition.limit,
      meanMilliseconds: condition.currentMeanServiceTime(now),
      running: dispatch().running.size,
      ahead,
      rateWait: requestRate.timeUntil(ahead + 1, now),
      higherPriorityLoad: priorityLoad.estimateHigherPriorityLoad(
        call,
        {
          limit: condition.capacity,
          meanMilliseconds: condition.currentMeanServiceTime(now),
        },
        now,
      ),
    };
  }

  function sweep(): void {
    sweepTimer = undefined;
    const now = clock.now();
    const unmeetable = queue.removeUnmeetableAfterWait(
      now,
      (call, ahead, samePriorityAhead) =>
        estimateQueueWait(
          describeLoad(call, ahead, () => samePriorityAhead, now),
        ),
    );
    for (const call of unmeetable) {
      refuse(call, "hopeless", condition.meanServiceTime);
    }
    // Callers permit returns only to gates that report a speed.
    if (condition.momentarySpeed.current(now) !== undefined) {
      returnQueued(now);
    }
    if (sharesByAccount()) {
      // The slots that long calls may use grow when fewer urgent calls arrive.
      startWaiting();
    }
    scheduleSweep();
  }

  function returnQueued(now: Milliseconds): void {
    const returned = queue.removeInOrder(
      now,
      (call, ahead, samePriorityAhead) =>
        call.request.mayBeReturned === true && isReturned({
          waited: now - call.startedAt,
          expectedWait: estimateQueueWait(
            describeLoad(call, ahead, () => samePriorityAhead, now),
          ),
          objective: call.request.objectiveInMilliseconds,
        }),
    );
    for (const call of returned) {
      refuse(
        call,
        refusalReasonOf(call, now),
        condition.currentMeanServiceTime(now),
      );
    }
  }

  /** The timer runs only while calls are queued, so that it doesn't wake an idle process. */
  function scheduleSweep(): void {
    if (queue.size > 0) {
      sweepTimer ??= clock.schedule(SWEEP_INTERVAL_MS, sweep);
    }
  }

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
      refuse(call, refusalReason, retryAfterOf(refusalReason));
      return { cancel() {} };
    }
    const isShared = sharesByAccount();
    if (isShared && nestedRefusals.takeRefusal(request.route, now)) {
      refuse(call, "nested-refused", NESTED_RETRY_AFTER_MS);
      return { cancel() {} };
    }
    if (isShared) {
      sharedRoom.recordOffered(call, now);
    }
    const ahead = countAhead(call, now);
    const load = describeLoad(
      call,
      ahead,
      () => ahead === 0 ? 0 : queue.countSamePriorityAhead(call, now),
      now,
    );
    const decision = decideAdmission(call, load, now);
    const expectedWait = decision.type === "wait" ? estimateQueueWait(load) : 0;
    if (
      request.mayBeReturned === true && isReturned({
        waited: 0,
        expectedWait,
        objective: request.objectiveInMilliseconds,
      })
    ) {
      refuse(call, refusalReasonOf(call, now), expectedWait);
      return { cancel() {} };
    }
    if (decision.type !== "refuse") {
      priorityLoad.record(call, now);
      if (isShared) {
        sharedRoom.recordAdmitted(call, now);
      }
    }
    switch (decision.type) {
      case "refuse":
        refusedCount += 1;
        refuse(
          call,
          refusalReasonOf(call, now),
          decision.retryAfter,
        );
        break;
      case "start":
        start(call);
        break;
      case "wait":
        queue.enqueue(call);
        scheduleDeadlineCheck(call, now);
        scheduleSweep();
        if (requestRate.limit !== undefined) {
          scheduleRateWait(requestRate.timeUntil(1, now));
        }
        break;
    }
    return { cancel: () => cancel(call) };
  }

  /** Records that there is no room for the call where accounts share it; returns the reason. */
  function refusalReasonOf(call: GateCall, now: Milliseconds): RefusalReason {
    return sharesByAccount() ? sharedRoom.recordRefused(call, now) : "full";
  }

  /** Counts the queued calls before this one; 0 if it may use a free slot and none of them may. */
  function countAhead(call: GateCall, now: Milliseconds): number {
    const ahead = queue.size === 0 ? 0 : queue.countAhead(call, now);
    const hasFreeSlot = dispatch().running.size < condition.limit;
    return ahead > 0 && sharesByAccount() && hasFreeSlot &&
        mayStart(call, now) &&
        queue.countAhead(call, now, (other) => mayStart(other, now)) === 0
      ? 0
      : ahead;
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

  function scheduleDeadlineCheck(call: GateCall, now: Milliseconds): void {
    const delay = call.deadlineAt - now - call.expectedMilliseconds / 2;
    call.timer = clock.schedule(Math.max(0, delay) + 1, () => {
      if (call.state === "waiting" && isDeadlineUnmeetable(call, clock.now())) {
        queue.remove(call.identity);
        refuse(call, "hopeless", condition.meanServiceTime);
      }
    });
  }

  function start(call: GateCall): void {
    if (sharesByAccount()) {
      sharedRoom.shares.recordStart(call, clock.now());
    }
    dispatch().start(call);
  }

  function mayStart(call: GateCall, now: Milliseconds): boolean {
    return !sharesByAccount() ||
      sharedRoom.mayStart(call, {
        running: dispatch().running,
        limit: condition.limit,
      }, now);
  }

  function startWaiting(): void {
    while (queue.size > 0 && dispatch().running.size < condition.limit) {
      const now = clock.now();
      for (const unmeetable of queue.removeUnmeetable(now)) {
        refuse(unmeetable, "hopeless", condition.meanServiceTime);
      }
      const rateWait = requestRate.timeUntil(1, now);
      if (rateWait > 0) {
        scheduleRateWait(rateWait);
        return;
      }
      const next = queue.dequeue(now, (call) => mayStart(call, now));
      if (next === undefined) {
        return;
      }
      start(next);
    }
  }

  function scheduleRateWait(delay: Milliseconds): void {
    rateTimer ??= clock.schedule(delay, () => {
      rateTimer = undefined;
      startWaiting();
    });
  }

  function refuse(
    call: GateCall,
    reason: RefusalReason,
    retryAfter: Milliseconds = 0,
  ): void {
    call.timer?.dispose();
    call.state = "ended";
    runStep(log, call, () =>
      call.settle({
        type: "refused",
        reason,
        retryAfter,
        reachedInstance: false,
      }));
  }

  function refuseQueued(reason: RefusalReason): void {
    for (const call of queue.removeAll()) {
      refuse(call, reason, retryAfterOf(reason));
    }
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

  function refuseQueuedForOthers(instance: InstanceReport): void {
    const others = queue.removeWhere(({ request }) =>
      !canRun(instance, request)
    );
    for (const call of others) {
      refuse(call, "other-service");
    }
  }

  return {
    get waiting() {
      return queue.size;
    },
    offer,
    recordEnd(call, now) {
      // Also without accounts: they may have been removed from the configuration since the call started.
      sharedRoom.shares.recordEnd(call, now - call.startedAt);
      if (sharesByAccount() && !call.isCancelled) {
        nestedRefusals.recordRun(
          call.request.route,
          call.wasNestedRefused,
          now,
        );
      }
    },
    describeSharing() {
      return sharesByAccount()
        ? {
          reserved: sharedRoom.reservedSlots,
          accountsWaiting: queue.countAccounts(),
        }
        : {};
    },
    startQueued() {
      if (queue.size > 0) {
        afterStall(startWaiting);
      }
    },
    refuseQueued,
    refuseQueuedForOthers,
    takeRefusedCount() {
      const count = refusedCount;
      refusedCount = 0;
      return count;
    },
    dispose() {
      sweepTimer?.dispose();
      rateTimer?.dispose();
      refuseQueued("cancelled");
    },
  };
}
