/**
 * What calls may use of an instance where client accounts share its room: the slots that long calls leave to
 * urgent ones, and the order of the accounts.
 *
 * Load pattern: calls of several priorities, of very different service times and of many accounts are offered
 * to one instance of a few slots.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import {
  type AccountShares,
  type AccountWeights,
  createAccountShares,
} from "./account_shares.ts";
import type { GateLoad } from "./admission_decision.ts";
import { comparePriority, type QueueableCall } from "./call_queue.ts";
import { countUsableSlots } from "./slot_reservation.ts";
import { createUrgentWork } from "./urgent_work.ts";

/** The calls at the instance and before this one in the queue. */
export interface RoomInUse {
  readonly running: ReadonlySet<QueueableCall>;
  readonly limit: number;
  /** The calls that the instance can run at a time within its slots and its rate limit; may be below 1. */
  readonly capacity: number;
  readonly ahead: number;
  /** Counts the queued calls of the same priority before this one; needed for restricted calls only. */
  readonly countSamePriorityAhead: () => number;
  /** The mean service time of the instance, if no call runs. */
  readonly meanMilliseconds: Milliseconds;
  readonly rateWait: Milliseconds;
}

/**
 * For how long after a refusal an account above its share leaves a slot to others. Urgent short calls are
 * refused when they cannot start at once, and the next one of another account arrives within this time.
 */
const SCARCITY_MS: Milliseconds = 1_000;
const MAXIMUM_RANKS = 64;

export interface SharedRoom {
  /** Slots that were kept from the last call that was restricted; for the log. */
  readonly reservedSlots: number;
  readonly shares: AccountShares;
  recordOffered(call: QueueableCall, now: Milliseconds): void;
  recordAdmitted(call: QueueableCall, now: Milliseconds): void;
  /** Records a call that was refused because there is no room; returns the reason. */
  recordRefused(
    call: QueueableCall,
    now: Milliseconds,
  ): "full" | "above-share";
  /** Whether the call may use one of the free slots. */
  mayStart(
    call: QueueableCall,
    room: Pick<RoomInUse, "running" | "limit">,
    now: Milliseconds,
  ): boolean;
  describeLoad(
    call: QueueableCall,
    room: RoomInUse,
    now: Milliseconds,
  ): GateLoad;
}

export function createSharedRoom(weightOf?: AccountWeights): SharedRoom {
  const work = createUrgentWork();
  const shares = createAccountShares(weightOf);
  let reservedSlots = 0;
  /** When a call of an account within its share was last refused, by rank. */
  const refusedAt = new Map<number, Milliseconds>();

  /**
   * Whether the call leaves the last free slot to other accounts of its rank. A nested call does not, since its
   * refusal would waste the slot of its parent.
   */
  function leavesSlot(call: QueueableCall, now: Milliseconds): boolean {
    return !call.isNested &&
      now - (refusedAt.get(call.rank) ?? -Infinity) < SCARCITY_MS &&
      shares.isAboveShare(call, now);
  }

  /** Returns the slots in use that count against those which the call may use. */
  function listOccupants(
    call: QueueableCall,
    running: Iterable<QueueableCall>,
  ): QueueableCall[] {
    return [...running].filter((other) => comparePriority(other, call) >= 0);
  }

  return {
    get reservedSlots() {
      return reservedSlots;
    },
    shares,
    recordOffered(call, now) {
      work.recordOffered(call, now);
      shares.recordOffered(call, now);
    },
    recordAdmitted: work.recordAdmitted,
    recordRefused(call, now) {
      if (shares.isAboveShare(call, now)) {
        return "above-share";
      }
      if (refusedAt.size >= MAXIMUM_RANKS) {
        refusedAt.clear();
      }
      refusedAt.set(call.rank, now);
      return "full";
    },
    mayStart(call, { running, limit }, now) {
      if (limit > 1 && running.size >= limit - 1 && leavesSlot(call, now)) {
        return false;
      }
      const usable = countUsableSlots(
        limit,
        call.expectedMilliseconds,
        work.summarizeAbove(call, now),
      );
      return usable === limit || listOccupants(call, running).length < usable;
    },
    describeLoad(call, room, now) {
      const { running, limit, ahead, rateWait } = room;
      const urgent = work.summarizeAbove(call, now);
      const usable = countUsableSlots(
        limit,
        call.expectedMilliseconds,
        urgent,
      );
      reservedSlots = Math.max(0, limit - usable);
      const load = {
        running: running.size,
        limit: limit > 1 && leavesSlot(call, now) ? limit - 1 : limit,
        ahead,
        // Slots become free at the rate of the calls that hold them.
        meanMilliseconds: running.size === 0
          ? room.meanMilliseconds
          : meanHoldingTime(running),
        rateWait,
        higherPriorityLoad: urgent.admittedSlots /
          (room.capacity > 0 ? room.capacity : 1),
      };
      if (usable === limit) {
        return load;
      }
      const occupants = listOccupants(call, running);
      const missing = occupants.length + room.countSamePriorityAhead() -
        usable + 1;
      return missing <= 0 ? load : {
        ...load,
        reservedWait: missing *
          (occupants.length === 0
            ? call.expectedMilliseconds
            : meanHoldingTime(occupants)) /
          usable,
      };
    },
  };
}

/** The harmonic mean of the expected service times: short calls free their slots more often. */
function meanHoldingTime(calls: Iterable<QueueableCall>): Milliseconds {
  let count = 0;
  let releases = 0;
  for (const { expectedMilliseconds } of calls) {
    count += 1;
    releases += 1 / Math.max(1, expectedMilliseconds);
  }
  return count / releases;
}
