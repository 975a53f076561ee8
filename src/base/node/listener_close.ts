/**
 * Closes a listener without resetting the connections in its accept queue.
 *
 * A process may stop while callers open new connections. The kernel establishes a connection before the process
 * accepts it. libuv accepts one connection in each iteration of the event loop, and an iteration takes as long as the
 * requests that it handles. Closing the listener resets the connections that are still in the queue and loses their
 * requests.
 *
 * @module
 */

import { Server, type Socket } from "node:net";
import { setImmediate as nextLoopIteration } from "node:timers/promises";
import type { Milliseconds } from "../common/milliseconds.ts";

/** At 100 new connections a second, one arrives during an iteration this short in 2 % of the closes. */
const SHORT_ITERATION_MS: Milliseconds = 0.2;
/** After this long without a short iteration, a longer one is accepted: other work or a busy machine delays them. */
const SHORT_ITERATION_TIMEOUT_MS: Milliseconds = 100;
/** Twice the accept backlog of Node (511), so that a flood of connections cannot block a stop. */
const MAXIMUM_ITERATIONS = 1_024;

/**
 * Closes the listener after an event loop iteration in which no connection was accepted, preferably a short one.
 * Resolves when the listener is closed; its connections stay open. Reading is paused on all connections until then,
 * so that requests do not lengthen the iterations. A connection that the kernel establishes between the last poll and
 * the close is reset, which the process cannot prevent.
 */
export async function stopAccepting(
  server: Server,
  connections: ReadonlySet<Socket>,
): Promise<void> {
  const pausedSockets = [...connections].filter((socket) => !socket.isPaused());
  pausedSockets.forEach((socket) => socket.pause());
  function pauseNewConnection(socket: Socket): void {
    pausedSockets.push(socket);
    // The HTTP server starts reading in a tick that is already queued.
    process.nextTick(() => socket.pause());
  }
  server.on("connection", pauseNewConnection);
  // The current iteration may already have polled the listener.
  await nextLoopIteration();
  const shortIterationDeadline = performance.now() + SHORT_ITERATION_TIMEOUT_MS;
  for (
    let iterations = 0, isQuiet = false;
    !isQuiet && iterations < MAXIMUM_ITERATIONS;
  ) {
    const pausedBefore = pausedSockets.length;
    const startedAt = performance.now();
    await nextLoopIteration();
    iterations += 1;
    const isShort = performance.now() - startedAt <= SHORT_ITERATION_MS;
    isQuiet = pausedSockets.length === pausedBefore &&
      (isShort || performance.now() >= shortIterationDeadline);
  }
  server.off("connection", pauseNewConnection);
  // The close method of the HTTP server would also close idle connections.
  Server.prototype.close.call(server);
  pausedSockets.forEach((socket) => socket.resume());
}
