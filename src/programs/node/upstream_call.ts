/**
 * Handles one call at the upstream stand-in.
 *
 * @module
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Clock } from "../../base/common/clock.ts";
import type { Milliseconds } from "../../base/common/milliseconds.ts";
import type { Outcome } from "../../base/common/step_error.ts";
import { readBody, sendJson } from "../../base/node/http_server.ts";
import type { CallPlan } from "../common/upstream_behaviour.ts";

export type CallEnd = "answered" | "cancelled" | "deadline" | "faulty";

export interface CallOptions {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly plan: Extract<CallPlan, { kind: "run" }>;
  readonly clock: Clock;
  readonly timeLeft: Milliseconds;
  readonly maximumBodyBytes: number;
  /** Fields of every successful response. */
  readonly describe: () => Record<string, unknown>;
  /** Called when the effect of the call is committed. */
  readonly onRun: (idempotencyKey: string | undefined) => void;
  readonly onEnd: (end: CallEnd) => void;
}

export function sendFailure(
  response: ServerResponse,
  status: number,
  outcome?: Outcome,
): void {
  sendJson(response, status, { status, outcome }, {
    ...(outcome === undefined ? {} : { "guavarun-outcome": outcome }),
  });
}

/** Reads the body, waits for the planned service time and responds, unless the caller disconnects. */
export async function runCall(options: CallOptions): Promise<void> {
  const { request, response, plan, clock } = options;
  let ended = false;
  const timers = [
    clock.schedule(Math.min(options.timeLeft, 2 ** 31 - 1), () => {
      end("deadline");
      sendFailure(response, 504, "unknown");
    }),
  ];

  function end(kind: CallEnd): void {
    if (!ended) {
      ended = true;
      timers.forEach((timer) => timer.dispose());
      options.onEnd(kind);
    }
  }

  response.on("close", () => end("cancelled"));
  const body = await readBody(request, options.maximumBodyBytes);
  if (ended) {
    return;
  }
  if (body.err) {
    end("cancelled");
    response.destroy();
    return;
  }
  const key = request.headers["idempotency-key"];
  // The effect is committed before the response is sent, so a lost response counts as a run too.
  if (plan.fault !== "false-success") {
    options.onRun(typeof key === "string" ? key : undefined);
  }
  if (plan.fault === "silent") {
    timers.forEach((timer) => timer.dispose());
    return;
  }
  timers.push(clock.schedule(plan.duration, () => {
    end(plan.fault === "none" ? "answered" : "faulty");
    sendResponse(options, body.val.length);
  }));
}

function sendResponse(options: CallOptions, receivedBytes: number): void {
  const { request, response, plan } = options;
  if (plan.fault === "fail") {
    sendFailure(response, 500);
    return;
  }
  const url = new URL(request.url ?? "/", "http://upstream");
  const text = JSON.stringify({
    ...options.describe(),
    path: request.url,
    key: request.headers["idempotency-key"],
    receivedBytes,
  });
  const size = Number(url.searchParams.get("bytes") ?? 0);
  const bytes = Buffer.from(text.padEnd(size) + "\n");
  response.writeHead(200, {
    "content-type": "application/json",
    "content-length": bytes.length,
  });
  if (plan.fault === "cut") {
    const half = bytes.subarray(0, bytes.length / 2);
    response.write(half, () => response.destroy());
    return;
  }
  response.end(bytes);
}
