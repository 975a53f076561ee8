/**
 * The order in which calls that wait for an instance start, and when waiting is hopeless.
 *
 * Load pattern: a burst of more calls than the instance can work on. A queue in order of arrival
 * then serves calls whose callers have left, and lets plentiful reads delay urgent writes. Here
 * the more urgent rank goes first; within a rank, calls made on behalf of a call that already holds
 * a slot, since their failure wastes the work of that slot; then calls that can still meet their
 * objective; then the earliest due. Nested calls of plentiful reads do not go before urgent
 * writes of the service that they call, which they would starve.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";

export interface WaitingCall {
  readonly identity: string;
  /** Made by an instance while it works on another call. */
  readonly isNested: boolean;
  /** 0 is the most urgent. */
  readonly rank: number;
  readonly objectiveAt: Milliseconds;
  readonly deadlineAt: Milliseconds;
  /** How long the instance is expected to work on the call. */
  readonly expectedMilliseconds: Milliseconds;
}

export interface WaitingRoom<T extends WaitingCall> {
  readonly size: number;
  add(call: T): void;
  remove(identity: string): T | undefined;
  /** Removes the call that starts next. */
  takeNext(now: Milliseconds): T | undefined;
  /** Removes the calls that can no longer finish by their deadline. */
  takeHopeless(now: Milliseconds): T[];
  /**
   * Removes the calls that cannot finish by their deadline given the wait from their place in the
   * order: calls that arrived later and are more urgent have overtaken them.
   */
  takeOvertaken(
    now: Milliseconds,
    expectWait: (call: T, ahead: number) => Milliseconds,
  ): T[];
  /** The number of waiting calls that would start before this one. */
  countAhead(call: WaitingCall, now: Milliseconds): number;
  takeAll(): T[];
}

export function createWaitingRoom<T extends WaitingCall>(): WaitingRoom<T> {
  const calls = new Map<string, T>();
  return {
    get size() {
      return calls.size;
    },
    add: (call) => void calls.set(call.identity, call),
    remove(identity) {
      const call = calls.get(identity);
      calls.delete(identity);
      return call;
    },
    takeNext(now) {
      let next: T | undefined;
      for (const call of calls.values()) {
        if (next === undefined || compareCalls(call, next, now) < 0) {
          next = call;
        }
      }
      if (next !== undefined) {
        calls.delete(next.identity);
      }
      return next;
    },
    takeHopeless(now) {
      const hopeless = [...calls.values()].filter((call) =>
        isHopeless(call, now)
      );
      for (const { identity } of hopeless) {
        calls.delete(identity);
      }
      return hopeless;
    },
    takeOvertaken(now, expectWait) {
      const overtaken: T[] = [];
      let ahead = 0;
      const inOrder = [...calls.values()].sort((left, right) =>
        compareCalls(left, right, now)
      );
      for (const call of inOrder) {
        const startsAt = now + expectWait(call, ahead);
        if (
          startsAt + HOPELESS_PART * call.expectedMilliseconds >
            call.deadlineAt
        ) {
          overtaken.push(call);
          calls.delete(call.identity);
        } else {
          ahead += 1;
        }
      }
      return overtaken;
    },
    countAhead(call, now) {
      let ahead = 0;
      for (const other of calls.values()) {
        if (compareCalls(other, call, now) <= 0) {
          ahead += 1;
        }
      }
      return ahead;
    },
    takeAll() {
      const all = [...calls.values()];
      calls.clear();
      return all;
    },
  };
}

/** Negative when `left` starts before `right`. */
export function compareCalls(
  left: WaitingCall,
  right: WaitingCall,
  now: Milliseconds,
): number {
  const urgency = compareUrgency(left, right);
  if (urgency !== 0) {
    return urgency;
  }
  const leftMeets = meetsObjective(left, now);
  if (leftMeets !== meetsObjective(right, now)) {
    return leftMeets ? -1 : 1;
  }
  return leftMeets
    ? left.objectiveAt - right.objectiveAt
    : left.deadlineAt - right.deadlineAt;
}

/** Negative when `left` is more urgent than `right`, whatever their times. */
export function compareUrgency(
  left: Pick<WaitingCall, "rank" | "isNested">,
  right: Pick<WaitingCall, "rank" | "isNested">,
): number {
  return left.rank - right.rank ||
    Number(right.isNested) - Number(left.isNested);
}

function meetsObjective(call: WaitingCall, now: Milliseconds): boolean {
  return now + call.expectedMilliseconds <= call.objectiveAt;
}

/** Service times spread widely, so a call is given up only below this part of the usual time. */
const HOPELESS_PART = 0.5;

export function isHopeless(call: WaitingCall, now: Milliseconds): boolean {
  return now + HOPELESS_PART * call.expectedMilliseconds > call.deadlineAt;
}
