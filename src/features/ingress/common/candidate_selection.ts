/**
 * Selects the gates to which a call may be offered next, by the versions of their instances.
 *
 * @module
 */

import { rankByRendezvous } from "../../../base/common/hashing.ts";
import type { HostName } from "../../../world/common/names.ts";
import type { VersionedCandidate } from "../../placement/common/candidates.ts";
import type { VersionPreference } from "../../rollout/common/rollout_registry.ts";

export interface SelectionOptions {
  /** Hosts whose gate already got an offer of the call, or is known to be full. */
  readonly excludedHosts: Pick<ReadonlySet<HostName>, "has">;
  readonly versionPreference: VersionPreference;
  /** Whether the call was offered before: it is a retry, or a gate had no capacity. */
  readonly wasOffered: boolean;
}

export function selectCandidates(
  candidates: readonly VersionedCandidate[],
  { excludedHosts, versionPreference, wasOffered }: SelectionOptions,
): readonly VersionedCandidate[] {
  const remaining = candidates.filter(({ host }) => !excludedHosts.has(host));
  const preferred = remaining.filter(({ version }) =>
    wasOffered
      ? versionPreference.isPreferredForRetry(version)
      : versionPreference.isPreferred(version)
  );
  if (preferred.length > 0) {
    return wasOffered
      ? preferred
      : limitToSameHosts(preferred, versionPreference.maximumInstances);
  }
  const isAllowed = ({ version }: VersionedCandidate) =>
    versionPreference.isAllowed(version);
  const allowed = remaining.filter(isAllowed);
  return versionPreference.allowsAnyAsFallback && !candidates.some(isAllowed)
    ? remaining
    : allowed;
}

/** Limits the candidates to `instances` hosts, the same ones on all daemons. */
function limitToSameHosts(
  candidates: readonly VersionedCandidate[],
  instances: number | undefined,
): readonly VersionedCandidate[] {
  if (instances === undefined || candidates.length <= instances) {
    return candidates;
  }
  const chosen = rankByRendezvous(
    "concentrated",
    candidates.map(({ host }) => host),
  ).slice(0, instances);
  return candidates.filter(({ host }) => chosen.includes(host));
}
