/**
 * Chooses the daemons that read the operator's log.
 *
 * The store limits the calls of all daemons together, so their number must not grow with the number of
 * hosts: two daemons of each failure domain read records, and the first of them sends them to the others. If
 * one cannot reach the store or falls behind, the next daemon in the rendezvous order replaces it. While none of
 * them reaches the store, two go on trying.
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
  /** Whether it is heard from in time, regardless of the store and its load. */
  readonly isReachable: boolean;
}

/**
 * A daemon that has just become slow or unreachable is replaced only after its next heartbeat is overdue.
 * Until then the other reader gets new records.
 */
const READERS_PER_DOMAIN = 2;

/** Chooses the readers of a failure domain, at most two; none if none of its daemons is reachable. */
export function chooseReaders(
  failureDomain: FailureDomainName,
  candidates: readonly ReaderCandidate[],
): readonly HostName[] {
  const inDomain = candidates.filter((candidate) =>
    candidate.failureDomain === failureDomain
  );
  const available = inDomain.filter(({ isAvailable }) => isAvailable);
  // All may be overloaded, as after a restart of the whole fleet.
  const eligible = available.length > 0
    ? available
    : inDomain.filter(({ isReachable }) => isReachable);
  return rankByRendezvous(
    `reader|${failureDomain}`,
    eligible.map(({ host }) => host),
  ).slice(0, READERS_PER_DOMAIN);
}
