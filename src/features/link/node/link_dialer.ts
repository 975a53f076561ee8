/**
 * Dials the targets of a daemon, and dials them again after a failure with exponential backoff and full
 * jitter.
 *
 * @module
 */

import { WebSocket } from "ws";
import {
  type BackoffOptions,
  computeBackoff,
} from "../../../base/common/backoff.ts";
import type { Clock } from "../../../base/common/clock.ts";
import type { Disposable } from "../../../base/common/disposable.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { RandomSource } from "../../../base/common/random_source.ts";
import type { HostName } from "../../../world/common/names.ts";
import { computeDialDelay } from "../common/link_rules.ts";
import type { LinkTarget } from "../common/peer_network.ts";
import { MAXIMUM_MESSAGE_BYTES } from "./link.ts";

/** The response header with the delay in milliseconds after which a refused caller may retry. */
export const RETRY_HEADER = "guavarun-retry-milliseconds";

/** A connection attempt that ended without a connection. */
export interface ConnectFailure {
  readonly reason: string;
  /** The delay that the other side requested; 0 if it did not respond. */
  readonly retryMilliseconds: Milliseconds;
}

export interface ConnectOptions {
  readonly timeoutMilliseconds: Milliseconds;
  readonly onOpen: (socket: WebSocket) => void;
  readonly onFailure: (failure: ConnectFailure) => void;
}

/** Makes one connection attempt; exactly one of the two callbacks is called. */
export function connect(
  target: LinkTarget,
  options: ConnectOptions,
): WebSocket {
  const socket = new WebSocket(`ws://${target.address}:${target.port}/`, {
    handshakeTimeout: options.timeoutMilliseconds,
    maxPayload: MAXIMUM_MESSAGE_BYTES,
    perMessageDeflate: false,
    generateMask: generateZeroMask,
  });
  let settled = false;
  const fail = (reason: string, retryMilliseconds = 0) => {
    if (!settled) {
      settled = true;
      options.onFailure({ reason, retryMilliseconds });
    }
  };
  socket.on("open", () => {
    settled = true;
    options.onOpen(socket);
  });
  socket.on("unexpected-response", (request, response) => {
    const retry = Number(response.headers[RETRY_HEADER]);
    fail(`refused with status ${response.statusCode}`, retry > 0 ? retry : 0);
    request.destroy();
  });
  socket.on("error", (error) => fail(error.message));
  socket.on("close", () => fail("closed before it opened"));
  return socket;
}

/**
 * Leaves the mask at zero, in which case the library skips masking. Masking protects proxies from browser
 * scripts; between daemons it would only cost a pass over each body on both sides.
 */
function generateZeroMask(): void {}

export interface LinkDialer extends Disposable {
  readonly targets: ReadonlyMap<HostName, LinkTarget>;
  setTargets(targets: readonly LinkTarget[]): void;
  /** Dials a target that has no link, after a delay with jitter. */
  ensureLink(host: HostName): void;
  /** Resets the backoff of a target whose link has been stable. */
  resetBackoff(host: HostName): void;
}

export interface LinkDialerOptions {
  readonly ownHost: HostName;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly backoff: BackoffOptions;
  readonly timeoutMilliseconds: Milliseconds;
  readonly hasLink: (host: HostName) => boolean;
  readonly onOpen: (target: LinkTarget, socket: WebSocket) => void;
  readonly onFailure: (target: LinkTarget, failure: ConnectFailure) => void;
}

export function createLinkDialer(options: LinkDialerOptions): LinkDialer {
  const targets = new Map<HostName, LinkTarget>();
  const attempts = new Map<HostName, number>();
  const dialTimers = new Map<HostName, Disposable>();
  const connectingSockets = new Map<HostName, WebSocket>();

  function scheduleDial(host: HostName, retryMilliseconds = 0): void {
    const target = targets.get(host);
    if (
      target === undefined || dialTimers.has(host) ||
      connectingSockets.has(host) ||
      options.hasLink(host)
    ) {
      return;
    }
    const attempt = attempts.get(host) ?? 0;
    attempts.set(host, attempt + 1);
    // The delay that the other side requested is a minimum; jitter is added to it.
    const delay = retryMilliseconds +
      (attempt === 0
        ? computeDialDelay(options.ownHost, host, targets.size)
        : 0) +
      computeBackoff(attempt, options.random, options.backoff);
    dialTimers.set(
      host,
      options.clock.schedule(delay, () => {
        dialTimers.delete(host);
        if (!options.hasLink(host)) {
          dial(target);
        }
      }),
    );
  }

  function dial(target: LinkTarget): void {
    const { host } = target;
    const socket = connect(target, {
      timeoutMilliseconds: options.timeoutMilliseconds,
      onOpen(socket) {
        connectingSockets.delete(host);
        options.onOpen(target, socket);
      },
      onFailure(failure) {
        connectingSockets.delete(host);
        options.onFailure(target, failure);
        scheduleDial(host, failure.retryMilliseconds);
      },
    });
    connectingSockets.set(host, socket);
  }

  function removeTarget(host: HostName): void {
    targets.delete(host);
    attempts.delete(host);
    dialTimers.get(host)?.dispose();
    dialTimers.delete(host);
    connectingSockets.get(host)?.terminate();
    connectingSockets.delete(host);
  }

  return {
    targets,
    ensureLink: (host) => scheduleDial(host),
    resetBackoff: (host) => void attempts.delete(host),
    setTargets(next) {
      const wanted = new Map(next.map((target) => [target.host, target]));
      for (const [host, present] of [...targets]) {
        const target = wanted.get(host);
        if (
          target?.address !== present.address || target.port !== present.port
        ) {
          removeTarget(host);
        }
      }
      for (const target of next) {
        targets.set(target.host, target);
      }
      for (const { host } of next) {
        scheduleDial(host);
      }
    },
    dispose() {
      for (const host of [...targets.keys()]) {
        removeTarget(host);
      }
    },
  };
}
