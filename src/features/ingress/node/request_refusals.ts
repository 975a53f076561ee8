/**
 * Refuses requests that are not offered to any gate.
 *
 * @module
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import { createLimitReply, createNotRunReply } from "../common/local_reply.ts";
import { type CallEnding, DEFAULT_RETRY_AFTER_MS } from "./call_ending.ts";
import type { IngressOptions } from "./ingress_options.ts";

/** A refusal by the ingress itself, before the call is offered to a gate. */
export interface RefusalDetails {
  readonly reason:
    | "stopping"
    | "not-ready"
    | "unknown-parent"
    | "stale"
    | "account-limit"
    | "no-memory";
  readonly retryAfter: Milliseconds;
  readonly delay?: Milliseconds;
}

export interface RequestRefusals {
  logRefusal(identity: string, details: RefusalDetails): void;
  /** Refuses a call and discards its body. */
  refuseWithoutBody(
    request: IncomingMessage,
    response: ServerResponse,
    refusal: Omit<RefusalDetails, "retryAfter"> & {
      readonly message: string;
      readonly retryAfter?: Milliseconds;
    },
  ): void;
}

export function createRequestRefusals(
  { log, headers }: Pick<IngressOptions, "log" | "headers">,
  { reply }: Pick<CallEnding, "reply">,
): RequestRefusals {
  function logRefusal(
    identity: string,
    { reason, retryAfter, delay }: RefusalDetails,
  ): void {
    log.write("info", "call.refused", {
      request: identity,
      reason,
      delay,
      retryAfter: Math.round(retryAfter),
    });
  }

  function refuseWithoutBody(
    request: IncomingMessage,
    response: ServerResponse,
    { reason, message, retryAfter = DEFAULT_RETRY_AFTER_MS, delay }: Parameters<
      RequestRefusals["refuseWithoutBody"]
    >[2],
  ): void {
    const identity = String(request.headers[headers.requestIdentity]);
    logRefusal(identity, { reason, retryAfter, delay });
    request.resume();
    reply(
      request,
      response,
      reason === "account-limit"
        ? createLimitReply(retryAfter)
        : createNotRunReply(message, retryAfter),
    );
  }

  return { logRefusal, refuseWithoutBody };
}
