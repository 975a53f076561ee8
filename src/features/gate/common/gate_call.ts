/**
 * A call at a gate, and the ways in which it ends.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type {
  RouteName,
  ServiceName,
  ServiceVersion,
} from "../../../world/common/names.ts";

/** What a caller's daemon asks of a gate. Durations count from the arrival of the request. */
export interface GateRequest {
  /** Unique over all daemons and their restarts; a gate runs it at most once. */
  readonly identity: string;
  /** The caller's own identity of the request, which the instance sees. */
  readonly requestIdentity: string;
  readonly service: ServiceName;
  /** The version that the call must run on; any when absent. */
  readonly version: ServiceVersion | undefined;
  readonly route: RouteName;
  readonly method: string;
  /** Path and query, unchanged. */
  readonly target: string;
  /** The end-to-end headers as lines, each with its line end. */
  readonly headerLines: string;
  readonly body: Uint8Array;
  readonly callerService: ServiceName;
  readonly isNested: boolean;
  readonly rank: number;
  readonly objectiveInMilliseconds: Milliseconds;
  /** When the caller's daemon gives its final answer. */
  readonly deadlineInMilliseconds: Milliseconds;
  /** How long calls of this route usually take over all instances. */
  readonly meanServiceMilliseconds: Milliseconds;
}

/** The request as it is after a part of its time has passed. */
export function shorten(
  request: GateRequest,
  elapsed: Milliseconds,
): GateRequest {
  return {
    ...request,
    objectiveInMilliseconds: request.objectiveInMilliseconds - elapsed,
    deadlineInMilliseconds: request.deadlineInMilliseconds - elapsed,
  };
}

/** The load of a gate, sent along with each answer. */
export interface GateLoadReport {
  readonly running: number;
  readonly waiting: number;
  readonly limit: number;
  /** The instance's time for calls relative to what is usual; above 1 is slower. */
  readonly relativeServiceTime: number;
  /** The part of its recent calls that the instance has failed or refused, 0 to 1. */
  readonly failureRate: number;
}

/** Why a call failed that was ended since its time was over. */
export const DEADLINE_EXCEEDED_REASON = "deadline";

export type RefusalReason =
  | "no-instance"
  | "other-service"
  | "leaving"
  | "full"
  | "hopeless"
  | "unreachable"
  | "instance-refused"
  | "cancelled";

export type GateOutcome =
  | {
    readonly type: "answer";
    readonly status: number;
    readonly rawHeaders: readonly string[];
    readonly body: Uint8Array;
    /** How long the instance worked on the call. */
    readonly serviceMilliseconds: Milliseconds;
    /** A call that the instance made for this one was refused, so a repeat would fail as well. */
    readonly wasNestedRefused: boolean;
  }
  | {
    /** The call has not run at this gate and never will. */
    readonly type: "refused";
    readonly reason: RefusalReason;
    readonly retryAfter: Milliseconds;
    /** Whether the instance itself was asked and said that it did not run the call. */
    readonly reachedInstance: boolean;
  }
  | {
    /** The call may have run. */
    readonly type: "failed";
    readonly reason: string;
  };
