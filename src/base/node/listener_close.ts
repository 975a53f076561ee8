/**
 * Closes a listener without resetting connections that wait to be accepted.
 *
 * Load pattern: a process that stops while callers open new connections. The kernel establishes a connection
 * before the process accepts it; libuv accepts one in a turn of the event loop, and a turn lasts as long as
 * the requests that are handled in it. Closing the listener resets those that still wait, with their requests.
 *
 * @module
 */

import { Server, type Socket } from "node:net";
import { setImmediate as endOfTurn } from "node:timers/promises";
import type { Milliseconds } from "../common/milliseconds.ts";

/** At 100 new connections a second, one arrives in a turn this short in 2 % of the closes. */
const SHORT_TURN_MS: Milliseconds = 0.2;
/** When no turn is short for this long, other work or a busy machine makes them long. */
const SHORT_TURN_LIMIT_MS: Milliseconds = 100;
/** Twice the connections that can wait (Node's backlog is 511), so that a flood of them does not hold a stop. */
const MAXIMUM_TURNS = 1_024;

/**
 * Closes the listener after a turn in which no connection was accepted, a short one if one comes in time.
 * Resolves when it no longer accepts; its connections stay open. Until then no connection is read, so that
 * requests do not make the turns long. A connection that is established between the last poll and
 * the close is reset, which the process cannot prevent.
 */
export async function stopAccepting(
  server: Server,
  connections: ReadonlySet<Socket>,
): Promise<void> {
  const held = [...connections].filter((socket) => !socket.isPaused());
  held.forEach((socket) => socket.pause());
  function hold(socket: Socket): void {
    held.push(socket);
    // The HTTP server starts reading in a tick that is queued already.
    process.nextTick(() => socket.pause());
  }
  server.on("connection", hold);
  // A turn that has begun may have polled the listener already.
  await endOfTurn();
  const shortUntil = performance.now() + SHORT_TURN_LIMIT_MS;
  for (let turn = 0, isQuiet = false; !isQuiet && turn < MAXIMUM_TURNS;) {
    const heldBefore = held.length;
    const startedAt = performance.now();
    await endOfTurn();
    turn += 1;
    const isShort = performance.now() - startedAt <= SHORT_TURN_MS;
    isQuiet = held.length === heldBefore &&
      (isShort || performance.now() >= shortUntil);
  }
  server.off("connection", hold);
  // The method of the HTTP server would also close the idle connections.
  Server.prototype.close.call(server);
  held.forEach((socket) => socket.resume());
}
