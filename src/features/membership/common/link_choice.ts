/**
 * Which daemons a daemon keeps links to.
 *
 * @module
 */

import { rankByRendezvous } from "../../../base/common/hashing.ts";
import type { RandomSource } from "../../../base/common/random_source.ts";
import type { HostName } from "../../../world/common/names.ts";
import type { LinkTarget } from "../../link/common/peer_network.ts";
import type { Member } from "./directory.ts";
import { pickFirst } from "./domain_summary.ts";

export const LOCAL_LINKS = 4;
export const REMOTE_LINKS = 2;

export function toLinkTarget({ process, addresses }: Member): LinkTarget {
  return {
    host: process.host,
    address: addresses.address,
    port: addresses.linkPort,
  };
}

/** The members of the own failure domain that come first in the order of the own name. */
export function chooseLocalTargets(
  self: HostName,
  members: readonly Member[],
): Member[] {
  const others = members.filter(({ process }) => process.host !== self);
  return pickFirst(self, others, {
    limit: LOCAL_LINKS,
    nameOf: ({ process }) => process.host,
  });
}

/** One daemon in each of the failure domains that come first in the order of the own name. */
export function chooseRemoteTargets(
  self: HostName,
  members: readonly Member[],
): Member[] {
  const domains = new Map<string, Member[]>();
  for (const member of members) {
    const group = domains.get(member.failureDomain) ?? [];
    domains.set(member.failureDomain, [...group, member]);
  }
  return rankByRendezvous(self, domains.keys()).slice(0, REMOTE_LINKS)
    .map((domain) => chooseLocalTargets(self, domains.get(domain)!)[0]);
}

/** A random selection, for contacts that are not known yet. */
export function pickRandom<T>(
  candidates: readonly T[],
  limit: number,
  random: RandomSource,
): T[] {
  const rest = [...candidates];
  const picked: T[] = [];
  while (picked.length < limit && rest.length > 0) {
    picked.push(...rest.splice(random.nextInteger(rest.length), 1));
  }
  return picked;
}
