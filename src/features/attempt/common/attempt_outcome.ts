/**
 * Classifies the end of an attempt: whether the request ran, and whether the instance failed.
 *
 * @module
 */

import type { Outcome } from "../../../base/common/step_error.ts";
import type { AttemptResult } from "../../routing/common/instance_router.ts";
import { OUTCOME_HEADER, RETRY_HEADER, RETRY_NEVER } from "./call_headers.ts";

/**
 * The phases of an attempt. In `connect` no byte of the request has been sent. From `send` on, bytes
 * may have reached the upstream.
 */
export type AttemptPhase = "connect" | "send" | "first-byte" | "response";

/** Why an attempt ended without a complete response. */
export type FailureCause =
  | "refused"
  | "connection-limit"
  | "timeout"
  | "reset"
  | "malformed"
  | "body-too-large"
  | "caller-gone";

export interface AttemptFailure {
  readonly phase: AttemptPhase;
  readonly cause: FailureCause;
}

/** Only a failure before the first byte is sent proves that the request did not run. */
export function outcomeOfFailure(failure: AttemptFailure): Outcome {
  return failure.phase === "connect" ? "not-run" : "unknown";
}

export function resultOfFailure(failure: AttemptFailure): AttemptResult {
  switch (failure.cause) {
    case "caller-gone":
    case "body-too-large":
      return "cancelled";
    case "connection-limit":
      return "shed";
    default:
      return failure.phase === "connect" ? "not-connected" : "failure";
  }
}

/** The status and headers of an upstream's response. */
export interface ResponseHead {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
}

/** What an upstream's response says about the instance and about whether the request ran. */
export interface ResponseClassification {
  readonly result: Extract<AttemptResult, "success" | "failure" | "shed">;
  /** `answered`: the response is the upstream's own, whether a success or an error. */
  readonly outcome: "answered" | "not-run" | "unknown";
  readonly retryNever: boolean;
}

const SHED_STATUS = 503;
const FIRST_CLIENT_ERROR = 400;
const FIRST_SERVER_ERROR = 500;

export function classifyResponse(head: ResponseHead): ResponseClassification {
  const outcomeHeader = head.headers[OUTCOME_HEADER];
  const retryNever = head.headers[RETRY_HEADER] === RETRY_NEVER;
  if (outcomeHeader === "not-run" && head.status >= FIRST_CLIENT_ERROR) {
    const result = head.status === SHED_STATUS ? "shed" : "success";
    return { result, outcome: "not-run", retryNever };
  }
  return {
    result: head.status >= FIRST_SERVER_ERROR ? "failure" : "success",
    outcome: outcomeHeader === "unknown" ? "unknown" : "answered",
    retryNever,
  };
}

/**
 * The outcome of a call after several attempts. If any attempt may have run, the outcome is
 * `unknown`, even if the last attempt did not run.
 */
export function combineOutcomes(earlier: Outcome, latest: Outcome): Outcome {
  return earlier === "not-run" && latest === "not-run" ? "not-run" : "unknown";
}
