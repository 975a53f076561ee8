/**
 * The request that a daemon sends to a gate, and the possible outcomes of the call.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type {
  AccountName,
  RouteName,
  ServiceName,
  ServiceVersion,
} from "../../../world/common/names.ts";

/** A call that a caller's daemon sends to a gate. Durations count from the arrival of the request. */
export interface GateRequest {
  /** Unique across all daemons and their restarts; a gate runs each identity at most once. */
  readonly identity: string;
  /** The request identity that the caller assigned; it is forwarded to the instance. */
  readonly requestIdentity: string;
  readonly service: ServiceName;
  /** The version that must run the call; undefined means any version. */
  readonly version: ServiceVersion | undefined;
  readonly route: RouteName;
  readonly method: string;
  /** Path and query, as received. */
  readonly target: string;
  /** The end-to-end headers, one line each, including the line endings. */
  readonly headerLines: string;
  readonly body: Uint8Array;
  readonly callerService: ServiceName;
  /** The client account of the call, or of the call for which the instance makes it. */
  readonly account?: AccountName;
  readonly isNested: boolean;
  readonly rank: number;
  readonly objectiveInMilliseconds: Milliseconds;
  /** When the caller's daemon returns its final response to the caller. */
  readonly deadlineInMilliseconds: Milliseconds;
  /** The average service time of the route across all instances. */
  readonly meanServiceMilliseconds: Milliseconds;
  /** Whether the gate may refuse the call as `full` instead of queueing it: its caller can ask other gates. */
  readonly mayBeReturned?: true;
}

/** Returns the request with the elapsed time deducted from its objective and deadline. */
export function deductElapsedTime(
  request: GateRequest,
  elapsed: Milliseconds,
): GateRequest {
  return {
    ...request,
    objectiveInMilliseconds: request.objectiveInMilliseconds - elapsed,
    deadlineInMilliseconds: request.deadlineInMilliseconds - elapsed,
  };
}

/** The load of a gate, sent with each outcome. */
export interface GateLoadReport {
  readonly running: number;
  readonly waiting: number;
  readonly limit: number;
  /** The instance's service time relative to the average of all instances; above 1 is slower. */
  readonly relativeServiceTime: number;
  /** The fraction of recent calls that the instance failed or refused, 0 to 1. */
  readonly failureRate: number;
  /**
   * How long work takes on the instance's host at this moment, relative to usual; undefined if the instance
   * has not reported it lately. The older the report, the closer to 1 (`momentary_speed.ts`).
   */
  readonly currentServiceTime?: number;
}

/** The failure reason of a call that was aborted at its deadline. */
export const DEADLINE_EXCEEDED_REASON = "deadline";

export type RefusalReason =
  | "no-instance"
  | "other-service"
  | "leaving"
  | "evacuated"
  | "full"
  | "hopeless"
  /** No capacity in time for an account that has used more than its share; there may be for others. */
  | "above-share"
  /** The nested calls of such calls are being refused, so it would fail. Other gates see the same. */
  | "nested-refused"
  | "unreachable"
  | "instance-refused"
  | "cancelled";

export type GateOutcome =
  | {
    readonly type: "answer";
    readonly status: number;
    readonly rawHeaders: readonly string[];
    readonly body: Uint8Array;
    /** The time from the start of the exchange to its response. */
    readonly serviceMilliseconds: Milliseconds;
    /** A nested call that the instance made for this call was refused, so a retry would fail too. */
    readonly wasNestedRefused: boolean;
  }
  | {
    /** The call has not run at this gate and will not run later. */
    readonly type: "refused";
    readonly reason: RefusalReason;
    readonly retryAfter: Milliseconds;
    /** Whether the call reached the instance and the instance reported that it did not run it. */
    readonly reachedInstance: boolean;
  }
  | {
    /** The call may have run; its result is unknown. */
    readonly type: "failed";
    readonly reason: string;
  };
