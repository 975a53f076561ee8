/**
 * Prepares the body of a caller's request for the first attempt.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import { readBody } from "../../../base/node/http_server.ts";
import { MAXIMUM_REPLAYABLE_BYTES, planBody } from "../common/body_plan.ts";
import { createNotRunRefusal, type Refusal } from "../common/refusal.ts";
import type { AttemptBody } from "./attempt.ts";
import type { Interruption } from "./interruption.ts";

/** Buffers a small body; a large one is streamed by the attempt. */
export async function prepareBody(
  request: IncomingMessage,
  interruption: Interruption,
): Promise<AttemptBody | Refusal> {
  const plan = planBody({
    contentLength: request.headers["content-length"],
    transferEncoding: request.headers["transfer-encoding"],
  });
  switch (plan) {
    case "none":
      return { kind: "whole", bytes: undefined };
    case "stream":
      return { kind: "stream", source: request };
    case "refuse":
      return createNotRunRefusal(
        "body-too-large",
        "The body is larger than the limit",
      );
    case "replay":
      return await readCompleteBody(request, interruption);
  }
}

/** Reads the complete body; refuses the call at its deadline if the caller sends too slowly. */
function readCompleteBody(
  request: IncomingMessage,
  interruption: Interruption,
): Promise<AttemptBody | Refusal> {
  return new Promise((resolve) => {
    const registration = interruption.onInterrupted(() =>
      resolve(
        createNotRunRefusal(
          "deadline",
          "The body was not complete at the deadline",
        ),
      )
    );
    readBody(request, MAXIMUM_REPLAYABLE_BYTES).then((read) => {
      registration.dispose();
      resolve(
        read.ok
          ? { kind: "whole", bytes: read.val }
          : createNotRunRefusal("body-incomplete", read.val.message),
      );
    });
  });
}
