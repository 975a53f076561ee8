/**
 * Ends connections whose clients go on sending a body after they have got their answer.
 *
 * Load pattern: a body without end. An answer that is given early does not stop it, and reading it to
 * its end, which never comes, takes processor time from other calls.
 *
 * @module
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Milliseconds } from "../common/milliseconds.ts";

/** Long enough to read the answer and to send the rest of a usual body, so that the connection is kept. */
const SURPLUS_TIMEOUT_MS: Milliseconds = 5_000;
/** Twice the largest body that a link can carry. */
const MAXIMUM_SURPLUS_BYTES = 8 * 1024 * 1024;
/** How often the limits are checked in that time. */
const CHECKS = 50;

export interface SurplusLimits {
  readonly timeoutMilliseconds: Milliseconds;
  readonly maximumBytes: number;
}

/** Limits what follows the answer to a request on its connection. */
export function limitSurplusBody(
  request: IncomingMessage,
  response: ServerResponse,
  limits: SurplusLimits = {
    timeoutMilliseconds: SURPLUS_TIMEOUT_MS,
    maximumBytes: MAXIMUM_SURPLUS_BYTES,
  },
): void {
  response.once("finish", () => {
    if (!request.complete && !request.socket.destroyed) {
      watch(request, limits);
    }
  });
}

function watch(request: IncomingMessage, limits: SurplusLimits): void {
  const { socket } = request;
  const readBefore = socket.bytesRead;
  const until = performance.now() + limits.timeoutMilliseconds;
  const timer = setInterval(() => {
    if (request.complete || socket.destroyed) {
      clearInterval(timer);
    } else if (
      performance.now() >= until ||
      socket.bytesRead - readBefore > limits.maximumBytes
    ) {
      clearInterval(timer);
      socket.destroy();
    }
  }, Math.max(1, limits.timeoutMilliseconds / CHECKS));
  timer.unref();
}
