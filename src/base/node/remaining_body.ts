/**
 * Closes connections whose clients keep sending a request body after the response.
 *
 * An early response does not stop a client that sends an endless body, and reading and discarding that body takes
 * processor time from other calls.
 *
 * @module
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Milliseconds } from "../common/milliseconds.ts";

/** Long enough for a client to read the response and send the rest of a typical body, so that the connection is kept. */
const REMAINING_BODY_TIMEOUT_MS: Milliseconds = 5_000;
/** Twice the largest body that a link can carry. */
const MAXIMUM_REMAINING_BODY_BYTES = 8 * 1024 * 1024;
/** The number of times that the limits are checked within the timeout. */
const CHECK_COUNT = 50;

export interface RemainingBodyLimits {
  readonly timeoutMilliseconds: Milliseconds;
  readonly maximumBytes: number;
}

/** Limits the time and the bytes of the request body that the client sends after the response. */
export function limitRemainingBody(
  request: IncomingMessage,
  response: ServerResponse,
  limits: RemainingBodyLimits = {
    timeoutMilliseconds: REMAINING_BODY_TIMEOUT_MS,
    maximumBytes: MAXIMUM_REMAINING_BODY_BYTES,
  },
): void {
  response.once("finish", () => {
    if (!request.complete && !request.socket.destroyed) {
      enforceLimits(request, limits);
    }
  });
}

function enforceLimits(
  request: IncomingMessage,
  limits: RemainingBodyLimits,
): void {
  const { socket } = request;
  const bytesReadBefore = socket.bytesRead;
  const deadline = performance.now() + limits.timeoutMilliseconds;
  const timer = setInterval(() => {
    if (request.complete || socket.destroyed) {
      clearInterval(timer);
    } else if (
      performance.now() >= deadline ||
      socket.bytesRead - bytesReadBefore > limits.maximumBytes
    ) {
      clearInterval(timer);
      socket.destroy();
    }
  }, Math.max(1, limits.timeoutMilliseconds / CHECK_COUNT));
  timer.unref();
}
