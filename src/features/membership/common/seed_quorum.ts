/**
 * Tracks whether a new process has met more than half of its seeds, so that it can rely on its view
 * of the failure domain.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { ProcessIdentity } from "../../../world/common/host.ts";
import type { HostName } from "../../../world/common/names.ts";
import type { LinkTarget } from "../../link/common/peer_network.ts";
import { DEPARTURE_RETENTION_MS } from "./departure_list.ts";

export interface SeedQuorum {
  /** When the process had met more than half of the seeds or stopped waiting; undefined before. */
  readonly joinedAt: Milliseconds | undefined;
  /** Checks which seeds are known. */
  check(isKnown: (host: HostName) => boolean, now: Milliseconds): void;
}

/**
 * Processes that start on the small side of a network partition know only each other and cannot
 * tell that members are missing; the seeds show it. The wait ends after the retention time of
 * departures, since these are then forgotten as well, so that outdated seeds do not block forever.
 */
export function createSeedQuorum(
  self: ProcessIdentity,
  seeds: readonly LinkTarget[],
): SeedQuorum {
  const metSeeds = new Set<HostName>();
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
          metSeeds.add(host);
        }
      }
      if (
        seeds.length === 0 || 2 * metSeeds.size > seeds.length ||
        now - self.startedAt >= DEPARTURE_RETENTION_MS
      ) {
        joinedAt = now;
      }
    },
  };
}
