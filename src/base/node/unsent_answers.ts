/**
 * Answers that wait in this process for clients that do not read, or read slowly.
 *
 * @module
 */

import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";

export interface UnsentAnswers {
  /** Follows an answer from its request on. */
  add(response: ServerResponse, socket: Socket): void;
  /** The answers to requests of a connection that are not written yet, in their order. */
  of(socket: Socket): readonly ServerResponse[];
  /** The number of answers that are complete and not yet written to open connections. */
  count(): number;
}

export function createUnsentAnswers(): UnsentAnswers {
  const open = new Map<Socket, Set<ServerResponse>>();

  function listOf(socket: Socket): Set<ServerResponse> {
    const known = open.get(socket);
    if (known !== undefined) {
      return known;
    }
    const created = new Set<ServerResponse>();
    open.set(socket, created);
    // An answer behind others gets no event of its own when its connection is lost.
    socket.once("close", () => open.delete(socket));
    return created;
  }

  return {
    add(response, socket) {
      if (!socket.destroyed) {
        const responses = listOf(socket);
        responses.add(response);
        response.once("finish", () => responses.delete(response));
      }
    },
    of: (socket) => [...(open.get(socket) ?? [])],
    count: () =>
      [...open.values()].reduce(
        (sum, responses) =>
          sum +
          [...responses].filter(({ writableEnded }) => writableEnded).length,
        0,
      ),
  };
}
