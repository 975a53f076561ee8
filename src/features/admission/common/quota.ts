/**
 * The division of a contract's limits among failure domains and daemons.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { ContractLimits } from "../../../world/common/contract.ts";
import type { ProcessIdentity } from "../../../world/common/host.ts";
import type {
  FailureDomainName,
  HostName,
} from "../../../world/common/names.ts";
import type { Directory } from "../../membership/common/directory.ts";
import {
  LEASE_MS,
  LONG_LEASE_MS,
  LONG_PLEDGE_MS,
  PLEDGE_MS,
} from "./lease_messages.ts";

/** The part of a domain's quota that its daemons use without a lease. */
export const OWN_PART = 0.2;

/** In this time every daemon of the domain learns of a new one. */
export const SPREAD_MS: Milliseconds = 2_000;

/**
 * A daemon takes no part of its own until the others count it and what they had pledged and
 * been granted by their earlier count has expired.
 */
export const ESTABLISH_MS: Milliseconds = SPREAD_MS + PLEDGE_MS + LEASE_MS;

/** The same when the others may have long pledges and leases. */
export const LONG_ESTABLISH_MS: Milliseconds = SPREAD_MS + LONG_PLEDGE_MS +
  LONG_LEASE_MS;

/**
 * A domain with more hosts, or with more customers, is large: with short leases its control
 * messages would exceed 6 KB/s per daemon.
 */
export const SMALL_DOMAIN_SIZE = 16;

/** A daemon that falls silent is taken for departed after this time. */
const DETECTION_MS: Milliseconds = 6_000;

/**
 * A daemon that departed may only be cut off, and then does not count a new host. A new host
 * takes no part of its own for this time after a departure near its start.
 */
export const CAUTION_MS: Milliseconds = 60_000;

/** An amount of both limits. */
export interface Amount {
  readonly rate: number;
  readonly concurrency: number;
}

export const NOTHING: Amount = { rate: 0, concurrency: 0 };

/** What a daemon uses by itself and what it gives to the lease holder. */
export interface Entitlement {
  readonly own: Amount;
  readonly pledged: Amount;
}

export interface MembershipView
  extends Pick<Directory, "self" | "localMembers" | "departures"> {
  /** Since when a member is suspect; without it every suspicion counts as an early one. */
  readonly suspectedAt?: (process: ProcessIdentity) => Milliseconds | undefined;
}

/**
 * The hosts among which the domain's quota is divided. Departed hosts count as long as they
 * are remembered, since a host that is only cut off still uses its part.
 */
export function countHosts(view: MembershipView): number {
  const hosts = new Set<HostName>([view.self.process.host]);
  for (const { process } of [...view.localMembers, ...view.departures]) {
    hosts.add(process.host);
  }
  return hosts.size;
}

/** Which of its parts a daemon may take at this instant. */
export interface Establishment {
  readonly rate: boolean;
  readonly concurrency: boolean;
}

/**
 * A further daemon makes the parts of the others smaller. Their calls in flight go on for up
 * to the longest deadline, so concurrency waits for these as well. When no daemon started
 * before this one there are no such calls. A host that returns is counted already, if its
 * earlier process ran long enough for a daemon that was cut off to learn of it.
 */
export function judgeEstablishment(
  view: MembershipView,
  now: Milliseconds,
  longestCall: Milliseconds,
  hasLongPledges = false,
): Establishment {
  const self = view.self.process;
  const age = now - self.startedAt;
  const establish = hasLongPledges && hasEarlierProcess(view)
    ? LONG_ESTABLISH_MS
    : ESTABLISH_MS;
  if (age >= LONG_ESTABLISH_MS + CAUTION_MS + DETECTION_MS + longestCall) {
    return { rate: true, concurrency: true };
  }
  const isReturning = view.departures.some(({ process, departedAt }) =>
    process.host === self.host && departedAt - process.startedAt >= CAUTION_MS
  );
  const rate = age >= establish &&
    (isReturning || !isPossiblyUnknown(view, now));
  const hasElders = view.localMembers.some(({ process }) =>
    isElder(process, self)
  );
  const hasCalls = establish === LONG_ESTABLISH_MS ||
    (!isReturning && hasElders);
  const extra = hasCalls ? longestCall : 0;
  return { rate, concurrency: rate && age >= establish + extra };
}

/** Whether some daemon may have taken or given a pledge before this one counted. */
function hasEarlierProcess({ self, localMembers, departures }: MembershipView) {
  return departures.length > 0 ||
    localMembers.some(({ process }) => isElder(process, self.process));
}

/** Whether a daemon that may be cut off has perhaps not learnt of this new host. */
function isPossiblyUnknown(view: MembershipView, now: Milliseconds): boolean {
  const { startedAt } = view.self.process;
  const members = new Set(view.localMembers.map(({ process }) => process.host));
  // A host that fell silent later than this has learnt of the new one before.
  const learntAt = startedAt + ESTABLISH_MS + DETECTION_MS;
  return view.localMembers.some(({ process, state }) =>
    state === "suspect" &&
    (view.suspectedAt?.(process) ?? -Infinity) < learntAt
  ) ||
    view.departures.some(({ process, departedAt }) =>
      !members.has(process.host) &&
      now - departedAt < CAUTION_MS &&
      departedAt < learntAt
    );
}

function isElder(process: ProcessIdentity, self: ProcessIdentity): boolean {
  return process.host !== self.host &&
    process.startedAt < self.startedAt - SPREAD_MS;
}

/** The quota of one domain; nothing for a domain that is not configured. */
export function computeQuota(
  limits: ContractLimits,
  domains: ReadonlySet<FailureDomainName>,
  domain: FailureDomainName,
): Amount {
  if (!domains.has(domain)) {
    return NOTHING;
  }
  return {
    rate: limits.requestsPerSecond / domains.size,
    concurrency: limits.concurrency / domains.size,
  };
}

export function computeEntitlement(
  quota: Amount,
  hosts: number,
  established: Establishment,
): Entitlement {
  const rate = established.rate ? quota.rate / hosts : 0;
  const concurrency = established.concurrency ? quota.concurrency / hosts : 0;
  // Calls are whole, so the fraction of the own concurrency goes to the common pool.
  const ownConcurrency = Math.floor(concurrency * OWN_PART);
  return {
    own: { rate: rate * OWN_PART, concurrency: ownConcurrency },
    pledged: {
      rate: rate * (1 - OWN_PART),
      concurrency: concurrency - ownConcurrency,
    },
  };
}
