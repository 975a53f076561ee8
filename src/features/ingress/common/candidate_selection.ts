/**
 * The gates that may be asked next for a call, by the versions of their instances.
 *
 * @module
 */

import { rankByRendezvous } from "../../../base/common/hashing.ts";
import type { HostName } from "../../../world/common/names.ts";
import type { VersionedCandidate } from "../../placement/common/candidates.ts";
import type { VersionChoice } from "../../rollout/common/rollout_registry.ts";

export interface SelectionOptions {
  /** Hosts whose gate was asked already, or is known to be full. */
  readonly asked: Pick<ReadonlySet<HostName>, "has">;
  readonly versions: VersionChoice;
  /** Whether the call was offered before: a repeat, or a gate had no place. */
  readonly isNext: boolean;
}

export function selectCandidates(
  candidates: readonly VersionedCandidate[],
  { asked, versions, isNext }: SelectionOptions,
): readonly VersionedCandidate[] {
  const open = candidates.filter(({ host }) => !asked.has(host));
  const preferred = open.filter(({ version }) =>
    isNext ? versions.isPreferredNext(version) : versions.isPreferred(version)
  );
  if (preferred.length > 0) {
    return isNext ? preferred : concentrate(preferred, versions.instances);
  }
  const isAllowed = ({ version }: VersionedCandidate) =>
    versions.isAllowed(version);
  const allowed = open.filter(isAllowed);
  return versions.mayRunOnAny && !candidates.some(isAllowed) ? open : allowed;
}

/** All daemons choose the same few of the candidates. */
function concentrate(
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
