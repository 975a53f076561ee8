/**
 * What an outcome at a gate says about the call and the instance.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { GateOutcome } from "../../gate/common/gate_call.ts";

/** The time that the instance worked on a call; undefined when it is not known. */
export function workOf(outcome: GateOutcome): Milliseconds | undefined {
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
export function hasArrived(outcome: GateOutcome): boolean {
  return outcome.type !== "refused" || outcome.reachedInstance;
}

/** Whether the outcome is the final answer, whatever other offers of the call bring. */
export function isSuccess(outcome: GateOutcome): boolean {
  return outcome.type === "answer" && outcome.status < 500;
}
