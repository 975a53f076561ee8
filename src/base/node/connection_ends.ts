/**
 * Which connections of clients end, and behind which answer.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import { closesConnection, type StopPhase } from "../common/stop_phase.ts";

export interface ConnectionEnds {
  /** Returns whether the request may run: no answer before it says that it ends the connection. */
  noteRead(request: IncomingMessage): boolean;
  /** Decides whether the answer to a request ends its connection; asked once, when it is written. */
  endsBehind(request: IncomingMessage): boolean;
}

export function createConnectionEnds(
  phase: () => StopPhase,
): ConnectionEnds {
  const lastRead = new WeakMap<Socket, IncomingMessage>();
  const ending = new WeakSet<Socket>();
  return {
    noteRead(request) {
      lastRead.set(request.socket, request);
      return !ending.has(request.socket);
    },
    endsBehind(request) {
      const { socket } = request;
      const isEnd = closesConnection(phase(), {
        isLastRead: lastRead.get(socket) === request,
      });
      if (isEnd) {
        ending.add(socket);
      }
      return isEnd;
    },
  };
}
