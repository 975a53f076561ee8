/**
 * Chooses the daemons to which a daemon announces a version of the configuration that it has applied.
 *
 * Load pattern: all daemons of a large fleet apply a version within the same second, and announce it so that
 * those that have missed it fetch it. If each announces it to all others, a version costs the square of the
 * number of hosts in messages. Instead, each announces it to the next few daemons of its failure domain and
 * to one of each other domain. Every daemon then learns of a version from several others, in its own domain
 * and in others, whatever the size of the fleet.
 *
 * @module
 */

import { hashText, rankByRendezvous } from "../../../base/common/hashing.ts";
import type {
  FailureDomainName,
  HostName,
} from "../../../world/common/names.ts";

/** A daemon misses an announcement only if this many others of its failure domain have missed the version too. */
const SUCCESSORS_IN_OWN_DOMAIN = 4;

export interface FleetHost {
  readonly host: HostName;
  readonly failureDomain: FailureDomainName;
}

/** Chooses among the linked hosts. All daemons use the same order, so that the announcements are spread evenly. */
export function chooseAnnouncementTargets(
  self: FleetHost,
  linked: readonly FleetHost[],
): readonly HostName[] {
  const domains = new Map<FailureDomainName, HostName[]>([
    [self.failureDomain, [self.host]],
  ]);
  for (const { host, failureDomain } of linked) {
    const hosts = domains.get(failureDomain) ?? [];
    hosts.push(host);
    domains.set(failureDomain, hosts);
  }
  const ownDomain = rank(domains.get(self.failureDomain)!);
  const ownIndex = ownDomain.indexOf(self.host);
  const targets: HostName[] = [];
  for (const [domain, hosts] of domains) {
    if (domain === self.failureDomain) {
      const successors = [
        ...ownDomain.slice(ownIndex + 1),
        ...ownDomain.slice(0, ownIndex),
      ];
      targets.push(...successors.slice(0, SUCCESSORS_IN_OWN_DOMAIN));
    } else {
      // Domains of different sizes are mapped onto each other, each pair with another first host.
      const offset = hashText(`${self.failureDomain}|${domain}`);
      const index = Math.floor(ownIndex * hosts.length / ownDomain.length);
      targets.push(rank(hosts)[(offset + index) % hosts.length]);
    }
  }
  return targets;
}

function rank(hosts: readonly HostName[]): readonly HostName[] {
  return rankByRendezvous("announcement", hosts);
}
