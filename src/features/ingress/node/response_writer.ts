/**
 * Writes final answers to clients: those of instances, and the ingress's own.
 *
 * @module
 */

import type { ServerResponse } from "node:http";
import { copyEndToEndHeaders } from "../../attempt/common/call_headers.ts";
import type { GateOutcome } from "../../gate/common/gate_call.ts";
import { formatRetryAfter, type OwnAnswer } from "../common/call_refusal.ts";

/** Set anew from the length of the body that was received. */
const REPLACED_HEADERS = new Set(["content-length"]);

export interface ConnectionOptions {
  /** Whether the answer says that its connection ends behind it. */
  readonly closesConnection: boolean;
}

export function relayAnswer(
  response: ServerResponse,
  { status, rawHeaders, body }: Extract<GateOutcome, { type: "answer" }>,
  { closesConnection, isHead }: ConnectionOptions & {
    readonly isHead: boolean;
  },
): void {
  const kept = copyEndToEndHeaders(rawHeaders, REPLACED_HEADERS);
  if (closesConnection) {
    response.shouldKeepAlive = false;
  }
  if (status !== 204 && status !== 304) {
    kept.push("content-length", String(body.length));
  }
  response.writeHead(status, kept);
  response.end(isHead ? undefined : body);
}

export function writeOwnAnswer(
  response: ServerResponse,
  { status, message, retryAfter }: OwnAnswer,
  { closesConnection }: ConnectionOptions,
): void {
  const body = Buffer.from(JSON.stringify({ error: message }));
  if (closesConnection) {
    response.shouldKeepAlive = false;
  }
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": body.length,
    ...(retryAfter === undefined
      ? {}
      : { "retry-after": formatRetryAfter(retryAfter) }),
  });
  response.end(body);
}
