/**
 * Lists the daemons that can do a task for others: read the store for their failure domain, or lead a
 * rollout.
 *
 * Load pattern: a large fleet whose heartbeats are a second apart, and whose links count as lost only after
 * three missed ones. A daemon that is paused, cut off or very slow would keep its task for all that time,
 * longer than a configuration may take. So a daemon counts as unavailable as soon as its next heartbeat is
 * overdue, and declares itself unavailable while its event loop does not keep up.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import { HEARTBEAT_TOLERANCE_MS } from "../../link/common/link_rules.ts";
import type { PeerNetwork } from "../../link/common/peer_network.ts";
import type {
  FailureDomainName,
  HostName,
} from "../../../world/common/names.ts";
import type { FleetMember } from "./fleet.ts";

/** A daemon that may do a task for others. */
export interface Coordinator {
  readonly host: HostName;
  readonly failureDomain: FailureDomainName;
  /** Whether it reaches the store, keeps up with its events, and is heard from in time. */
  readonly isAvailable: boolean;
  /** Whether it is heard from in time, regardless of the store and its load. */
  readonly isReachable: boolean;
}

export interface CoordinatorSources {
  readonly self: Omit<Coordinator, "isReachable">;
  readonly members: readonly FleetMember[];
  readonly network: Pick<PeerNetwork, "getOverdueTime">;
  /** How long received frames may have waited for the event loop of this process. */
  readonly loopDelay: Milliseconds;
}

/** Lists this daemon and the daemons that are linked to it. */
export function listCoordinators(
  { self, members, network, loopDelay }: CoordinatorSources,
): readonly Coordinator[] {
  return [
    { ...self, isReachable: true },
    ...members.map(({ host, failureDomain, status }) => {
      const isReachable = !status.isStopping &&
        network.getOverdueTime(host) <= HEARTBEAT_TOLERANCE_MS + loopDelay;
      return {
        host,
        failureDomain,
        isAvailable: status.isAvailable && isReachable,
        isReachable,
      };
    }),
  ];
}
