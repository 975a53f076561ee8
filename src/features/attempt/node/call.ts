/**
 * One call from its arrival to its answer.
 *
 * @module
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Claim } from "../../claim/common/claim_client.ts";
import type { RouteMatch } from "../../table/common/routing_table.ts";
import { judgeAnswer } from "../common/attempt_outcome.ts";
import {
  CUSTOMER_HEADER,
  DEADLINE_HEADER,
  IDEMPOTENCY_HEADER,
} from "../common/call_headers.ts";
import { computeDeadline } from "../common/deadline.ts";
import { notRun, type Refusal, type RefusalReason } from "../common/refusal.ts";
import { cacheKeyOf, isStorable } from "../common/stale_cache.ts";
import { relayStream, sendRefusal, sendStale, sendWhole } from "./answer.ts";
import type { Answer, AttemptBody } from "./attempt.ts";
import { type LoopEnd, runAttempts } from "./attempt_loop.ts";
import type { CallContext } from "./call_context.ts";
import { checkCallLimits } from "./call_limits.ts";
import { headerOf, identifyCall, prepareHeaders } from "./call_request.ts";
import { createInterruption, type Interruption } from "./interruption.ts";
import { prepareBody } from "./request_body.ts";

/** Dot segments would let a path match one route here and another at the upstream. */
const DOT_SEGMENT = /(^|[/\\])(\.|%2e){1,2}([/\\]|$)/i;

/** A call and how it is answered. */
interface CallReply {
  /** Identifies the call in the events of all proxies that it passes. */
  readonly call: string;
  readonly response: ServerResponse;
}

/** A call that was matched and admitted. */
interface Exchange extends CallReply {
  readonly request: IncomingMessage;
  readonly match: RouteMatch;
  readonly interruption: Interruption;
  readonly cacheKey: string | undefined;
}

export async function runCall(
  context: CallContext,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const reply = { call: identifyCall(context, request), response };
  const excess = checkCallLimits(
    request,
    context.limits,
    context.callsInFlight(),
  );
  if (excess !== undefined) {
    refuse(context, reply, excess);
    return;
  }
  if (!context.takesCalls()) {
    refuse(context, reply, notRun("draining", "The proxy stops"));
    return;
  }
  const match = matchCall(context, request);
  if (typeof match === "string") {
    refuse(
      context,
      reply,
      notRun(match, `No route for this call: ${match}`),
    );
    return;
  }
  const arrivedAt = context.clock.now();
  const admission = await context.admission.admitWaitingForLease(
    match.contract,
  );
  if (!admission.admitted) {
    refuse(
      context,
      reply,
      notRun(admission.reason, `The contract does not admit the call now`),
    );
    return;
  }
  if (response.destroyed) {
    // The caller went away while the call waited for its admission.
    admission.permit.dispose();
    return;
  }
  const deadlineAt = computeDeadline(
    arrivedAt,
    match.route.deadlineMilliseconds,
    headerOf(request, DEADLINE_HEADER),
  );
  const interruption = createInterruption(response, deadlineAt, context.clock);
  try {
    const cacheKey = cacheKeyOf({
      customer: match.contract.customer,
      method: request.method ?? "",
      path: request.url ?? "",
      headers: request.headers,
    }, match.route);
    await runAdmitted(context, {
      ...reply,
      request,
      match,
      interruption,
      cacheKey,
    });
  } finally {
    interruption.dispose();
    admission.permit.dispose();
  }
}

function matchCall(
  context: CallContext,
  request: IncomingMessage,
): RouteMatch | RefusalReason {
  const table = context.table();
  if (table === undefined) {
    return "not-ready";
  }
  const [path] = (request.url ?? "").split("?", 1);
  if (DOT_SEGMENT.test(path)) {
    return "unknown-route";
  }
  return table.match({
    customer: headerOf(request, CUSTOMER_HEADER) ?? "",
    method: request.method ?? "",
    path,
  });
}

async function runAdmitted(
  context: CallContext,
  exchange: Exchange,
): Promise<void> {
  const body = await prepareBody(exchange.request, exchange.interruption);
  if ("reason" in body) {
    refuse(context, exchange, body);
    return;
  }
  if (exchange.match.route.callClass !== "non-idempotent") {
    await dispatch(context, exchange, body);
    return;
  }
  const claim = await claimKey(context, exchange);
  if ("reason" in claim) {
    refuse(context, exchange, claim);
    return;
  }
  let settled: keyof Claim = "abandon";
  try {
    settled = await dispatch(context, exchange, body);
  } finally {
    claim[settled]();
  }
}

async function claimKey(
  context: CallContext,
  { request, match, interruption }: Exchange,
): Promise<Claim | Refusal> {
  const key = headerOf(request, IDEMPOTENCY_HEADER) ?? "";
  const answer = await context.claims.claim(match.contract.customer, key);
  switch (answer.kind) {
    case "granted":
      if (interruption.cause !== undefined) {
        answer.claim.release();
        return notRun("deadline", "The call ended before it was dispatched");
      }
      return answer.claim;
    case "claimed":
      return {
        reason: "idempotency-key-claimed",
        outcome: "unknown",
        message: `The recorded outcome is ${answer.outcome}`,
      };
    case "unknown":
      return {
        reason: "idempotency-key-unknown",
        outcome: "unknown",
        message: `outcome unknown: ${answer.reason}`,
      };
    case "unavailable":
      return notRun("claim-unavailable", answer.reason);
    case "malformed":
      return notRun("idempotency-key-malformed", answer.reason);
  }
}

