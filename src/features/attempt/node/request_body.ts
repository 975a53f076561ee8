/**
 * The body of a caller's request, made ready for the first attempt.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import { readBody } from "../../../base/node/http_server.ts";
import { MAXIMUM_REPLAYABLE_BYTES, planBody } from "../common/body_plan.ts";
import { notRun, type Refusal } from "../common/refusal.ts";
import type { AttemptBody } from "./attempt.ts";
import type { Interruption } from "./interruption.ts";

/** Reads a small body whole, or leaves a large one to be streamed. */
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
      return notRun("body-too-large", "The body is larger than the limit");
    case "replay":
      return await readWhole(request, interruption);
  }
}

/** A caller that sends its body too slowly is refused at the deadline. */
function readWhole(
  request: IncomingMessage,
  interruption: Interruption,
): Promise<AttemptBody | Refusal> {
  return new Promise((resolve) => {
    const registration = interruption.onInterrupted(() =>
      resolve(notRun("deadline", "The body was not whole at the deadline"))
    );
    readBody(request, MAXIMUM_REPLAYABLE_BYTES).then((read) => {
      registration.dispose();
      resolve(
        read.ok
          ? { kind: "whole", bytes: read.val }
          : notRun("body-incomplete", read.val.message),
      );
    });
  });
}
