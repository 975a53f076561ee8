/**
 * Limits the memory of complete responses that clients do not read.
 *
 * Load pattern: clients that read slowly or not at all, while instances send large responses. Each response has
 * a size limit, but all that wait for their clients would together exhaust the memory of the process. The connection
 * for which most bytes wait is closed, so that clients that read are not affected.
 *
 * @module
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { EventLog } from "../../../base/common/event_log.ts";
import {
  type BufferReservation,
  createResponseBufferBudget,
} from "../../gate/common/response_buffer_budget.ts";

/** A fifth of the memory of a host; typical responses take a few KiB and are sent immediately. */
export const UNREAD_RESPONSE_BUDGET_BYTES = 64 * 1024 * 1024;

interface Connection {
  readonly reservation: BufferReservation;
  bytes: number;
}

export interface UnreadResponses {
  /** Counts the body of a response that has been written until the client has received it. May close connections. */
  add(
    request: IncomingMessage,
    response: ServerResponse,
    bodyBytes: number,
  ): void;
}

export function createUnreadResponses(log: EventLog): UnreadResponses {
  const budget = createResponseBufferBudget(UNREAD_RESPONSE_BUDGET_BYTES);
  const connections = new Map<Socket, Connection>();

  function getOrCreateConnection(socket: Socket): Connection {
    const known = connections.get(socket);
    if (known !== undefined) {
      return known;
    }
    const connection: Connection = {
      reservation: budget.reserve(() => {
        log.write("warn", "call.response-unread", { bytes: connection.bytes });
        socket.destroy();
      }),
      bytes: 0,
    };
    connections.set(socket, connection);
    socket.once("close", () => {
      connections.delete(socket);
      connection.reservation.dispose();
    });
    return connection;
  }

  return {
    add({ socket }, response, bodyBytes) {
      if (response.writableLength === 0 || socket.destroyed) {
        return;
      }
      const connection = getOrCreateConnection(socket);
      const change = (bytes: number) => {
        connection.bytes += bytes;
        connection.reservation.resize(connection.bytes);
      };
      change(bodyBytes);
      response.once("finish", () => change(-bodyBytes));
    },
  };
}
