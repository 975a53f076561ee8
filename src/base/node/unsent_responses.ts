/**
 * Tracks responses that are buffered in this process because clients read slowly or not at all.
 *
 * @module
 */

import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";

export interface UnsentResponses {
  /** Starts tracking a response. Called when its request arrives. */
  add(response: ServerResponse, socket: Socket): void;
  /** Returns the responses of a connection that are not completely written yet, in request order. */
  of(socket: Socket): readonly ServerResponse[];
  /** Returns the number of responses that are complete but not yet written to open connections. */
  count(): number;
}

export function createUnsentResponses(): UnsentResponses {
  const open = new Map<Socket, Set<ServerResponse>>();

  function getOrCreateResponses(socket: Socket): Set<ServerResponse> {
    const known = open.get(socket);
    if (known !== undefined) {
      return known;
    }
    const created = new Set<ServerResponse>();
    open.set(socket, created);
    // A response that is queued after others emits no event when its connection is lost.
    socket.once("close", () => open.delete(socket));
    return created;
  }

  return {
    add(response, socket) {
      if (!socket.destroyed) {
        const responses = getOrCreateResponses(socket);
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
