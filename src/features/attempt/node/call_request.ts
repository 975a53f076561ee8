/**
 * Prepares the identity and the headers of a caller's request for its attempts.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import {
  CALL_HEADER,
  copyEndToEndHeaders,
  DEADLINE_HEADER,
  IDEMPOTENCY_HEADER,
  OUTCOME_HEADER,
} from "../common/call_headers.ts";
import type { AttemptBody } from "./attempt.ts";
import type { CallContext } from "./call_context.ts";

/** Headers that this hop consumes or replaces. */
const CONSUMED_HEADERS = new Set([
  CALL_HEADER,
  DEADLINE_HEADER,
  OUTCOME_HEADER,
  "expect",
]);

/** Identities that callers send are replaced if they don't match, because they are written to logs. */
const CALL_IDENTITY = /^[\w.:-]{1,128}$/;

/** Methods that have no body unless a header declares one (RFC 9110, section 8.6). */
const BODILESS_METHODS = new Set(["GET", "HEAD", "DELETE", "OPTIONS", "TRACE"]);

/** The headers of an attempt, without the deadline header. */
export function prepareHeaders(
  { call, request }: { call: string; request: IncomingMessage },
  body: AttemptBody,
): string[] {
  const headers = copyEndToEndHeaders(request.rawHeaders, CONSUMED_HEADERS);
  headers.push("connection", "keep-alive", CALL_HEADER, call);
  const hasLength = request.headers["content-length"] !== undefined;
  if (body.kind === "stream" && !hasLength) {
    headers.push("transfer-encoding", "chunked");
  } else if (!hasLength && !BODILESS_METHODS.has(request.method ?? "")) {
    headers.push("content-length", "0");
  }
  return headers;
}

/** The call identity: from an earlier hop, else the idempotency key, else a new one. */
export function identifyCall(
  context: CallContext,
  request: IncomingMessage,
): string {
  const given = headerOf(request, CALL_HEADER) ??
    headerOf(request, IDEMPOTENCY_HEADER);
  if (given !== undefined && CALL_IDENTITY.test(given)) {
    return given;
  }
  const unique = context.random.nextInteger(2 ** 31).toString(36);
  return `${context.self.process.host}-${unique}-${context.counts.calls}`;
}

export function headerOf(
  request: IncomingMessage,
  name: string,
): string | undefined {
  const value = request.headers[name];
  return typeof value === "string" ? value : undefined;
}
