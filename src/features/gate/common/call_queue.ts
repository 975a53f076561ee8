/**
 * A priority queue of calls that wait for an instance.
 *
 * Load pattern: a burst of more calls than the instance can serve. A FIFO queue then serves calls whose
 * callers have already left, and lets frequent reads delay urgent writes. This queue orders calls by
 * rank; within a rank by nested calls first, because their failure wastes the slot that their parent
 * holds; then by whether a call can still meet its objective; then by the earliest due time. Rank comes
 * before nesting so that nested calls of frequent reads don't starve urgent writes of the service that
 * they call.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";

export interface QueueableCall {
  readonly identity: string;
  /** Whether an instance made the call while running another call. */
  readonly isNested: boolean;
  /** 0 is the highest priority. */
  readonly rank: number;
  readonly objectiveAt: Milliseconds;
  readonly deadlineAt: Milliseconds;
  /** The expected service time of the call. */
  readonly expectedMilliseconds: Milliseconds;
  /** The account for which the call is made; read only where accounts share the room. */
  readonly account?: string;
}

export type CallOrder = (left: QueueableCall, right: QueueableCall) => number;

/**
 * Returns the order of these calls: a negative number if the first one starts before the second one. Calls go by
 * priority first, and those of other ranks do not change the order within a rank.
 */
export type CreateCallOrder = (
  calls: Iterable<QueueableCall>,
  now: Milliseconds,
) => CallOrder;

export interface CallQueue<T extends QueueableCall> {
  readonly size: number;
  enqueue(call: T): void;
  remove(identity: string): T | undefined;
  /** Removes and returns the call that starts next, of those that may start. */
  dequeue(
    now: Milliseconds,
    mayStart?: (call: T) => boolean,
  ): T | undefined;
  /** Removes and returns the calls that could not finish by their deadline even if started now. */
  removeUnmeetable(now: Milliseconds): T[];
  /**
   * Removes and returns the calls that cannot finish by their deadline after the wait expected for
   * their position in the queue, because later calls of higher priority start before them.
   */
  removeUnmeetableAfterWait(
    now: Milliseconds,
    estimateWait: (
      call: T,
      ahead: number,
      samePriorityAhead: number,
    ) => Milliseconds,
  ): T[];
  /**
   * Removes and returns the calls for which the predicate holds, in the order in which they start; a removed
   * call does not count as ahead of those after it.
   */
  removeInOrder(
    now: Milliseconds,
    isRemoved: (call: T, ahead: number, samePriorityAhead: number) => boolean,
  ): T[];
  /** Lists the queued calls that would start before this one, in no particular order. */
  listAhead(call: QueueableCall, now: Milliseconds): readonly T[];
  /** Counts them. */
  countAhead(call: QueueableCall, now: Milliseconds): number;
  /** Counts the accounts that have queued calls. */
  countAccounts(): number;
  /** Removes and returns the calls for which the predicate holds. */
  removeWhere(predicate: (call: T) => boolean): T[];
  removeAll(): T[];
}

const createDueTimeOrder: CreateCallOrder = (_, now) => (left, right) =>
  compareCalls(left, right, now);

export function createCallQueue<T extends QueueableCall>(
  createOrder: CreateCallOrder = createDueTimeOrder,
): CallQueue<T> {
  const calls = new Map<string, T>();

  function removeWhere(predicate: (call: T) => boolean): T[] {
    const removed = [...calls.values()].filter(predicate);
    for (const { identity } of removed) {
      calls.delete(identity);
    }
    return removed;
  }

  function removeInOrder(
    now: Milliseconds,
    isRemoved: (call: T, ahead: number, samePriorityAhead: number) => boolean,
  ): T[] {
    const removed: T[] = [];
    let ahead = 0;
    let samePriorityAhead = 0;
    let previous: T | undefined;
    const inOrder = [...calls.values()].sort(
      createOrder(calls.values(), now),
    );
    for (const call of inOrder) {
      if (previous !== undefined && comparePriority(previous, call) !== 0) {
        samePriorityAhead = 0;
      }
      previous = call;
      if (isRemoved(call, ahead, samePriorityAhead)) {
        removed.push(call);
        calls.delete(call.identity);
      } else {
        ahead += 1;
        samePriorityAhead += 1;
      }
    }
    return removed;
  }

  function listAhead(
    call: QueueableCall,
    now: Milliseconds,
  ): readonly T[] {
    if (calls.size === 0) {
      return [];
    }
    const others = [...calls.values()];
    const ofRank: QueueableCall[] = others.filter(({ rank }) =>
      rank === call.rank
    );
    ofRank.push(call);
    const order = createOrder(ofRank, now);
    return others.filter((other) =>
      (other.rank - call.rank || order(other, call)) <= 0
    );
  }

  return {
    get size() {
      return calls.size;
    },
    enqueue: (call) => void calls.set(call.identity, call),
    remove(identity) {
      const call = calls.get(identity);
      calls.delete(identity);
      return call;
    },
    dequeue(now, mayStart = () => true) {
      const order = createOrder(calls.values(), now);
      let next: T | undefined;
      for (const call of calls.values()) {
        if (
          (next === undefined || order(call, next) < 0) && mayStart(call)
        ) {
          next = call;
        }
      }
      if (next !== undefined) {
        calls.delete(next.identity);
      }
      return next;
    },
    removeUnmeetable: (now) =>
      removeWhere((call) => isDeadlineUnmeetable(call, now)),
    removeUnmeetableAfterWait: (now, estimateWait) =>
      removeInOrder(
        now,
        (call, ahead, samePriorityAhead) =>
          now + estimateWait(call, ahead, samePriorityAhead) +
              MINIMUM_SERVICE_FRACTION * call.expectedMilliseconds >
            call.deadlineAt,
      ),
    removeInOrder,
    listAhead,
    countAhead: (call, now) => listAhead(call, now).length,
    countAccounts: () =>
      new Set([...calls.values()].map(({ account }) => account)).size,
    removeWhere,
    removeAll: () => removeWhere(() => true),
  };
}

/** Returns a negative number if `left` starts before `right`. */
export function compareCalls(
  left: QueueableCall,
  right: QueueableCall,
  now: Milliseconds,
): number {
  const priorityOrder = comparePriority(left, right);
  if (priorityOrder !== 0) {
    return priorityOrder;
  }
  const leftMeetsObjective = meetsObjective(left, now);
  if (leftMeetsObjective !== meetsObjective(right, now)) {
    return leftMeetsObjective ? -1 : 1;
  }
  return leftMeetsObjective
    ? left.objectiveAt - right.objectiveAt
    : left.deadlineAt - right.deadlineAt;
}

/** Returns a negative number if `left` has a higher priority than `right`, regardless of due times. */
export function comparePriority(
  left: Pick<QueueableCall, "rank" | "isNested">,
  right: Pick<QueueableCall, "rank" | "isNested">,
): number {
  return left.rank - right.rank ||
    Number(right.isNested) - Number(left.isNested);
}

function meetsObjective(call: QueueableCall, now: Milliseconds): boolean {
  return now + call.expectedMilliseconds <= call.objectiveAt;
}

/**
 * Service times vary widely, so a call is dropped only if less than this fraction of its expected service
 * time remains until its deadline.
 */
const MINIMUM_SERVICE_FRACTION = 0.5;

export function isDeadlineUnmeetable(
  call: QueueableCall,
  now: Milliseconds,
): boolean {
  return now + MINIMUM_SERVICE_FRACTION * call.expectedMilliseconds >
    call.deadlineAt;
}
