/**
 * Remembers the calls that have ended without a response of the instance.
 *
 * Load pattern: clients that leave before their deadline. An instance that does not notice goes on with the call
 * until its deadline and makes nested calls for it. These carry no key and belong to no running call any more,
 * but "unauthorized" would be wrong: they are refused as not run.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import { isDerivedIdentity } from "./nested_identity.ts";

/** A nested call that was sent before the deadline of its parent may be read this much later. */
const TRANSIT_MS: Milliseconds = 1_000;
/** Bounds the memory and the search. */
const MAXIMUM_CALLS = 1_000;

export interface UnansweredCalls {
  /** Records a call; the instance may go on with it until `deadlineAt`. */
  record(requestIdentity: string, deadlineAt: Milliseconds): void;
  /** Whether a nested call may belong to one of the calls. */
  mayHaveParent(requestIdentity: string, now: Milliseconds): boolean;
}

export function createUnansweredCalls(): UnansweredCalls {
  /** When each call is forgotten, oldest first. */
  const calls = new Map<string, Milliseconds>();

  return {
    record(requestIdentity, deadlineAt) {
      calls.delete(requestIdentity);
      calls.set(requestIdentity, deadlineAt + TRANSIT_MS);
      if (calls.size > MAXIMUM_CALLS) {
        const [oldest] = calls.keys();
        calls.delete(oldest);
      }
    },
    mayHaveParent(requestIdentity, now) {
      for (const [parentIdentity, until] of calls) {
        if (until < now) {
          calls.delete(parentIdentity);
        } else if (isDerivedIdentity(requestIdentity, parentIdentity)) {
          return true;
        }
      }
      return false;
    },
  };
}
