/**
 * Writes final responses to clients: those of instances, and local replies of the ingress.
 *
 * @module
 */

import type { ServerResponse } from "node:http";
import { copyEndToEndHeaders } from "../../attempt/common/call_headers.ts";
import type { GateOutcome } from "../../gate/common/gate_call.ts";
import { formatRetryAfter, type LocalReply } from "../common/local_reply.ts";

/** Not copied: set from the length of the received body instead. */
const OMITTED_HEADERS = new Set(["content-length"]);

export interface ResponseOptions {
  /** Whether the connection is closed after this response. */
  readonly closesConnection: boolean;
}

export function relayResponse(
  response: ServerResponse,
  { status, rawHeaders, body }: Extract<GateOutcome, { type: "answer" }>,
  { closesConnection, isHead }: ResponseOptions & {
    readonly isHead: boolean;
  },
): void {
  const kept = copyEndToEndHeaders(rawHeaders, OMITTED_HEADERS);
  if (closesConnection) {
    response.shouldKeepAlive = false;
  }
  if (status !== 204 && status !== 304) {
    kept.push("content-length", String(body.length));
  }
  response.writeHead(status, kept);
  response.end(isHead ? undefined : body);
}

export function writeLocalReply(
  response: ServerResponse,
  { status, message, retryAfter }: LocalReply,
  { closesConnection }: ResponseOptions,
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
