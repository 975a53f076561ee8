/**
 * Handles one call from its arrival to its response.
 *
 * @module
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Claim } from "../../claim/common/claim_client.ts";
import type { RouteMatch } from "../../table/common/routing_table.ts";
import { classifyResponse } from "../common/attempt_outcome.ts";
import {
  CUSTOMER_HEADER,
  DEADLINE_HEADER,
  IDEMPOTENCY_HEADER,
} from "../common/call_headers.ts";
import { computeDeadline } from "../common/deadline.ts";
import {
  createNotRunRefusal,
  type Refusal,
  type RefusalReason,
} from "../common/refusal.ts";
import { cacheKeyOf, isCacheable } from "../common/stale_cache.ts";
import {
  relayStream,
  sendBuffered,
  sendRefusal,
  sendStale,
} from "./caller_response.ts";
import type { AttemptBody, UpstreamResponse } from "./attempt.ts";
import { type AttemptLoopResult, runAttempts } from "./attempt_loop.ts";
import type { CallContext } from "./call_context.ts";
import { checkCallLimits } from "./call_limits.ts";
import { headerOf, identifyCall, prepareHeaders } from "./call_request.ts";
import { createInterruption, type Interruption } from "./interruption.ts";
import { prepareBody } from "./request_body.ts";

/** Paths with dot segments are refused: they could match one route here and another at the upstream. */
const DOT_SEGMENT = /(^|[/\\])(\.|%2e){1,2}([/\\]|$)/i;

/** The identity of a call and the response to its caller. */
interface CallReply {
  /** The identity of the call in the log events of all proxies on its path. */
  readonly call: string;
  readonly response: ServerResponse;
}

