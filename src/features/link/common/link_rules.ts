/**
 * Rules for links: which of two daemons dials first, which of two duplicate links is kept, how many links
 * are accepted per second, and the heartbeat interval.
 *
 * @module
 */

import { hashText } from "../../../base/common/hashing.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { ProcessIdentity } from "../../../world/common/host.ts";
import type { HostName } from "../../../world/common/names.ts";

export interface LinkOrigin {
  readonly process: ProcessIdentity;
  readonly openedBy: HostName;
}

/**
 * Whether a new link to a host replaces the present one. Both sides make the same choice: the process that
 * started later wins, then the link opened by the smaller host name, then the newer link.
 */
export function replacesLink(present: LinkOrigin, next: LinkOrigin): boolean {
  if (next.process.startedAt !== present.process.startedAt) {
    return next.process.startedAt > present.process.startedAt;
  }
  return next.openedBy <= present.openedBy;
}

/** Delay per target, as a handshake takes some milliseconds of processor time on both sides. */
const HANDSHAKE_MS_PER_TARGET: Milliseconds = 8;

/**
 * The delay of a daemon's first dial, so that only one side of a pair dials. Load pattern: a whole fleet
 * starts at the same time, with all other daemons as targets of each. If both sides dial, half of the
 * handshakes are for duplicate connections, which are closed again, while the hosts have the least spare
 * processor time.
 */
export function computeDialDelay(
  own: HostName,
  other: HostName,
  targets: number,
): Milliseconds {
  const ownHash = hashText(`${own}|${other}`);
  const otherHash = hashText(`${other}|${own}`);
  const dialsFirst = ownHash === otherHash ? own < other : ownHash < otherHash;
  return dialsFirst ? 0 : HANDSHAKE_MS_PER_TARGET * targets;
}

/**
 * With more links than this, the heartbeat interval grows. Up to this number the base interval is kept, so
 * that an unresponsive peer is detected early, because calls in flight wait for it.
 */
const MAXIMUM_LINKS_AT_BASE_INTERVAL = 32;
/** A healthy daemon may send a heartbeat this much after it is due. */
export const HEARTBEAT_TOLERANCE_MS: Milliseconds = 150;

/** Bounds the interval, and so the three intervals after which an unresponsive peer is detected. */
const MAXIMUM_INTERVAL_FACTOR = 8;

/**
 * Computes the heartbeat interval for a number of links. Load pattern: an idle fleet in which every daemon
 * links to every other one. With a fixed interval, the heartbeats per second of a daemon grow with the
 * fleet; with this interval they stay constant until the maximum interval is reached.
 */
export function computeHeartbeatInterval(
  base: Milliseconds,
  links: number,
): Milliseconds {
  return base *
    Math.min(
      MAXIMUM_INTERVAL_FACTOR,
      Math.max(1, links / MAXIMUM_LINKS_AT_BASE_INTERVAL),
    );
}

export interface AcceptLimiter {
  /** Returns 0 if the link is accepted, else the delay after which the caller may retry. */
  accept(now: Milliseconds): Milliseconds;
}

/**
 * Creates a limiter that accepts `limit` links per window. The retry delay grows with the number of
 * refusals in the window, so that refused callers spread over the following windows.
 */
export function createAcceptLimiter(
  limit: number,
  windowMilliseconds: Milliseconds = 1_000,
): AcceptLimiter {
  let windowStartedAt = -Infinity;
  let attempts = 0;
  return {
    accept(now) {
      if (
        now - windowStartedAt >= windowMilliseconds || now < windowStartedAt
      ) {
        windowStartedAt = now;
        attempts = 0;
      }
      attempts += 1;
      if (attempts <= limit) {
        return 0;
      }
      const windows = Math.ceil(attempts / limit) - 1;
      return windowStartedAt + windows * windowMilliseconds - now;
    },
  };
}
