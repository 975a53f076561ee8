/**
 * Ends connections whose clients send bytes that are no request.
 *
 * Node's own handling writes a refusal at once and destroys the connection. A request that was read before
 * would get that refusal in place of its answer, while it runs.
 *
 * @module
 */

import { type ServerResponse, STATUS_CODES } from "node:http";
import type { Socket } from "node:net";

const STATUS_OF_CODE: Readonly<Record<string, number>> = {
  HPE_HEADER_OVERFLOW: 431,
  ERR_HTTP_REQUEST_TIMEOUT: 408,
};
const STATUS_MALFORMED = 400;
/** What a client may send behind such bytes while it waits for an answer; more than a usual read. */
const MAXIMUM_IGNORED_BYTES = 256 * 1024;

/** How much was read on a connection when it was found out. */
const readBefore = new WeakMap<Socket, number>();

/**
 * `pending` are the answers to requests that were read on the connection, in their order. Called anew for
 * each further read.
 */
export function endAfterClientError(
  socket: Socket,
  { code, pending }: {
    readonly code: string | undefined;
    readonly pending: readonly ServerResponse[];
  },
): void {
  const before = readBefore.get(socket);
  const last = pending.findLast(({ req }) => req.complete);
  if (!socket.writable) {
    socket.destroy();
  } else if (before !== undefined) {
    if (socket.bytesRead - before > MAXIMUM_IGNORED_BYTES) {
      socket.destroy();
    }
  } else if (last !== undefined) {
    readBefore.set(socket, socket.bytesRead);
    last.shouldKeepAlive = false;
    // An answer whose header section is written already does not say that it ends the connection.
    last.once("finish", () => socket.destroySoon());
  } else {
    if (!pending.some(({ headersSent }) => headersSent)) {
      const status = STATUS_OF_CODE[code ?? ""] ?? STATUS_MALFORMED;
      socket.write(
        `HTTP/1.1 ${status} ${
          STATUS_CODES[status]
        }\r\nconnection: close\r\n\r\n`,
      );
    }
    socket.destroy();
  }
}
