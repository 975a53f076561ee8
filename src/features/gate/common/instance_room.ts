/**
 * The room of the instance: the calls that run and wait there, and what a further call may use of it.
 *
 * Load pattern: more calls than the instance can serve. Without client accounts, calls share the slots by priority
 * alone; with them, also by the slots that long calls leave to urgent ones and by the shares of accounts
 * (`shared_room.ts`). Accounts may be added to and removed from the configuration while calls run.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { AccountWeights } from "./account_shares.ts";
import type { GateLoad } from "./admission_decision.ts";
import {
  type CallQueue,
  compareCalls,
  comparePriority,
  createCallQueue,
} from "./call_queue.ts";
import type { RefusalReason } from "./gate_call.ts";
import type { GateCall } from "./gate_call_state.ts";
import type { InstanceCondition } from "./instance_condition.ts";
import { createPriorityLoad } from "./priority_load.ts";
import { createSharedRoom } from "./shared_room.ts";

export interface QueuePosition {
  /** The queued calls that start before the call. */
  readonly ahead: number;
  /** Counts those of them that have the same priority. */
  readonly countSamePriorityAhead: () => number;
}

export interface InstanceRoom {
  readonly queue: CallQueue<GateCall>;
  /** Whether client accounts share the room. */
  readonly isShared: boolean;
  readonly hasFreeSlot: boolean;
  /** Finds the place in the queue of a call that is offered; it has none ahead if it may use a free slot first. */
  findPosition(call: GateCall, now: Milliseconds): QueuePosition;
  /** Describes the load of the instance for a call in this position. */
  describeLoad(
    call: GateCall,
    position: QueuePosition,
    now: Milliseconds,
  ): GateLoad;
  /** Whether the call may use one of the free slots. */
  mayStart(call: GateCall, now: Milliseconds): boolean;
  recordOffered(call: GateCall, now: Milliseconds): void;
  recordAdmitted(call: GateCall, now: Milliseconds): void;
  /** Records that there is no room for the call; returns the reason to refuse it. */
  recordRefused(call: GateCall, now: Milliseconds): RefusalReason;
  recordStart(call: GateCall, now: Milliseconds): void;
  recordEnd(call: GateCall, now: Milliseconds): void;
  /** Returns log fields: the slots kept for urgent calls and the accounts that wait; none without accounts. */
  describeSharing(): {
    readonly reserved?: number;
    readonly accountsWaiting?: number;
  };
}

export function createInstanceRoom(
  { condition, running, sharesByAccount = () => false, weighAccount }: {
    readonly condition: InstanceCondition;
    /** The calls that the instance runs. */
    readonly running: () => ReadonlySet<GateCall>;
    readonly sharesByAccount?: () => boolean;
    readonly weighAccount?: AccountWeights;
  },
): InstanceRoom {
  const { requestRate } = condition;
  const sharedRoom = createSharedRoom(weighAccount);
  const priorityLoad = createPriorityLoad();
  const queue = createCallQueue<GateCall>((calls, now) =>
    sharesByAccount()
      ? sharedRoom.shares.createOrder(calls, now)
      : (left, right) => compareCalls(left, right, now)
  );

  function hasFreeSlot(): boolean {
    return running().size < condition.limit;
  }

  function mayStart(call: GateCall, now: Milliseconds): boolean {
    return !sharesByAccount() ||
      sharedRoom.mayStart(call, {
        running: running(),
        limit: condition.limit,
      }, now);
  }

  /** Lists the queued calls before this one; none if it may use a free slot and none of them may. */
  function listAhead(call: GateCall, now: Milliseconds): readonly GateCall[] {
    const ahead = queue.listAhead(call, now);
    return ahead.length > 0 && sharesByAccount() && hasFreeSlot() &&
        mayStart(call, now) && !ahead.some((other) => mayStart(other, now))
      ? []
      : ahead;
  }

  return {
    queue,
    get isShared() {
      return sharesByAccount();
    },
    get hasFreeSlot() {
      return hasFreeSlot();
    },
    findPosition(call, now) {
      const ahead = listAhead(call, now);
      return {
        ahead: ahead.length,
        countSamePriorityAhead: () =>
          ahead.filter((other) => comparePriority(other, call) === 0).length,
      };
    },
    describeLoad(call, { ahead, countSamePriorityAhead }, now) {
      if (sharesByAccount()) {
        return sharedRoom.describeLoad(call, {
          running: running(),
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
        running: running().size,
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
    },
    mayStart,
    recordOffered(call, now) {
      if (sharesByAccount()) {
        sharedRoom.recordOffered(call, now);
      }
    },
    recordAdmitted(call, now) {
      priorityLoad.record(call, now);
      if (sharesByAccount()) {
        sharedRoom.recordAdmitted(call, now);
      }
    },
    recordRefused: (call, now) =>
      sharesByAccount() ? sharedRoom.recordRefused(call, now) : "full",
    recordStart(call, now) {
      if (sharesByAccount()) {
        sharedRoom.shares.recordStart(call, now);
      }
    },
    recordEnd(call, now) {
      // Also without accounts: they may have been removed from the configuration since the call started.
      sharedRoom.shares.recordEnd(call, now - call.startedAt);
    },
    describeSharing: () =>
      sharesByAccount()
        ? {
          reserved: sharedRoom.reservedSlots,
          accountsWaiting: queue.countAccounts(),
        }
        : {},
  };
}
