/**
 * Chooses the daemons that read the operator's log.
 *
 * The store limits the calls of all daemons together, so their number must not grow with the number of
 * hosts: one daemon of each failure domain reads records and sends them to the others. If it fails or
 * cannot reach the store, the next daemon in the rendezvous order replaces it.
 *
 * @module
 */

import { rankByRendezvous } from "../../../base/common/hashing.ts";
import type {
  FailureDomainName,
  HostName,
} from "../../../world/common/names.ts";

export interface ReaderCandidate {
  readonly host: HostName;
  readonly failureDomain: FailureDomainName;
  /** Whether its last call to the store succeeded. */
  readonly reachesStore: boolean;
}

/** Chooses the reader of a failure domain; undefined if none of its daemons reaches the store. */
export function chooseReader(
  failureDomain: FailureDomainName,
  candidates: readonly ReaderCandidate[],
): HostName | undefined {
  const eligible = candidates.filter((candidate) =>
    candidate.failureDomain === failureDomain && candidate.reachesStore
  );
  return rankByRendezvous(
    `reader|${failureDomain}`,
    eligible.map(({ host }) => host),
  )
    .at(0);
}
