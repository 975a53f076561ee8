/**
 * The limits of the whole proxy, which hold for calls of all customers together.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import { MAXIMUM_BODY_BYTES, planBody } from "../common/body_plan.ts";
import { notRun, type Refusal } from "../common/refusal.ts";

/** The names are those of the daemon's settings. */
export interface CallLimits {
  readonly maximumCallBodyBytes: number;
  readonly maximumCallsInFlight: number;
}

export const DEFAULT_CALL_LIMITS: CallLimits = {
  maximumCallBodyBytes: MAXIMUM_BODY_BYTES,
  maximumCallsInFlight: Infinity,
};

/** Refuses a call before its body is read. The calls in flight include this one. */
export function checkCallLimits(
  request: IncomingMessage,
  limits: CallLimits,
  callsInFlight: number,
): Refusal | undefined {
  if (callsInFlight > limits.maximumCallsInFlight) {
    return notRun("too-many-calls", "The proxy has too many calls in flight");
  }
  const plan = planBody({
    contentLength: request.headers["content-length"],
    transferEncoding: request.headers["transfer-encoding"],
  }, limits.maximumCallBodyBytes);
  return plan === "refuse"
    ? notRun("body-too-large", "The body is larger than the limit")
    : undefined;
}
