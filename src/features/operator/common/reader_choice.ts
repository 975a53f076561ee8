/**
 * Chooses the daemons that read the operator's log.
 *
 * The store limits the calls of all daemons together, so their number must not grow with the number of
 * hosts: two daemons of each failure domain read records, and the first of them sends them to the others. If
 * one cannot reach the store or falls behind, the next daemon in the rendezvous order replaces it.
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
  /** Whether it reaches the store, keeps up with its events, and is heard from in time. */
  readonly isAvailable: boolean;
}

/**
 * A daemon that has just become slow or unreachable is replaced only after its next heartbeat is overdue.
 * Until then the other reader gets new records.
 */
const READERS_PER_DOMAIN = 2;

/** Chooses the readers of a failure domain, at most two; none if none of its daemons is available. */
export function chooseReaders(
  failureDomain: FailureDomainName,
  candidates: readonly ReaderCandidate[],
): readonly HostName[] {
  const eligible = candidates.filter((candidate) =>
    candidate.failureDomain === failureDomain && candidate.isAvailable
  );
  return rankByRendezvous(
    `reader|${failureDomain}`,
    eligible.map(({ host }) => host),
  ).slice(0, READERS_PER_DOMAIN);
}
