/**
 * Lists the daemons that can do a task for others: read the store for their failure domain, or lead a
 * rollout.
 *
 * @module
 */

import type { ReaderCandidate } from "../../operator/common/reader_choice.ts";
import type { FleetMember } from "./fleet.ts";

export interface CoordinatorSources {
  readonly self: ReaderCandidate;
  readonly members: readonly FleetMember[];
}

/** Lists this daemon and the daemons that are linked to it. */
export function listCoordinators(
  { self, members }: CoordinatorSources,
): readonly ReaderCandidate[] {
  return [
    self,
    ...members.map(({ host, failureDomain, status }) => ({
      host,
      failureDomain,
      reachesStore: status.reachesStore && !status.isStopping,
    })),
  ];
}
