/**
 * Writes an endless byte stream to a socket, for tests of readers.
 *
 * @module
 */

import type { Socket } from "node:net";

const CHUNK_BYTES = 64 * 1024;

export interface EndlessBytes {
  /** Sent once at the start. */
  readonly start: string;
  /** Sent repeatedly afterwards. */
  readonly unit: string;
  /** Stops after this many bytes and leaves the connection open. Default: no limit. */
  readonly pauseAfterBytes?: number;
}

/** Sends as fast as the peer reads, until the connection is closed. */
export function sendEndlessBytes(
  socket: Socket,
  { start, unit, pauseAfterBytes = Infinity }: EndlessBytes,
): void {
  const chunk = Buffer.from(
    unit.repeat(Math.ceil(CHUNK_BYTES / unit.length)),
    "latin1",
  );
  let sent = 0;
  const send = () => {
    let canWrite = true;
    while (canWrite && !socket.destroyed && sent < pauseAfterBytes) {
      canWrite = socket.write(chunk);
      sent += chunk.length;
    }
  };
  // The peer closes the connection while bytes are being sent.
  socket.on("error", () => {});
  socket.on("drain", send);
  socket.write(start, "latin1");
  send();
}
