/**
 * Connections to upstream instances: bounded per instance, reused, and replaced when the
 * instance is suspected of answering late.
 *
 * @module
 */

import { connect, type Socket } from "node:net";
import type { Clock } from "../../../base/common/clock.ts";
import {
  createDisposable,
  type Disposable,
} from "../../../base/common/disposable.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";

/**
 * An upstream closes an idle connection after 5 s, the default of Node's server. A request
 * that is written at that moment is lost with an unknown outcome, so reuse ends earlier.
 */
export const IDLE_LIMIT_MS: Milliseconds = 4_000;
const SWEEP_INTERVAL_MS: Milliseconds = 1_000;

export interface ConnectionPeer {
  readonly identity: string;
  readonly address: string;
  readonly port: number;
}

export type AcquireFailure = "refused" | "timeout" | "connection-limit";

export interface AcquireOptions {
  readonly timeoutMilliseconds: Milliseconds;
  /** The most connections to this peer, with those in use. */
  readonly limit: number;
}

export interface ConnectionPool extends Disposable {
  /**
   * Gets a connection, by callback at once when one is idle. Disposing of the result gives
   * up the request for a connection; it has no effect on a connection already obtained.
   */
  acquire(
    peer: ConnectionPeer,
    options: AcquireOptions,
    callback: (result: Socket | AcquireFailure) => void,
  ): Disposable;
  /** Closes the idle connections of a peer; those in use are closed after their exchange. */
  distrust(identity: string): void;
  /** Connections in use, being opened and idle. */
  count(identity: string): { readonly busy: number; readonly idle: number };
}

interface Connection {
  readonly socket: Socket;
  isTrusted: boolean;
  idleSince: Milliseconds;
}

interface Waiter {
  readonly start: () => void;
}

interface PeerState {
  readonly connections: Set<Connection>;
  readonly idle: Connection[];
  readonly waiters: Set<Waiter>;
  opening: number;
}

export function createConnectionPool(clock: Clock): ConnectionPool {
  const states = new Map<string, PeerState>();
  const sweeping = clock.repeat(SWEEP_INTERVAL_MS, sweep);
  let disposed = false;

  function stateOf(identity: string): PeerState {
    let state = states.get(identity);
    if (state === undefined) {
      state = {
        connections: new Set(),
        idle: [],
        waiters: new Set(),
        opening: 0,
      };
      states.set(identity, state);
    }
    return state;
  }

  function sweep(): void {
    const now = clock.now();
    for (const [identity, state] of states) {
      for (const connection of [...state.idle]) {
        if (now - connection.idleSince >= IDLE_LIMIT_MS) {
          discard(state, connection);
        }
      }
      if (
        state.connections.size + state.opening + state.waiters.size === 0
      ) {
        states.delete(identity);
      }
    }
  }

  function takeIdle(state: PeerState): Socket | undefined {
    const now = clock.now();
    // The connection used last is taken first, so that a surplus grows old and is closed.
    for (
      let connection = state.idle.pop();
      connection !== undefined;
      connection = state.idle.pop()
    ) {
      if (
        connection.isTrusted && !connection.socket.destroyed &&
        now - connection.idleSince < IDLE_LIMIT_MS
      ) {
        connection.socket.off("data", refuseUnexpectedData);
        return connection.socket;
      }
      connection.socket.destroy();
    }
    return undefined;
  }

  function adopt(state: PeerState, socket: Socket): void {
    const connection: Connection = { socket, isTrusted: true, idleSince: 0 };
    state.connections.add(connection);
    socket.on("free", () => {
      if (!connection.isTrusted || disposed) {
        socket.destroy();
        return;
      }
      connection.idleSince = clock.now();
      state.idle.push(connection);
      socket.on("data", refuseUnexpectedData);
      socket.resume();
      startWaiter(state);
    });
    socket.on("end", () => socket.destroy());
    socket.on("close", () => {
      state.connections.delete(connection);
      remove(state.idle, connection);
      startWaiter(state);
    });
  }

  return {
    acquire(peer, options, callback) {
      const state = stateOf(peer.identity);
      let settled = false;
      let opening: Socket | undefined;

      function settle(result: Socket | AcquireFailure): void {
        if (!settled) {
          settled = true;
          timer.dispose();
          state.waiters.delete(waiter);
          callback(result);
        }
      }

      function start(): boolean {
        const idle = takeIdle(state);
        if (idle !== undefined) {
          settle(idle);
          return true;
        }
        if (state.connections.size + state.opening >= options.limit) {
          return false;
        }
        opening = open(state, peer, (result) => {
          if (settled && typeof result !== "string") {
            result.emit("free");
          } else {
            settle(result);
          }
        }, (socket) => adopt(state, socket));
        return true;
      }

      const waiter: Waiter = {
        start: () => {
          if (start()) {
            state.waiters.delete(waiter);
          }
        },
      };
      const timer = clock.schedule(options.timeoutMilliseconds, () => {
        const wasWaiting = opening === undefined;
        settle(wasWaiting ? "connection-limit" : "timeout");
        opening?.destroy();
      });
      if (!start()) {
        state.waiters.add(waiter);
      }
      return createDisposable(() => {
        settled = true;
        timer.dispose();
        state.waiters.delete(waiter);
      });
    },
    distrust(identity) {
      const state = states.get(identity);
      for (const connection of state?.connections ?? []) {
        connection.isTrusted = false;
      }
      for (const connection of [...state?.idle ?? []]) {
        discard(state!, connection);
      }
    },
    count(identity) {
      const state = states.get(identity);
      const idle = state?.idle.length ?? 0;
      const all = (state?.connections.size ?? 0) + (state?.opening ?? 0);
      return { busy: all - idle, idle };
    },
    dispose() {
      disposed = true;
      sweeping.dispose();
      for (const state of states.values()) {
        for (const connection of [...state.connections]) {
          connection.socket.destroy();
        }
      }
    },
  };
}

function open(
  state: PeerState,
  peer: ConnectionPeer,
  callback: (result: Socket | AcquireFailure) => void,
  adopt: (socket: Socket) => void,
): Socket {
  const socket = connect({
    host: peer.address,
    port: peer.port,
    noDelay: true,
  });
  let isOpen = false;
  state.opening += 1;
  // Errors of a connection in use reach its request; an idle one only closes.
  socket.on("error", () => {});
  socket.once("connect", () => {
    isOpen = true;
    state.opening -= 1;
    adopt(socket);
    callback(socket);
  });
  socket.once("close", () => {
    if (!isOpen) {
      state.opening -= 1;
      callback("refused");
      startWaiter(state);
    }
  });
  return socket;
}

function startWaiter(state: PeerState): void {
  const [next] = state.waiters;
  next?.start();
}

/**
 * Bytes on an idle connection are a late or a second answer. They would be taken for the
 * answer to the next request (G5).
 */
function refuseUnexpectedData(this: Socket): void {
  this.destroy();
}

function discard(state: PeerState, connection: Connection): void {
  remove(state.idle, connection);
  connection.socket.destroy();
}

function remove<T>(list: T[], item: T): void {
  const index = list.indexOf(item);
  if (index >= 0) {
    list.splice(index, 1);
  }
}
