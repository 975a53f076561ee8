/**
 * Which daemons read the operator's log.
 *
 * Calls to the store are limited for all daemons together, so their number must not grow with
 * the hosts: one daemon of each failure domain reads and passes records on. When it is lost or
 * cannot reach the store, the next in order takes its place.
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

/** The reader of a failure domain; undefined when none of its daemons reaches the store. */
export function chooseReader(
  failureDomain: FailureDomainName,
  candidates: readonly ReaderCandidate[],
): HostName | undefined {
  const able = candidates.filter((candidate) =>
    candidate.failureDomain === failureDomain && candidate.reachesStore
  );
  return rankByRendezvous(
    `reader|${failureDomain}`,
    able.map(({ host }) => host),
  )
    .at(0);
}
