/**
 * Routes a call to one side of a version split, and lists the instances that can serve it.
 *
 * @module
 */

import {
  hashToFraction,
  rankByRendezvous,
} from "../../../base/common/hashing.ts";
import type { ServiceName } from "../../../world/common/names.ts";
import type { UpstreamInstance } from "../../../world/common/upstream_instance.ts";
import type { VersionSplit } from "../../move/common/traffic_shift.ts";

/** A change of the share reroutes only the calls whose hash fraction lies between the two shares. */
export function isRoutedToCandidate(
  split: VersionSplit,
  service: ServiceName,
  callIdentity: string,
): boolean {
  return split.candidateVersion !== undefined &&
    hashToFraction(`${service}|${callIdentity}`) < split.candidateShare;
}

/**
 * Selects the candidate's instances that get its share of calls. All daemons rank them in the same
 * order, so that each of these instances gets the load of many daemons.
 */
export function selectCandidateInstances(
  instances: readonly UpstreamInstance[],
  split: VersionSplit,
): readonly UpstreamInstance[] {
  if (instances.length <= split.candidateInstances) {
    return instances;
  }
  const byIdentity = new Map(
    instances.map((instance) => [instance.identity, instance]),
  );
  return rankByRendezvous(
    `candidate|${split.candidateVersion}`,
    byIdentity.keys(),
  )
    .slice(0, split.candidateInstances)
    .map((identity) => byIdentity.get(identity)!);
}

/**
 * Lists the groups of instances to try for a call, in order. The candidate falls back to the stable
 * version, never the reverse: a call that is not routed to a possibly bad version must not reach it.
 */
export function listVersionGroups(
  instances: readonly UpstreamInstance[],
  split: VersionSplit,
  isCandidate: boolean,
): (readonly UpstreamInstance[])[] {
  const ofVersion = (version: string) =>
    instances.filter((instance) => instance.version === version);
  const stable = ofVersion(split.stableVersion);
  return isCandidate
    ? [
      selectCandidateInstances(ofVersion(split.candidateVersion!), split),
      stable,
    ]
    : [stable];
}
