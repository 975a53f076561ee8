/**
 * Buffers the whole body of a request.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";

export interface BodyReaderOptions {
  readonly limit: number;
  readonly onBody: (body: Buffer) => void;
  /** Called for each chunk over the limit, so possibly more than once. */
  readonly onTooLong: () => void;
  /** Called when the connection ends before the body is complete. */
  readonly onAborted: () => void;
}

export function readBody(
  request: IncomingMessage,
  { limit, onBody, onTooLong, onAborted }: BodyReaderOptions,
): void {
  const chunks: Buffer[] = [];
  let length = 0;
  request.on("data", (chunk: Buffer) => {
    length += chunk.length;
    if (length > limit) {
      onTooLong();
      return;
    }
    chunks.push(chunk);
  });
  request.on("end", () => {
    onBody(chunks.length === 1 ? chunks[0] : Buffer.concat(chunks));
  });
  request.on("error", onAborted);
}
