/**
 * Chooses the daemon that leads the rollouts, and the daemons that evaluate their evidence.
 *
 * Load pattern: a rollout in a large fleet, in which every gate has new evidence each second. If each daemon
 * sends its evidence to all others, this costs the square of the number of hosts in messages for as long as
 * the rollout lasts. Instead, two daemons of each failure domain get all evidence and evaluate it. A verdict
 * of any of them is sent to all. A domain that is cut off from the others still evaluates its own evidence.
 *
 * @module
 */

import { rankByRendezvous } from "../../../base/common/hashing.ts";
import type {
  FailureDomainName,
  HostName,
} from "../../../world/common/names.ts";

export interface EvaluatorCandidate {
  readonly host: HostName;
  readonly failureDomain: FailureDomainName;
  /** Whether it reaches the store, keeps up with its events, and is heard from in time. */
  readonly isAvailable: boolean;
}

/** If one of them is paused or slow, the other one evaluates before the pause is noticed. */
const EVALUATORS_PER_DOMAIN = 2;

/** The first available daemon; if all are overloaded, the first one leads nevertheless. */
export function chooseLeader(
  candidates: readonly EvaluatorCandidate[],
): HostName | undefined {
  return rankAvailable(candidates)[0];
}

/** The first two daemons of each failure domain. The leader is one of them. */
export function chooseEvaluators(
  candidates: readonly EvaluatorCandidate[],
): readonly HostName[] {
  const domains = new Map<FailureDomainName, EvaluatorCandidate[]>();
  for (const candidate of candidates) {
    const members = domains.get(candidate.failureDomain) ?? [];
    members.push(candidate);
    domains.set(candidate.failureDomain, members);
  }
  return [...domains.values()].flatMap((members) =>
    rankAvailable(members).slice(0, EVALUATORS_PER_DOMAIN)
  );
}

function rankAvailable(
  candidates: readonly EvaluatorCandidate[],
): readonly HostName[] {
  const available = candidates.filter(({ isAvailable }) => isAvailable);
  const eligible = available.length > 0 ? available : candidates;
  return rankByRendezvous(
    "rollout-leader",
    eligible.map(({ host }) => host),
  );
}