/** Runs the attempts, answers the caller and says what became of the claim. */
async function dispatch(
  context: CallContext,
  exchange: Exchange,
  body: AttemptBody,
): Promise<keyof Claim> {
  const { call, request, interruption, match } = exchange;
  const end = await runAttempts(context, {
    match,
    callIdentity: call,
    method: request.method ?? "",
    path: request.url ?? "",
    headers: prepareHeaders(exchange, body),
    body,
    interruption,
  });
  if (interruption.cause === "caller-gone") {
    end.finish("cancelled");
    if (end.last?.kind === "streaming") {
      end.last.destroy("caller-gone");
    }
    return end.outcome === "not-run" ? "release" : "abandon";
  }
  if (sendStaleIfNeeded(context, exchange, end)) {
    return "abandon";
  }
  return await answerFrom(context, exchange, end);
}

async function answerFrom(
  context: CallContext,
  exchange: Exchange,
  end: LoopEnd,
): Promise<keyof Claim> {
  const { response, interruption } = exchange;
  const { last } = end;
  if (last === undefined || last.kind === "failed") {
    refuse(context, exchange, describeFailure(end, interruption));
    return end.outcome === "not-run" ? "release" : "abandon";
  }
  const notes = {
    outcome: end.outcome === "answered" ? undefined : end.outcome,
    retryNever: end.retryNever,
    closeConnection: context.endsConnection(response),
  };
  if (last.kind === "answered") {
    storeAnswer(context, exchange, last);
    sendWhole(response, last.answer, last.body, notes);
    await waitForClose(response, interruption);
    return settleAnswered(end, response.writableFinished);
  }
  const cause = await relayStream(response, last, { notes, interruption });
  const judged = judgeAnswer(last.answer).result;
  end.finish(
    cause === undefined
      ? judged
      : cause === "caller-gone"
      ? "cancelled"
      : "failure",
  );
  context.counts.cutAnswers += cause === undefined ? 0 : 1;
  return settleAnswered(end, cause === undefined);
}

/**
 * Resolves when the answer was handed to the system or the caller is gone. A caller that does
 * not read its answer by the deadline is cut off, since it holds a part of the concurrency.
 */
function waitForClose(
  response: ServerResponse,
  interruption: Interruption,
): Promise<void> {
  return new Promise((resolve) => {
    if (response.writableFinished || response.destroyed) {
      resolve();
      return;
    }
    response.once("finish", resolve);
    response.once("close", resolve);
    interruption.onInterrupted(() => response.destroy());
  });
}

function settleAnswered(end: LoopEnd, isWhole: boolean): keyof Claim {
  if (end.outcome === "not-run") {
    return "release";
  }
  return isWhole && end.outcome === "answered" ? "complete" : "abandon";
}

function storeAnswer(
  context: CallContext,
  { cacheKey }: Exchange,
  { answer, body }: { answer: Answer; body: Buffer },
): void {
  if (cacheKey !== undefined && isStorable(answer.status, answer.headers)) {
    context.cache.store(cacheKey, {
      headers: answer.rawHeaders,
      body,
      receivedAt: context.clock.now(),
    });
  }
}

function sendStaleIfNeeded(
  context: CallContext,
  { cacheKey, match, response }: Exchange,
  end: LoopEnd,
): boolean {
  const isFresh = end.last !== undefined && end.last.kind !== "failed" &&
    judgeAnswer(end.last.answer).result === "success";
  if (isFresh || cacheKey === undefined || end.last?.kind === "streaming") {
    return false;
  }
  const now = context.clock.now();
  const cached = context.cache.find(
    cacheKey,
    now,
    match.route.stalenessMilliseconds,
  );
  if (cached === undefined) {
    return false;
  }
  context.counts.staleAnswers += 1;
  sendStale(response, cached, now);
  return true;
}

function describeFailure(end: LoopEnd, interruption: Interruption): Refusal {
  const outcome = end.outcome === "not-run" ? "not-run" : "unknown";
  const common = { outcome, retryNever: end.retryNever } as const;
  if (interruption.cause === "timeout") {
    return { ...common, reason: "deadline", message: "The deadline passed" };
  }
  if (end.last === undefined || end.last.kind !== "failed") {
    const reason = end.routingRefusal ?? "no-instance";
    return { ...common, reason, message: "No instance can take the call now" };
  }
  const { phase, cause } = end.last.failure;
  const message = `The upstream failed in the phase ${phase}: ${cause}`;
  if (cause === "body-too-large") {
    return { ...common, reason: "body-too-large", message };
  }
  if (cause === "connection-limit") {
    return { ...common, reason: "all-busy", message };
  }
  const reason = outcome === "not-run"
    ? "upstream-unreachable"
    : "upstream-failed";
  return { ...common, reason, message };
}

function refuse(
  context: CallContext,
  { call, response }: CallReply,
  refusal: Refusal,
): void {
  context.counts.refusals += 1;
  // An unknown outcome is what an operator is asked about; the others may be very many.
  const level = refusal.outcome === "unknown" ? "warn" : "debug";
  context.log.write(level, "call.refused", {
    step: "attempt.call",
    call,
    reason: refusal.reason,
    outcome: refusal.outcome,
  });
  // The rest of a body that is too large is not read.
  const closeConnection = context.endsConnection(response) ||
    refusal.reason === "body-too-large";
  sendRefusal(response, refusal, closeConnection);
}
