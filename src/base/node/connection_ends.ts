/**
 * Decides after which response a client connection is closed.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import { closesConnection, type StopPhase } from "../common/stop_phase.ts";

export interface ConnectionEnds {
  /** Records a request; returns false when an earlier response of the connection closes it, so that it must not run. */
  noteRead(request: IncomingMessage): boolean;
  /** Returns whether the response to a request closes its connection. Called once, when the response is written. */
  endsBehind(request: IncomingMessage): boolean;
}

export function createConnectionEnds(
  phase: () => StopPhase,
): ConnectionEnds {
  const lastRequests = new WeakMap<Socket, IncomingMessage>();
  const closingSockets = new WeakSet<Socket>();
  return {
    noteRead(request) {
      lastRequests.set(request.socket, request);
      return !closingSockets.has(request.socket);
    },
    endsBehind(request) {
      const { socket } = request;
      const shouldClose = closesConnection(phase(), {
        isLastRead: lastRequests.get(socket) === request,
      });
      if (shouldClose) {
        closingSockets.add(socket);
      }
      return shouldClose;
    },
  };
}
