/**
 * Sends bytes without end, for tests of readers.
 *
 * @module
 */

import type { Socket } from "node:net";

const PIECE_BYTES = 64 * 1024;

export interface EndlessBytes {
  /** What is sent first. */
  readonly start: string;
  /** What is sent again and again afterwards. */
  readonly unit: string;
  /** Stops after this many bytes and leaves the connection open; otherwise never. */
  readonly pauseAfterBytes?: number;
}

/** Sends as fast as the other side reads, until the connection is closed. */
export function sendEndlessBytes(
  socket: Socket,
  { start, unit, pauseAfterBytes = Infinity }: EndlessBytes,
): void {
  const piece = Buffer.from(
    unit.repeat(Math.ceil(PIECE_BYTES / unit.length)),
    "latin1",
  );
  let sent = 0;
  const send = () => {
    let hasRoom = true;
    while (hasRoom && !socket.destroyed && sent < pauseAfterBytes) {
      hasRoom = socket.write(piece);
      sent += piece.length;
    }
  };
  // The other side closes the connection in the middle.
  socket.on("error", () => {});
  socket.on("drain", send);
  socket.write(start, "latin1");
  send();
}
