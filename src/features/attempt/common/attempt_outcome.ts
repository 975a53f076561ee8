/**
 * What the end of an attempt says about the request and about the instance.
 *
 * @module
 */

import type { Outcome } from "../../../base/common/step_error.ts";
import type { AttemptResult } from "../../routing/common/instance_router.ts";
import { OUTCOME_HEADER, RETRY_HEADER, RETRY_NEVER } from "./call_headers.ts";

/**
 * The phases of an attempt. In `connect` no byte of the request has left. From `send` on,
 * bytes may have reached the upstream.
 */
export type AttemptPhase = "connect" | "send" | "first-byte" | "response";

/** Why an attempt ended without a whole answer. */
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

/** Only a failure before the first byte left proves that the request did not run. */
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

/** The part of an upstream's answer on which decisions depend. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
}

/** What the upstream's answer says: it ran the request, or it certainly did not. */
export interface AnswerJudgement {
  readonly result: Extract<AttemptResult, "success" | "failure" | "shed">;
  /** `answered`: the upstream's own answer, whether good or bad. */
  readonly outcome: "answered" | "not-run" | "unknown";
  readonly retryNever: boolean;
}

const SHED_STATUS = 503;
const FIRST_CLIENT_ERROR = 400;
const FIRST_SERVER_ERROR = 500;

export function judgeAnswer(head: AnswerHead): AnswerJudgement {
  const said = head.headers[OUTCOME_HEADER];
  const retryNever = head.headers[RETRY_HEADER] === RETRY_NEVER;
  if (said === "not-run" && head.status >= FIRST_CLIENT_ERROR) {
    const result = head.status === SHED_STATUS ? "shed" : "success";
    return { result, outcome: "not-run", retryNever };
  }
  return {
    result: head.status >= FIRST_SERVER_ERROR ? "failure" : "success",
    outcome: said === "unknown" ? "unknown" : "answered",
    retryNever,
  };
}

/**
 * The outcome of a call after several attempts: one attempt that may have run is enough to
 * make the call's outcome unknown, even when the last one did not run.
 */
export function combineOutcomes(earlier: Outcome, latest: Outcome): Outcome {
  return earlier === "not-run" && latest === "not-run" ? "not-run" : "unknown";
}
