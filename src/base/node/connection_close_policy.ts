/**
 * Decides after which response a client connection is closed.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import { closesConnection, type StopPhase } from "../common/stop_phase.ts";

export interface ConnectionClosePolicy {
  /** Records a request; returns false when an earlier response of the connection closes it, so that it must not run. */
  acceptRequest(request: IncomingMessage): boolean;
  /** Returns whether the response to a request closes its connection. Called once, when the response is written. */
  closesAfter(request: IncomingMessage): boolean;
}

export function createConnectionClosePolicy(
  phase: () => StopPhase,
): ConnectionClosePolicy {
  const lastRequests = new WeakMap<Socket, IncomingMessage>();
  const closingSockets = new WeakSet<Socket>();
  return {
    acceptRequest(request) {
      lastRequests.set(request.socket, request);
      return !closingSockets.has(request.socket);
    },
    closesAfter(request) {
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
