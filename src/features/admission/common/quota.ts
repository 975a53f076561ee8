/**
 * Divides a contract's limits among failure domains and daemons.
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

/** Fraction of a daemon's share of the domain's quota that it uses without a lease. */
export const OWN_FRACTION = 0.2;

/** Time within which every daemon of the domain learns of a new daemon. */
export const PROPAGATION_MS: Milliseconds = 2_000;

/**
 * A new daemon uses no share until the others count it and the pledges and leases based on
 * their earlier count have expired.
 */
export const ESTABLISHMENT_DELAY_MS: Milliseconds = PROPAGATION_MS + PLEDGE_MS +
  LEASE_MS;

/** Like {@linkcode ESTABLISHMENT_DELAY_MS}, when the others may have long pledges and leases. */
export const LONG_ESTABLISHMENT_DELAY_MS: Milliseconds = PROPAGATION_MS +
  LONG_PLEDGE_MS +
  LONG_LEASE_MS;

/**
 * A domain with more hosts or more customers than this is large: with short leases its control
 * messages would exceed 6 KB/s per daemon.
 */
export const MAXIMUM_SMALL_DOMAIN_SIZE = 16;

/** Time after which a daemon that stops responding is considered departed. */
const FAILURE_DETECTION_MS: Milliseconds = 6_000;

/**
 * A departed daemon may still be running behind a network partition, where it does not count a
 * new host. A new host uses no share for this time after a departure near its own start.
 */
export const DEPARTURE_GRACE_MS: Milliseconds = 60_000;

/** Calls per second and concurrent calls. */
export interface Amount {
  readonly rate: number;
  readonly concurrency: number;
}

export const ZERO_AMOUNT: Amount = { rate: 0, concurrency: 0 };

/** A daemon's share: what it uses without a lease and what it pledges to the coordinator. */
export interface Entitlement {
  readonly own: Amount;
  readonly pledged: Amount;
}

export interface MembershipView
  extends Pick<Directory, "self" | "localMembers" | "departures"> {
  /** When a member became suspect; if unknown, assumed to be before it learned of this daemon. */
  readonly suspectedAt?: (process: ProcessIdentity) => Milliseconds | undefined;
}

/**
 * Counts the hosts among which the domain's quota is divided. Departed hosts count until their
 * departures are forgotten, since a host behind a network partition still uses its share.
 */
export function countHosts(view: MembershipView): number {
  const hosts = new Set<HostName>([view.self.process.host]);
  for (const { process } of [...view.localMembers, ...view.departures]) {
    hosts.add(process.host);
  }
  return hosts.size;
}

/** Which limits a daemon may use its share of. */
export interface EstablishedLimits {
  readonly rate: boolean;
  readonly concurrency: boolean;
}

/**
 * Decides which limits a new daemon may use its share of. A new daemon reduces the shares of the
 * others. Their calls in flight last up to the longest deadline, so concurrency waits for these
 * as well; without an older daemon there are no such calls. A returning host is already counted
 * if its earlier process ran long enough for daemons behind a partition to learn of it.
 */
export function findEstablishedLimits(
  view: MembershipView,
  now: Milliseconds,
  longestCall: Milliseconds,
  hasLongPledges = false,
): EstablishedLimits {
  const self = view.self.process;
  const age = now - self.startedAt;
  const delay = hasLongPledges && mayHaveEarlierPledges(view)
    ? LONG_ESTABLISHMENT_DELAY_MS
    : ESTABLISHMENT_DELAY_MS;
  if (
    age >=
      LONG_ESTABLISHMENT_DELAY_MS + DEPARTURE_GRACE_MS + FAILURE_DETECTION_MS +
        longestCall
  ) {
    return { rate: true, concurrency: true };
  }
  const isReturningHost = view.departures.some(({ process, departedAt }) =>
    process.host === self.host &&
    departedAt - process.startedAt >= DEPARTURE_GRACE_MS
  );
  const rate = age >= delay &&
    (isReturningHost || !mayBeUnknownToOthers(view, now));
  const hasOlderProcesses = view.localMembers.some(({ process }) =>
    isOlderProcess(process, self)
  );
  const mayHaveOlderCalls = delay === LONG_ESTABLISHMENT_DELAY_MS ||
    (!isReturningHost && hasOlderProcesses);
  const callDrainTime = mayHaveOlderCalls ? longestCall : 0;
  return { rate, concurrency: rate && age >= delay + callDrainTime };
}

/** Whether another daemon may have given or received a pledge before this one was counted. */
function mayHaveEarlierPledges(
  { self, localMembers, departures }: MembershipView,
) {
  return departures.length > 0 ||
    localMembers.some(({ process }) => isOlderProcess(process, self.process));
}

/** Whether a daemon behind a network partition may not have learned of this new host. */
function mayBeUnknownToOthers(
  view: MembershipView,
  now: Milliseconds,
): boolean {
  const { startedAt } = view.self.process;
  const members = new Set(view.localMembers.map(({ process }) => process.host));
  // A host that became suspect or departed later than this had already learned of this host.
  const knownAt = startedAt + ESTABLISHMENT_DELAY_MS + FAILURE_DETECTION_MS;
  return view.localMembers.some(({ process, state }) =>
    state === "suspect" &&
    (view.suspectedAt?.(process) ?? -Infinity) < knownAt
  ) ||
    view.departures.some(({ process, departedAt }) =>
      !members.has(process.host) &&
      now - departedAt < DEPARTURE_GRACE_MS &&
      departedAt < knownAt
    );
}

function isOlderProcess(
  process: ProcessIdentity,
  self: ProcessIdentity,
): boolean {
  return process.host !== self.host &&
    process.startedAt < self.startedAt - PROPAGATION_MS;
}

/** The quota of one failure domain; zero if the domain is not configured. */
export function computeQuota(
  limits: ContractLimits,
  domains: ReadonlySet<FailureDomainName>,
  domain: FailureDomainName,
): Amount {
  if (!domains.has(domain)) {
    return ZERO_AMOUNT;
  }
  return {
    rate: limits.requestsPerSecond / domains.size,
    concurrency: limits.concurrency / domains.size,
  };
}

export function computeEntitlement(
  quota: Amount,
  hosts: number,
  established: EstablishedLimits,
): Entitlement {
  const rate = established.rate ? quota.rate / hosts : 0;
  const concurrency = established.concurrency ? quota.concurrency / hosts : 0;
  // Calls are whole, so the fraction of a daemon's own concurrency goes to the shared pool.
  const ownConcurrency = Math.floor(concurrency * OWN_FRACTION);
  return {
    own: { rate: rate * OWN_FRACTION, concurrency: ownConcurrency },
    pledged: {
      rate: rate * (1 - OWN_FRACTION),
      concurrency: concurrency - ownConcurrency,
    },
  };
}
