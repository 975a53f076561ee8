/**
 * The state of a call at a gate, from its offer to its outcome.
 *
 * @module
 */

import type { Disposable } from "../../../base/common/disposable.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { InstanceReport } from "../../../world/common/mesh_instance.ts";
import type { QueueableCall } from "./call_queue.ts";
import {
  DEADLINE_EXCEEDED_REASON,
  type GateOutcome,
  type GateRequest,
} from "./gate_call.ts";

/** About one call in twenty takes longer than this multiple of the average. */
const OVERDUE_FACTOR = 2.5;

export interface GateCall extends QueueableCall {
  readonly request: GateRequest;
  readonly settle: (outcome: GateOutcome) => void;
  state: "waiting" | "running" | "ended";
  isCancelled: boolean;
  isDeadlineExceeded: boolean;
  wasNestedRefused: boolean;
  /** When a running call is aborted. */
  readonly abortAt: Milliseconds;
  startedAt: Milliseconds;
  /** The calls at the instance when this one started, including it; 0 before. */
  runningAtStart: number;
  timer: Disposable | undefined;
  /** The connection on which the call is sent. */
  connection: Disposable | undefined;
  /** The instance to which the call was sent. */
  instance: InstanceReport | undefined;
}

export interface NewCall {
  readonly request: GateRequest;
  readonly settle: (outcome: GateOutcome) => void;
  readonly expectedMilliseconds: Milliseconds;
  readonly now: Milliseconds;
}

export function createGateCall(
  { request, settle, expectedMilliseconds, now }: NewCall,
): GateCall {
  return {
    identity: request.identity,
    isNested: request.isNested,
    rank: request.rank,
    account: request.account,
    objectiveAt: now + request.objectiveInMilliseconds,
    deadlineAt: now + timeLimitOf(request),
    expectedMilliseconds,
    request,
    settle,
    state: "waiting",
    isCancelled: false,
    isDeadlineExceeded: false,
    wasNestedRefused: false,
    abortAt: now + request.deadlineInMilliseconds,
    startedAt: now,
    runningAtStart: 0,
    timer: undefined,
    connection: undefined,
    instance: undefined,
  };
}

/**
 * Returns how long a call may wait and run in total. A nested call occupies the slot of its parent while
 * it waits, so it must finish within its objective.
 */
function timeLimitOf(request: GateRequest): Milliseconds {
  return request.isNested
    ? Math.min(request.objectiveInMilliseconds, request.deadlineInMilliseconds)
    : request.deadlineInMilliseconds;
}

/** Whether the instance belongs to the service, and to the version if one is named, that the call is for. */
export function canRun(
  instance: InstanceReport,
  request: GateRequest,
): boolean {
  return instance.service === request.service &&
    (request.version === undefined || instance.version === request.version);
}

export function isOverdue(call: GateCall, now: Milliseconds): boolean {
  return now - call.startedAt >
    OVERDUE_FACTOR * call.request.meanServiceMilliseconds;
}

export function describeFailure(
  call: GateCall,
  timedOut: boolean,
  reason: string,
): string {
  if (call.isCancelled) {
    return "cancelled";
  }
  return timedOut ? DEADLINE_EXCEEDED_REASON : reason;
}
