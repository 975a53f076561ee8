/**
 * A pool of connections to upstream instances: limited per instance, reused, and replaced after
 * a timeout, when a late response may still arrive on them.
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
 * Upstreams close idle connections after 5 s, the default of Node's server. A request written at
 * that moment is lost with an unknown outcome, so idle connections are discarded earlier.
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
  /** The maximum number of connections to this peer, including those in use. */
  readonly limit: number;
}

export interface ConnectionPool extends Disposable {
  /**
   * Gets a connection. The callback is called synchronously if one is idle. Disposing of the result
   * cancels the request; it has no effect on a connection already obtained.
   */
  acquire(
    peer: ConnectionPeer,
    options: AcquireOptions,
    callback: (result: Socket | AcquireFailure) => void,
  ): Disposable;
  /** Closes the idle connections of a peer now and those in use after their exchange. */
  retireConnections(identity: string): void;
  /** The number of connections. `busy` includes connections that are being opened. */
  count(identity: string): { readonly busy: number; readonly idle: number };
}

interface Connection {
  readonly socket: Socket;
  isReusable: boolean;
  idleSince: Milliseconds;
}

interface ConnectionWaiter {
  readonly start: () => void;
}

interface PeerState {
  readonly connections: Set<Connection>;
  readonly idle: Connection[];
  readonly waiters: Set<ConnectionWaiter>;
  opening: number;
}

export function createConnectionPool(clock: Clock): ConnectionPool {
  const states = new Map<string, PeerState>();
  const sweepTimer = clock.repeat(SWEEP_INTERVAL_MS, closeExpired);
  let disposed = false;

  function findOrAddState(identity: string): PeerState {
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

  function closeExpired(): void {
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
    // Most recently used first, so that surplus connections expire.
    for (
      let connection = state.idle.pop();
      connection !== undefined;
      connection = state.idle.pop()
    ) {
      if (
        connection.isReusable && !connection.socket.destroyed &&
        now - connection.idleSince < IDLE_LIMIT_MS
      ) {
        connection.socket.off("data", closeOnUnexpectedData);
        return connection.socket;
      }
      connection.socket.destroy();
    }
    return undefined;
  }

  function addConnection(state: PeerState, socket: Socket): void {
    const connection: Connection = { socket, isReusable: true, idleSince: 0 };
    state.connections.add(connection);
    socket.on("free", () => {
      if (!connection.isReusable || disposed) {
        socket.destroy();
        return;
      }
      connection.idleSince = clock.now();
      state.idle.push(connection);
      socket.on("data", closeOnUnexpectedData);
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
      const state = findOrAddState(peer.identity);
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
        opening = openConnection(state, peer, (result) => {
          if (settled && typeof result !== "string") {
            result.emit("free");
          } else {
            settle(result);
          }
        }, (socket) => addConnection(state, socket));
        return true;
      }

      const waiter: ConnectionWaiter = {
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
    retireConnections(identity) {
      const state = states.get(identity);
      for (const connection of state?.connections ?? []) {
        connection.isReusable = false;
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
      sweepTimer.dispose();
      for (const state of states.values()) {
        for (const connection of [...state.connections]) {
          connection.socket.destroy();
        }
      }
    },
  };
}

function openConnection(
  state: PeerState,
  peer: ConnectionPeer,
  callback: (result: Socket | AcquireFailure) => void,
  addConnection: (socket: Socket) => void,
): Socket {
  const socket = connect({
    host: peer.address,
    port: peer.port,
    noDelay: true,
  });
  let isOpen = false;
  state.opening += 1;
  // Ignored: errors of a connection in use are reported to its request; an idle connection is closed.
  socket.on("error", () => {});
  socket.once("connect", () => {
    isOpen = true;
    state.opening -= 1;
    addConnection(socket);
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
 * Closes an idle connection that receives data. The data is a late or a second response, and would
 * be taken for the response to the next request (G5).
 */
function closeOnUnexpectedData(this: Socket): void {
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
