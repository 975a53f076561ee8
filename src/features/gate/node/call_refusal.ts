/**
 * Refuses calls that have not been sent to the instance.
 *
 * @module
 */

import type { EventLog } from "../../../base/common/event_log.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { RefusalReason } from "../common/gate_call.ts";
import type { GateCall } from "../common/gate_call_state.ts";
import { runStep } from "./call_dispatch.ts";

/** An evacuation lasts seconds at least; its calls are served in other failure domains if there are any. */
const EVACUATED_RETRY_MS: Milliseconds = 1_000;

export type RefuseCall = (
  call: GateCall,
  reason: RefusalReason,
  retryAfter?: Milliseconds,
) => void;

export function createCallRefusal(log: EventLog): RefuseCall {
  return (call, reason, retryAfter = retryAfterOf(reason)) => {
    call.timer?.dispose();
    call.state = "ended";
    runStep(log, call, () =>
      call.settle({
        type: "refused",
        reason,
        retryAfter,
        reachedInstance: false,
      }));
  };
}

function retryAfterOf(reason: RefusalReason): Milliseconds {
  return reason === "evacuated" ? EVACUATED_RETRY_MS : 0;
}
