/**
 * Properties derived from the outcome of an offer at a gate.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { GateOutcome } from "../../gate/common/gate_call.ts";

/** The time that the instance spent on a call; undefined if unknown. */
export function serviceTimeOf(outcome: GateOutcome): Milliseconds | undefined {
  switch (outcome.type) {
    case "answer":
      return outcome.serviceMilliseconds;
    case "refused":
      return 0;
    case "failed":
      return undefined;
  }
}

/** Whether an instance received the call. */
export function hasReachedInstance(outcome: GateOutcome): boolean {
  return outcome.type !== "refused" || outcome.reachedInstance;
}

/** Whether the outcome is the final response, regardless of other offers of the call. */
export function isSuccess(outcome: GateOutcome): boolean {
  return outcome.type === "answer" && outcome.status < 500;
}
