/**
 * The routes of the two services in the replay of shared room.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { GateRequest } from "../common/gate_call.ts";

export const NESTED_PROBABILITY = 0.7;
export const NESTED_CALLS = 2;

export type ReplayKind = "read" | "write" | "urgent" | "archive" | "nested";

export interface ReplayRoute {
  readonly perSecond: number;
  readonly workMilliseconds: Milliseconds;
  readonly objectiveMilliseconds: Milliseconds;
  readonly deadlineMilliseconds: Milliseconds;
  readonly rank: number;
  readonly benefit: number;
  readonly lateBenefit: number;
}

/** The work of a read excludes its nested calls. */
export const ROUTES: Readonly<Record<ReplayKind, ReplayRoute>> = {
  read: {
    perSecond: 721,
    workMilliseconds: 72,
    objectiveMilliseconds: 123,
    deadlineMilliseconds: 411,
    rank: 1,
    benefit: 1,
    lateBenefit: 0.2,
  },
  write: {
    perSecond: 272,
    workMilliseconds: 152,
    objectiveMilliseconds: 503,
    deadlineMilliseconds: 1_006,
    rank: 1,
    benefit: 1,
    lateBenefit: 0.2,
  },
  urgent: {
    perSecond: 189,
    workMilliseconds: 83,
    objectiveMilliseconds: 258,
    deadlineMilliseconds: 860,
    rank: 0,
    benefit: 4.6,
    lateBenefit: 0.92,
  },
  archive: {
    perSecond: 97,
    workMilliseconds: 476,
    objectiveMilliseconds: 3_008,
    deadlineMilliseconds: 6_016,
    rank: 2,
    benefit: 0.4,
    lateBenefit: 0.08,
  },
  nested: {
    perSecond: 0,
    workMilliseconds: 30,
    objectiveMilliseconds: 100,
    deadlineMilliseconds: 300,
    rank: 1,
    benefit: 0,
    lateBenefit: 0,
  },
};
export function createReplayRequest(
  identity: string,
  kind: ReplayKind,
  account: string,
  elapsed: Milliseconds,
): GateRequest {
  const route = ROUTES[kind];
  const isRead = kind === "read";
  return {
    identity,
    requestIdentity: identity,
    service: "booking",
    version: undefined,
    route: kind,
    method: "GET",
    target: "/",
    headerLines: "",
    body: new Uint8Array(),
    callerService: "booking",
    account,
    isNested: kind === "nested",
    rank: route.rank,
    objectiveInMilliseconds: route.objectiveMilliseconds - elapsed,
    deadlineInMilliseconds: route.deadlineMilliseconds - elapsed,
    meanServiceMilliseconds: route.workMilliseconds +
      (isRead
        ? NESTED_PROBABILITY * NESTED_CALLS * ROUTES.nested.workMilliseconds
        : 0),
  };
}
