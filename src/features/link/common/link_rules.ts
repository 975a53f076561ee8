/**
 * Which of two links to a host is kept, and how many links are accepted.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { ProcessIdentity } from "../../../world/common/host.ts";
import type { HostName } from "../../../world/common/names.ts";

export interface LinkOrigin {
  readonly process: ProcessIdentity;
  readonly openedBy: HostName;
}

/**
 * Whether a new link to a host takes the place of the present one. Both sides reach the same
 * choice: the later process wins, then the link that the smaller host name opened, then the
 * newer one.
 */
export function replacesLink(present: LinkOrigin, next: LinkOrigin): boolean {
  if (next.process.startedAt !== present.process.startedAt) {
    return next.process.startedAt > present.process.startedAt;
  }
  return next.openedBy <= present.openedBy;
}

export interface AcceptLimiter {
  /** Accepts a link with 0, or gives the delay after which the caller may try again. */
  accept(now: Milliseconds): Milliseconds;
}

/**
 * Accepts a number of links in each window. The retry delay grows with the number of refusals
 * in the window, so that refused callers spread over the following windows.
 */
export function createAcceptLimiter(
  limit: number,
  windowMilliseconds: Milliseconds = 1_000,
): AcceptLimiter {
  let windowStartedAt = -Infinity;
  let asked = 0;
  return {
    accept(now) {
      if (
        now - windowStartedAt >= windowMilliseconds || now < windowStartedAt
      ) {
        windowStartedAt = now;
        asked = 0;
      }
      asked += 1;
      if (asked <= limit) {
        return 0;
      }
      const windows = Math.ceil(asked / limit) - 1;
      return windowStartedAt + windows * windowMilliseconds - now;
    },
  };
}
