/**
 * Answers to the caller: relayed, stale, or the proxy's own.
 *
 * @module
 */

import type { ServerResponse } from "node:http";
import { sendJson } from "../../../base/node/http_server.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { Outcome } from "../../../base/common/step_error.ts";
import type { FailureCause } from "../common/attempt_outcome.ts";
import {
  copyEndToEndHeaders,
  OUTCOME_HEADER,
  RETRY_HEADER,
  RETRY_NEVER,
} from "../common/call_headers.ts";
import { type Refusal, statusOfRefusal } from "../common/refusal.ts";
import type { CachedAnswer } from "../common/stale_cache.ts";
import type { Answer, StreamingAnswer } from "./attempt.ts";
import type { Interruption } from "./interruption.ts";

/** Headers that the proxy sets itself from what it knows of the whole call. */
const OWN_HEADERS = new Set([OUTCOME_HEADER, RETRY_HEADER]);
const STALE_HEADERS = new Set([...OWN_HEADERS, "age", "warning"]);
const STALE_WARNING = '110 - "Response is Stale"';

/** What the proxy adds to the answer that it gives. */
export interface AnswerNotes {
  readonly outcome: Outcome | undefined;
  readonly retryNever: boolean;
  readonly closeConnection: boolean;
}

export function sendRefusal(
  response: ServerResponse,
  refusal: Refusal,
  closeConnection: boolean,
): void {
  if (response.headersSent || response.destroyed) {
    response.destroy();
    return;
  }
  sendJson(response, statusOfRefusal(refusal.reason), {
    outcome: refusal.outcome,
    reason: refusal.reason,
    message: refusal.message,
  }, {
    [OUTCOME_HEADER]: refusal.outcome,
    ...(refusal.retryNever ? { [RETRY_HEADER]: RETRY_NEVER } : {}),
    ...(closeConnection ? { connection: "close" } : {}),
  });
}

export function sendStale(
  response: ServerResponse,
  answer: CachedAnswer,
  now: Milliseconds,
): void {
  const age = Math.max(0, Math.floor((now - answer.receivedAt) / 1_000));
  const headers = copyEndToEndHeaders(answer.headers, STALE_HEADERS);
  headers.push("age", String(age), "warning", STALE_WARNING);
  response.writeHead(200, headers);
  response.end(answer.body);
}

export function sendWhole(
  response: ServerResponse,
  answer: Answer,
  body: Buffer,
  notes: AnswerNotes,
): void {
  response.writeHead(answer.status, headersOf(answer, notes));
  response.end(body);
}

/**
 * Relays a streaming answer. Resolves with undefined when the caller got it whole, and with
 * the cause when the caller's connection was destroyed.
 */
export function relayStream(
  response: ServerResponse,
  end: StreamingAnswer,
  options: { notes: AnswerNotes; interruption: Interruption },
): Promise<FailureCause | undefined> {
  return new Promise((resolve) => {
    const { incoming } = end;
    const registration = options.interruption.onInterrupted((cause) => {
      // A caller that reads slowly uses up the deadline without fault of the instance.
      finish(response.writableNeedDrain ? "caller-gone" : cause);
    });
    let finished = false;

    function finish(cause: FailureCause | undefined): void {
      if (finished) {
        return;
      }
      finished = true;
      registration.dispose();
      if (cause !== undefined) {
        end.destroy(cause);
        response.destroy();
      }
      resolve(cause);
    }

    if (options.interruption.cause !== undefined) {
      finish(options.interruption.cause);
      return;
    }
    incoming.once("error", () => finish("reset"));
    incoming.once("close", () => {
      if (!incoming.complete) {
        finish("reset");
      }
    });
    response.once("finish", () => finish(undefined));
    response.writeHead(end.answer.status, headersOf(end.answer, options.notes));
    for (const part of end.received) {
      response.write(part);
    }
    incoming.pipe(response, { end: false });
    incoming.once("end", () => {
      if (incoming.complete) {
        response.end();
      } else {
        finish("reset");
      }
    });
  });
}

function headersOf(answer: Answer, notes: AnswerNotes): string[] {
  const headers = copyEndToEndHeaders(answer.rawHeaders, OWN_HEADERS);
  if (notes.outcome !== undefined) {
    headers.push(OUTCOME_HEADER, notes.outcome);
  }
  if (notes.retryNever) {
    headers.push(RETRY_HEADER, RETRY_NEVER);
  }
  if (notes.closeConnection) {
    headers.push("connection", "close");
  }
  return headers;
}