/** A call that was matched to a route and admitted. */
interface AdmittedCall extends CallReply {
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
  const limitRefusal = checkCallLimits(
    request,
    context.limits,
    context.callsInFlight(),
  );
  if (limitRefusal !== undefined) {
    refuse(context, reply, limitRefusal);
    return;
  }
  if (!context.acceptsCalls()) {
    refuse(
      context,
      reply,
      createNotRunRefusal("draining", "The proxy is stopping"),
    );
    return;
  }
  const match = matchCall(context, request);
  if (typeof match === "string") {
    refuse(
      context,
      reply,
      createNotRunRefusal(match, `No route for this call: ${match}`),
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
      createNotRunRefusal(
        admission.reason,
        `The contract does not admit the call now`,
      ),
    );
    return;
  }
  if (response.destroyed) {
    // The caller disconnected while the call waited for admission.
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
  admittedCall: AdmittedCall,
): Promise<void> {
  const body = await prepareBody(
    admittedCall.request,
    admittedCall.interruption,
  );
  if ("reason" in body) {
    refuse(context, admittedCall, body);
    return;
  }
  if (admittedCall.match.route.callClass !== "non-idempotent") {
    await dispatch(context, admittedCall, body);
    return;
  }
  const claim = await claimKey(context, admittedCall);
  if ("reason" in claim) {
    refuse(context, admittedCall, claim);
    return;
  }
  let claimAction: keyof Claim = "abandon";
  try {
    claimAction = await dispatch(context, admittedCall, body);
  } finally {
    claim[claimAction]();
  }
}

async function claimKey(
  context: CallContext,
  { request, match, interruption }: AdmittedCall,
): Promise<Claim | Refusal> {
  const key = headerOf(request, IDEMPOTENCY_HEADER) ?? "";
  const claimResult = await context.claims.claim(match.contract.customer, key);
  switch (claimResult.kind) {
    case "granted":
      if (interruption.cause !== undefined) {
        claimResult.claim.release();
        return createNotRunRefusal(
          "deadline",
          "The call ended before it was dispatched",
        );
      }
      return claimResult.claim;
    case "claimed":
      return {
        reason: "idempotency-key-claimed",
        outcome: "unknown",
        message: `The recorded outcome is ${claimResult.outcome}`,
      };
    case "unknown":
      return {
        reason: "idempotency-key-unknown",
        outcome: "unknown",
        message: `outcome unknown: ${claimResult.reason}`,
      };
    case "unavailable":
      return createNotRunRefusal("claim-unavailable", claimResult.reason);
    case "malformed":
      return createNotRunRefusal(
        "idempotency-key-malformed",
        claimResult.reason,
      );
  }
}

/** Runs the attempts and sends the response. Returns how to settle the claim. */
async function dispatch(
  context: CallContext,
  admittedCall: AdmittedCall,
  body: AttemptBody,
): Promise<keyof Claim> {
  const { call, request, interruption, match } = admittedCall;
  const loopResult = await runAttempts(context, {
    match,
    callIdentity: call,
    method: request.method ?? "",
    path: request.url ?? "",
    headers: prepareHeaders(admittedCall, body),
    body,
    interruption,
  });
  if (interruption.cause === "caller-gone") {
    loopResult.reportResult("cancelled");
    if (loopResult.last?.kind === "streaming") {
      loopResult.last.destroy("caller-gone");
    }
    return loopResult.outcome === "not-run" ? "release" : "abandon";
  }
  if (sendStaleIfNeeded(context, admittedCall, loopResult)) {
    return "abandon";
  }
  return await sendResponse(context, admittedCall, loopResult);
}

async function sendResponse(
  context: CallContext,
  admittedCall: AdmittedCall,
  loopResult: AttemptLoopResult,
): Promise<keyof Claim> {
  const { response, interruption } = admittedCall;
  const { last } = loopResult;
  if (last === undefined || last.kind === "failed") {
    refuse(context, admittedCall, describeFailure(loopResult, interruption));
    return loopResult.outcome === "not-run" ? "release" : "abandon";
  }
  const additions = {
    outcome: loopResult.outcome === "answered" ? undefined : loopResult.outcome,
    retryNever: loopResult.retryNever,
    closeConnection: context.shouldCloseConnection(response),
  };
  if (last.kind === "answered") {
    cacheResponse(context, admittedCall, last);
    sendBuffered(response, last.upstreamResponse, last.body, additions);
    await waitForClose(response, interruption);
    return chooseClaimAction(loopResult, response.writableFinished);
  }
  const cause = await relayStream(response, last, {
    additions,
    interruption,
  });
  const result = classifyResponse(last.upstreamResponse).result;
  loopResult.reportResult(
    cause === undefined
      ? result
      : cause === "caller-gone"
      ? "cancelled"
      : "failure",
  );
  context.counts.truncatedResponses += cause === undefined ? 0 : 1;
  return chooseClaimAction(loopResult, cause === undefined);
}

/**
 * Resolves when the response was passed to the operating system or the caller has disconnected. The
 * connection of a caller that does not read its response by the deadline is destroyed, because the
 * call counts against the concurrency limit.
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

function chooseClaimAction(
  loopResult: AttemptLoopResult,
  isComplete: boolean,
): keyof Claim {
  if (loopResult.outcome === "not-run") {
    return "release";
  }
  return isComplete && loopResult.outcome === "answered"
    ? "complete"
    : "abandon";
}

function cacheResponse(
  context: CallContext,
  { cacheKey }: AdmittedCall,
  { upstreamResponse, body }: {
    upstreamResponse: UpstreamResponse;
    body: Buffer;
  },
): void {
  if (
    cacheKey !== undefined &&
    isCacheable(upstreamResponse.status, upstreamResponse.headers)
  ) {
    context.cache.store(cacheKey, {
      headers: upstreamResponse.rawHeaders,
      body,
      receivedAt: context.clock.now(),
    });
  }
}

function sendStaleIfNeeded(
  context: CallContext,
  { cacheKey, match, response }: AdmittedCall,
  loopResult: AttemptLoopResult,
): boolean {
  const isFresh = loopResult.last !== undefined &&
    loopResult.last.kind !== "failed" &&
    classifyResponse(loopResult.last.upstreamResponse).result === "success";
  if (
    isFresh || cacheKey === undefined || loopResult.last?.kind === "streaming"
  ) {
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
  context.counts.staleResponses += 1;
  sendStale(response, cached, now);
  return true;
}

function describeFailure(
  loopResult: AttemptLoopResult,
  interruption: Interruption,
): Refusal {
  const outcome = loopResult.outcome === "not-run" ? "not-run" : "unknown";
  const common = { outcome, retryNever: loopResult.retryNever } as const;
  if (interruption.cause === "timeout") {
    return { ...common, reason: "deadline", message: "The deadline passed" };
  }
  if (loopResult.last === undefined || loopResult.last.kind !== "failed") {
    const reason = loopResult.routingRefusal ?? "no-instance";
    return { ...common, reason, message: "No instance can take the call now" };
  }
  const { phase, cause } = loopResult.last.failure;
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
  // Operators need to see unknown outcomes; other refusals can be very frequent.
  const level = refusal.outcome === "unknown" ? "warn" : "debug";
  context.log.write(level, "call.refused", {
    step: "attempt.call",
    call,
    reason: refusal.reason,
    outcome: refusal.outcome,
  });
  // The connection is closed because the rest of a body that is too large is not read.
  const closeConnection = context.shouldCloseConnection(response) ||
    refusal.reason === "body-too-large";
  sendRefusal(response, refusal, closeConnection);
}
