/**
 * Bytes of an instance that are no answer: some, or without end in a head or a body.
 *
 * @module
 */

import type { ServerResponse } from "node:http";
import type { Milliseconds } from "../src/base/common/milliseconds.ts";

const NOISE_BYTES = 4_096;
const ENDLESS_BYTES = 16 * 1_024;
const ENDLESS_INTERVAL_MS: Milliseconds = 2;

type BrokenKind =
  | "noise"
  | "endless-head"
  | "endless-length"
  | "endless-chunks";

const BEGINNINGS: Readonly<Record<BrokenKind, string>> = {
  "noise": "",
  "endless-head": "HTTP/1.1 200 OK\r\nx-filler: ",
  "endless-length": "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n",
  "endless-chunks": "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
};

/** Writes past the response on its connection, for the endless kinds until the daemon closes it. */
export function breakAnswer(response: ServerResponse): void {
  const kinds = Object.keys(BEGINNINGS) as BrokenKind[];
  const kind = kinds[Math.floor(Math.random() * kinds.length)];
  const socket = response.socket;
  if (socket === null || socket.destroyed) {
    return;
  }
  socket.write(BEGINNINGS[kind]);
  if (kind === "noise") {
    socket.end(Buffer.alloc(NOISE_BYTES, 0x07));
    return;
  }
  const text = "a".repeat(ENDLESS_BYTES);
  const part = kind === "endless-chunks"
    ? `${ENDLESS_BYTES.toString(16)}\r\n${text}\r\n`
    : text;
  const timer = setInterval(() => {
    if (!socket.writableNeedDrain) {
      socket.write(part);
    }
  }, ENDLESS_INTERVAL_MS);
  socket.once("close", () => clearInterval(timer));
}
