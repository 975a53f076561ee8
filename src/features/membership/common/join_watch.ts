/**
 * Whether a new process has met enough of its failure domain to speak for it.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { ProcessIdentity } from "../../../world/common/host.ts";
import type { HostName } from "../../../world/common/names.ts";
import type { LinkTarget } from "../../link/common/peer_network.ts";
import { DEPARTURE_RETENTION_MS } from "./departure_list.ts";

export interface JoinWatch {
  /** When the process had met more than half of the seeds; undefined before. */
  readonly joinedAt: Milliseconds | undefined;
  /** Compares the seeds with the known daemons. */
  check(isKnown: (host: HostName) => boolean, now: Milliseconds): void;
}

/**
 * Processes that start on the small side of a cut know only each other, and miss nobody. The
 * seeds tell them what they miss. As departures are forgotten too, the wait ends after the
 * retention of these, so that outdated seeds do not last for ever.
 */
export function createJoinWatch(
  self: ProcessIdentity,
  seeds: readonly LinkTarget[],
): JoinWatch {
  const met = new Set<HostName>();
  let joinedAt: Milliseconds | undefined;
  return {
    get joinedAt() {
      return joinedAt;
    },
    check(isKnown, now) {
      if (joinedAt !== undefined) {
        return;
      }
      for (const { host } of seeds) {
        if (host === self.host || isKnown(host)) {
          met.add(host);
        }
      }
      if (
        seeds.length === 0 || 2 * met.size > seeds.length ||
        now - self.startedAt >= DEPARTURE_RETENTION_MS
      ) {
        joinedAt = now;
      }
    },
  };
}
