/**
 * Malformed responses of an instance: a few bytes, or an endless head or body.
 *
 * @module
 */

import type { ServerResponse } from "node:http";
import type { Milliseconds } from "../src/base/common/milliseconds.ts";

const NOISE_BYTES = 4_096;
const ENDLESS_CHUNK_BYTES = 16 * 1_024;
const ENDLESS_INTERVAL_MS: Milliseconds = 2;

type BrokenResponseKind =
  | "noise"
  | "endless-head"
  | "endless-length"
  | "endless-chunks";

const RESPONSE_PREFIXES: Readonly<Record<BrokenResponseKind, string>> = {
  "noise": "",
  "endless-head": "HTTP/1.1 200 OK\r\nx-filler: ",
  "endless-length": "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n",
  "endless-chunks": "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
};

/** Writes to the socket of the response; the endless kinds continue until the daemon closes it. */
export function sendBrokenResponse(response: ServerResponse): void {
  const kinds = Object.keys(RESPONSE_PREFIXES) as BrokenResponseKind[];
  const kind = kinds[Math.floor(Math.random() * kinds.length)];
  const socket = response.socket;
  if (socket === null || socket.destroyed) {
    return;
  }
  socket.write(RESPONSE_PREFIXES[kind]);
  if (kind === "noise") {
    socket.end(Buffer.alloc(NOISE_BYTES, 0x07));
    return;
  }
  const text = "a".repeat(ENDLESS_CHUNK_BYTES);
  const part = kind === "endless-chunks"
    ? `${ENDLESS_CHUNK_BYTES.toString(16)}\r\n${text}\r\n`
    : text;
  const timer = setInterval(() => {
    if (!socket.writableNeedDrain) {
      socket.write(part);
    }
  }, ENDLESS_INTERVAL_MS);
  socket.once("close", () => clearInterval(timer));
}
