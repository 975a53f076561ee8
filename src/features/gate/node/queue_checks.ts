/**
 * Checks queued calls as time passes: starts those for which there is room, and refuses or returns those that
 * would start too late.
 *
 * @module
 */

import type { Disposable } from "../../../base/common/disposable.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import { estimateQueueWait } from "../common/admission_decision.ts";
import { isDeadlineUnmeetable } from "../common/call_queue.ts";
import { isReturned } from "../common/call_return.ts";
import type { GateCall } from "../common/gate_call_state.ts";
import type { InstanceCondition } from "../common/instance_condition.ts";
import type { InstanceRoom } from "../common/instance_room.ts";
import type { RefuseCall } from "./call_refusal.ts";
import type { GateOptions } from "./gate_options.ts";

/** The interval of the checks for queued calls that can no longer meet their deadline. */
const SWEEP_INTERVAL_MS: Milliseconds = 40;

export interface QueueChecks extends Disposable {
  /** Queues a call. */
  enqueue(call: GateCall, now: Milliseconds): void;
  /** Starts queued calls while there is room; called when a slot may be free. */
  startQueued(): void;
}

export function createQueueChecks(
  { clock, afterStall }: Pick<GateOptions, "clock" | "afterStall">,
  { condition, room, start, refuse }: {
    readonly condition: InstanceCondition;
    readonly room: InstanceRoom;
    readonly start: (call: GateCall) => void;
    readonly refuse: RefuseCall;
  },
): QueueChecks {
  const { queue } = room;
  const { requestRate } = condition;
  let sweepTimer: Disposable | undefined;
  let rateTimer: Disposable | undefined;

  function estimateWait(
    call: GateCall,
    ahead: number,
    samePriorityAhead: number,
    now: Milliseconds,
  ): Milliseconds {
    const position = { ahead, countSamePriorityAhead: () => samePriorityAhead };
    return estimateQueueWait(room.describeLoad(call, position, now));
  }

  function sweep(): void {
    sweepTimer = undefined;
    const now = clock.now();
    const unmeetable = queue.removeUnmeetableAfterWait(
      now,
      (call, ahead, samePriorityAhead) =>
        estimateWait(call, ahead, samePriorityAhead, now),
    );
    for (const call of unmeetable) {
      refuse(call, "hopeless", condition.meanServiceTime);
    }
    // Without a speed, the expected wait of a queued call changes little after its arrival.
    if (condition.momentarySpeed.current(now) !== undefined) {
      returnQueued(now);
    }
    if (room.isShared) {
      // The slots that long calls may use grow when fewer urgent calls arrive.
      startQueued();
    }
    scheduleSweep();
  }

  function returnQueued(now: Milliseconds): void {
    const returned = queue.removeInOrder(
      now,
      (call, ahead, samePriorityAhead) =>
        call.request.mayBeReturned === true && isReturned({
          waited: now - call.startedAt,
          expectedWait: estimateWait(call, ahead, samePriorityAhead, now),
          objective: call.request.objectiveInMilliseconds,
        }),
    );
    for (const call of returned) {
      refuse(
        call,
        room.recordRefused(call, now),
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

  function scheduleDeadlineCheck(call: GateCall, now: Milliseconds): void {
    const delay = call.deadlineAt - now - call.expectedMilliseconds / 2;
    call.timer = clock.schedule(Math.max(0, delay) + 1, () => {
      if (call.state === "waiting" && isDeadlineUnmeetable(call, clock.now())) {
        queue.remove(call.identity);
        refuse(call, "hopeless", condition.meanServiceTime);
      }
    });
  }

  /** Clients that left during a stall of the event loop are known once its input is processed. */
  function startQueued(): void {
    if (queue.size > 0) {
      afterStall(startWaiting);
    }
  }

  function startWaiting(): void {
    while (queue.size > 0 && room.hasFreeSlot) {
      const now = clock.now();
      for (const unmeetable of queue.removeUnmeetable(now)) {
        refuse(unmeetable, "hopeless", condition.meanServiceTime);
      }
      const rateWait = requestRate.timeUntil(1, now);
      if (rateWait > 0) {
        scheduleRateWait(rateWait);
        return;
      }
      const next = queue.dequeue(now, (call) => room.mayStart(call, now));
      if (next === undefined) {
        return;
      }
      start(next);
    }
  }

  function scheduleRateWait(delay: Milliseconds): void {
    rateTimer ??= clock.schedule(delay, () => {
      rateTimer = undefined;
      startQueued();
    });
  }

  return {
    enqueue(call, now) {
      queue.enqueue(call);
      scheduleDeadlineCheck(call, now);
      scheduleSweep();
      if (requestRate.limit !== undefined) {
        scheduleRateWait(requestRate.timeUntil(1, now));
      }
    },
    startQueued,
    dispose() {
      sweepTimer?.dispose();
      rateTimer?.dispose();
    },
  };
}
