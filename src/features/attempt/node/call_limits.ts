/**
 * The limits of the whole proxy, over the calls of all customers.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import { MAXIMUM_BODY_BYTES, planBody } from "../common/body_plan.ts";
import { createNotRunRefusal, type Refusal } from "../common/refusal.ts";

/** The property names are those of the daemon's settings. */
export interface CallLimits {
  readonly maximumCallBodyBytes: number;
  readonly maximumCallsInFlight: number;
}

export const DEFAULT_CALL_LIMITS: CallLimits = {
  maximumCallBodyBytes: MAXIMUM_BODY_BYTES,
  maximumCallsInFlight: Infinity,
};

/** Refuses a call that exceeds a limit, before its body is read. `callsInFlight` includes this call. */
export function checkCallLimits(
  request: IncomingMessage,
  limits: CallLimits,
  callsInFlight: number,
): Refusal | undefined {
  if (callsInFlight > limits.maximumCallsInFlight) {
    return createNotRunRefusal(
      "too-many-calls",
      "The proxy has too many calls in flight",
    );
  }
  const plan = planBody({
    contentLength: request.headers["content-length"],
    transferEncoding: request.headers["transfer-encoding"],
  }, limits.maximumCallBodyBytes);
  return plan === "refuse"
    ? createNotRunRefusal("body-too-large", "The body is larger than the limit")
    : undefined;
}
