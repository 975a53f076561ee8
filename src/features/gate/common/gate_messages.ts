/**
 * The messages between a caller's daemon and the gate of another daemon.
 *
 * Offers and outcomes are most of the traffic between daemons, so they are encoded as positional rows
 * without field names. A row of unexpected length comes from another release and is not decoded.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { LinkMessage } from "../../link/common/peer_network.ts";
import type { GateLoadReport, GateOutcome, GateRequest } from "./gate_call.ts";

export const OFFER_KIND = "gate.offer";
export const CANCEL_KIND = "gate.cancel";
export const OUTCOME_KIND = "gate.outcome";

/** Offers a call, or requests the outcome of a call that was offered before. */
export interface OfferMessage extends LinkMessage {
  readonly row: readonly unknown[];
  /** The sender's monotonic clock. */
  readonly sentAt: Milliseconds;
}

export interface DecodedOffer {
  readonly request: GateRequest;
  readonly sentAt: Milliseconds;
}

export interface CancelMessage extends LinkMessage {
  readonly identity: string;
}

export interface OutcomeMessage extends LinkMessage {
  readonly identity: string;
  readonly row: readonly unknown[];
  readonly load: readonly unknown[];
}

export interface DecodedOutcome {
  readonly identity: string;
  readonly outcome: GateOutcome;
  readonly load: GateLoadReport;
}

const OFFER_LENGTH = 15;
/**
 * The account follows only if the call has one, and whether the call may be returned, after the account or
 * null, only if it may, so that daemons of other releases read other offers.
 */
const MAXIMUM_OFFER_LENGTH = 17;
const LOAD_LENGTH = 5;
/** The momentary service time follows only if the instance states it, so that daemons of other releases read other loads. */
const LOAD_LENGTH_WITH_SERVICE_TIME = 6;
/** Service times and the failure rate are encoded in hundredths. */
const RATIO_SCALE = 100;
const OUTCOME_LENGTHS = { answer: 6, refused: 4, failed: 2 } as const;

export function encodeOffer(
  { request, sentAt }: DecodedOffer,
): OfferMessage {
  return {
    kind: OFFER_KIND,
    sentAt,
    row: [
      request.identity,
      request.requestIdentity,
      request.service,
      request.version ?? null,
      request.route,
      request.method,
      request.target,
      request.headerLines,
      request.body,
      request.callerService,
      request.isNested,
      request.rank,
      request.objectiveInMilliseconds,
      request.deadlineInMilliseconds,
      request.meanServiceMilliseconds,
      ...encodeOptionalParts(request),
    ],
  };
}

function encodeOptionalParts(
  { account, mayBeReturned }: GateRequest,
): readonly unknown[] {
  return mayBeReturned === true
    ? [account ?? null, true]
    : account === undefined
    ? []
    : [account];
}

/** Returns undefined if the message comes from another release. */
export function decodeOffer(message: LinkMessage): DecodedOffer | undefined {
  const { row, sentAt } = message as Partial<OfferMessage>;
  if (
    !Array.isArray(row) ||
    row.length < OFFER_LENGTH || row.length > MAXIMUM_OFFER_LENGTH ||
    typeof sentAt !== "number"
  ) {
    return undefined;
  }
  const [identity, requestIdentity, service, version, route, method, ...rest] =
    row;
  const [target, headerLines, body, callerService, isNested, rank, ...times] =
    rest;
  const [objective, deadline, usual, account, mayBeReturned] = times;
  const request: GateRequest = {
    identity,
    requestIdentity,
    service,
    version: version ?? undefined,
    route,
    method,
    target,
    headerLines,
    body,
    callerService,
    isNested,
    rank,
    objectiveInMilliseconds: objective,
    deadlineInMilliseconds: deadline,
    meanServiceMilliseconds: usual,
    ...(typeof account === "string" ? { account } : {}),
    ...(mayBeReturned === true ? { mayBeReturned } : {}),
  };
  return { request, sentAt };
}

export function encodeOutcome(
  { identity, outcome, load }: DecodedOutcome,
): OutcomeMessage {
  return {
    kind: OUTCOME_KIND,
    identity,
    row: encodeOutcomeRow(outcome),
    load: encodeLoad(load),
  };
}

/** Encodes the load as a row of integers, for outcome and status messages. */
export function encodeLoad(load: GateLoadReport): readonly number[] {
  return [
    load.running,
    load.waiting,
    load.limit,
    Math.round(load.relativeServiceTime * RATIO_SCALE),
    Math.round(load.failureRate * RATIO_SCALE),
    ...(load.currentServiceTime === undefined
      ? []
      : [Math.round(load.currentServiceTime * RATIO_SCALE)]),
  ];
}

/** Returns undefined if the row comes from another release. */
export function decodeLoad(row: unknown): GateLoadReport | undefined {
  if (
    !Array.isArray(row) ||
    (row.length !== LOAD_LENGTH && row.length !== LOAD_LENGTH_WITH_SERVICE_TIME)
  ) {
    return undefined;
  }
  const [running, waiting, limit, relativeServiceTime, failureRate, current] =
    row;
  return {
    running,
    waiting,
    limit,
    relativeServiceTime: relativeServiceTime / RATIO_SCALE,
    failureRate: failureRate / RATIO_SCALE,
    // A figure that is not a positive number is not one that this release writes.
    ...(typeof current === "number" && current > 0
      ? { currentServiceTime: current / RATIO_SCALE }
      : {}),
  };
}

function encodeOutcomeRow(outcome: GateOutcome): readonly unknown[] {
  switch (outcome.type) {
    case "answer":
      return [
        outcome.type,
        outcome.status,
        outcome.rawHeaders,
        outcome.body,
        outcome.serviceMilliseconds,
        outcome.wasNestedRefused,
      ];
    case "refused":
      return [
        outcome.type,
        outcome.reason,
        outcome.retryAfter,
        outcome.reachedInstance,
      ];
    case "failed":
      return [outcome.type, outcome.reason];
  }
}

/** Returns undefined if the message comes from another release. */
export function decodeOutcome(
  message: LinkMessage,
): DecodedOutcome | undefined {
  const { identity, row, load } = message as Partial<OutcomeMessage>;
  if (
    typeof identity !== "string" || !Array.isArray(row)
  ) {
    return undefined;
  }
  const outcome = decodeOutcomeRow(row);
  const decodedLoad = decodeLoad(load);
  return outcome === undefined || decodedLoad === undefined
    ? undefined
    : { identity, outcome, load: decodedLoad };
}

// deno-lint-ignore no-explicit-any
function decodeOutcomeRow(row: readonly any[]): GateOutcome | undefined {
  const type = row[0] as GateOutcome["type"];
  if (OUTCOME_LENGTHS[type] !== row.length) {
    return undefined;
  }
  const [, first, second, third, fourth, fifth] = row;
  switch (type) {
    case "answer":
      return {
        type,
        status: first,
        rawHeaders: second,
        body: third,
        serviceMilliseconds: fourth,
        wasNestedRefused: fifth,
      };
    case "refused":
      return {
        type,
        reason: first,
        retryAfter: second,
        reachedInstance: third,
      };
    case "failed":
      return { type, reason: first };
  }
}
