/**
 * The side of a version split on which a call falls, and the instances that serve it.
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

/** A step of the share moves only the calls whose fraction lies between the two shares. */
export function isForCandidate(
  split: VersionSplit,
  service: ServiceName,
  callIdentity: string,
): boolean {
  return split.candidateVersion !== undefined &&
    hashToFraction(`${service}|${callIdentity}`) < split.candidateShare;
}

/**
 * The candidate's instances at which the share is aimed. All daemons rank them alike, so that
 * each of these instances meets the load of many daemons.
 */
export function concentrate(
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
 * The groups of instances to try in turn for a call. The candidate falls back to the stable
 * version, never the reverse: a call kept from a version that may be bad must not reach it.
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
    ? [concentrate(ofVersion(split.candidateVersion!), split), stable]
    : [stable];
}
