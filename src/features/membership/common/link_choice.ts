/**
 * Choice of the daemons that a daemon keeps links to.
 *
 * @module
 */

import { rankByRendezvous } from "../../../base/common/hashing.ts";
import type { RandomSource } from "../../../base/common/random_source.ts";
import type { HostName } from "../../../world/common/names.ts";
import type { LinkTarget } from "../../link/common/peer_network.ts";
import type { Member } from "./directory.ts";
import { pickByRendezvous } from "./domain_summary.ts";

export const LOCAL_LINKS = 4;
export const REMOTE_LINKS = 2;

export function toLinkTarget({ process, addresses }: Member): LinkTarget {
  return {
    host: process.host,
    address: addresses.address,
    port: addresses.linkPort,
  };
}

/** Returns the members of the own failure domain that rank first for the own host name. */
export function chooseLocalTargets(
  self: HostName,
  members: readonly Member[],
): Member[] {
  const others = members.filter(({ process }) => process.host !== self);
  return pickByRendezvous(self, others, {
    limit: LOCAL_LINKS,
    nameOf: ({ process }) => process.host,
  });
}

/** Returns one daemon in each of the failure domains that rank first for the own host name. */
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

/** Returns a random selection without replacement, in random order. */
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
