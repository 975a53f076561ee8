/**
 * The rollout orders that are known to have a status in the store.
 *
 * @module
 */

import { NO_STEP } from "../../features/rollout/common/rollout_plan.ts";
import {
  isFinal,
  type RolloutProgress,
} from "../../features/rollout/common/rollout_progress.ts";

export interface RecordedOrders {
  has(orderOffset: number): boolean;
  /** Adds an order whose status this daemon has read or written. */
  add(orderOffset: number): void;
  /** Notes that a status of the order may have been written, although there was no response. */
  addUnanswered(orderOffset: number): void;
  /** Adds an order whose write has had no response, as the store has its status; returns whether it is such an order. */
  confirm(orderOffset: number): boolean;
  /** Adds the order of progress from another daemon if this progress required a status. */
  addReported(progress: RolloutProgress): void;
  /**
   * Must be called before an order replaces the known one. If it is of a later era, the store may have lost the status,
   * so that what other daemons report of the order does not count.
   */
  noteOrder(known: RolloutProgress | undefined, orderOffset: number): void;
  /** Whether the order replaced one of an older era, which may be the same order. */
  isOfLaterEra(orderOffset: number): boolean;
}

export function createRecordedOrders(
  getEra: (orderOffset: number) => number,
): RecordedOrders {
  const recorded = new Set<number>();
  const ordersOfLaterEra = new Set<number>();
  const unanswered = new Set<number>();
  return {
    has: (orderOffset) => recorded.has(orderOffset),
    add(orderOffset) {
      recorded.add(orderOffset);
    },
    addUnanswered(orderOffset) {
      unanswered.add(orderOffset);
    },
    confirm(orderOffset) {
      const isUnanswered = unanswered.delete(orderOffset);
      if (isUnanswered) {
        recorded.add(orderOffset);
      }
      return isUnanswered;
    },
    addReported(progress) {
      const { orderOffset, step } = progress;
      if (
        (isFinal(progress) || step > NO_STEP) &&
        !ordersOfLaterEra.has(orderOffset)
      ) {
        recorded.add(orderOffset);
      }
    },
    noteOrder(known, orderOffset) {
      if (
        known !== undefined && getEra(known.orderOffset) < getEra(orderOffset)
      ) {
        ordersOfLaterEra.add(orderOffset);
      }
    },
    isOfLaterEra: (orderOffset) => ordersOfLaterEra.has(orderOffset),
  };
}
