/**
 * Closes connections whose clients send malformed requests.
 *
 * The default handling of Node immediately writes an error response and destroys the connection. An earlier request
 * that is still in flight on the connection would get that error instead of its own response.
 *
 * @module
 */

import { type ServerResponse, STATUS_CODES } from "node:http";
import type { Socket } from "node:net";

const STATUS_BY_ERROR_CODE: Readonly<Record<string, number>> = {
  HPE_HEADER_OVERFLOW: 431,
  ERR_HTTP_REQUEST_TIMEOUT: 408,
};
const BAD_REQUEST_STATUS = 400;
/**
 * The bytes that a client may send after the malformed ones while it waits for a response; larger than a typical
 * socket read.
 */
const MAXIMUM_IGNORED_BYTES = 256 * 1024;

/** The number of bytes read on a connection when its error was detected. */
const bytesReadAtError = new WeakMap<Socket, number>();

/**
 * Closes a connection after a client error: after the response to its last complete request, else immediately with an
 * error status. `pending` are the unsent responses of the connection in request order. Called again for each
 * further read on the connection.
 */
export function closeAfterClientError(
  socket: Socket,
  { code, pending }: {
    readonly code: string | undefined;
    readonly pending: readonly ServerResponse[];
  },
): void {
  const readAtError = bytesReadAtError.get(socket);
  const lastComplete = pending.findLast(({ req }) => req.complete);
  if (!socket.writable) {
    socket.destroy();
  } else if (readAtError !== undefined) {
    if (socket.bytesRead - readAtError > MAXIMUM_IGNORED_BYTES) {
      socket.destroy();
    }
  } else if (lastComplete !== undefined) {
    bytesReadAtError.set(socket, socket.bytesRead);
    lastComplete.shouldKeepAlive = false;
    // A response whose headers were already sent cannot announce `connection: close`.
    lastComplete.once("finish", () => socket.destroySoon());
  } else {
    if (!pending.some(({ headersSent }) => headersSent)) {
      const status = STATUS_BY_ERROR_CODE[code ?? ""] ?? BAD_REQUEST_STATUS;
      socket.write(
        `HTTP/1.1 ${status} ${
          STATUS_CODES[status]
        }\r\nconnection: close\r\n\r\n`,
      );
    }
    socket.destroy();
  }
}
