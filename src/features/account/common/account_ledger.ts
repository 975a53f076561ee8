/**
 * What a granter knows of an account: its bucket, the daemons that report demand, and whether it is limited.
 *
 * Load pattern: reports come late, twice over from another granter, or not at all, as daemons and granters are killed,
 * paused or cut off, and a whole fleet starts at once. Calls that the limit allowed while no granter counted them are no
 * debt, others are, and a daemon whose reports are missing counts with the rate that it holds.
 *
 * @module
 */

import {
  type Milliseconds,
  SECOND_MS,
} from "../../../base/common/milliseconds.ts";
import type { AccountLimit } from "../../../world/common/client_account.ts";
import type { HostName } from "../../../world/common/names.ts";
import {
  type AccountBucket,
  refillBucket,
  takeFromBucket,
} from "./account_bucket.ts";
import { computeFallbackRate } from "./fallback_share.ts";

/**
 * How long a daemon keeps to its rate without a further response. It bridges the time until a new granter is
 * known: an unreachable host is known as such after up to 1.5 s in a fleet of 85.
 */
export const LEASE_MS: Milliseconds = 3_000;
/**
 * A new granter confirms the rates that daemons hold until all of them have reported: a daemon with calls reports
 * each 200 ms. Proportional rates among the first that report would sum to a multiple of the limit.
 */
export const SETTLING_MS: Milliseconds = 500;
/**
 * The same for the first granter after a restart of all daemons. Reports have waited for it and come within a report
 * interval.
 */
const STARTING_SETTLING_MS: Milliseconds = 250;
/**
 * A granter that reaches a smaller part of the hosts does not know the demand of the others, and does not free an
 * account early. Limits may be exceeded by a tenth.
 */
const MINIMUM_REACHABLE_PART = 0.9;
/** Daemons that were slow to start tell what they have admitted by then. */
const CREDIT_MS: Milliseconds = 1_000;
/** Daemons are without a granter for up to this time when one is lost. */
const LOST_GRANTER_MS: Milliseconds = 1_500;
/** Daemons keep to their shares for so long before a granter is known. */
const MAXIMUM_STARTING_MS: Milliseconds = 3_000;
/** Demand of this time ahead counts as admitted: it is what passes until daemons know that they are limited. */
const REACTION_MS: Milliseconds = 200;
/** Keeps an account from being limited and freed with each report. */
const MINIMUM_LIMITED_MS: Milliseconds = 1_000;
/** An account is not freed above this part of its limit, since it would be limited again immediately. */
const FREE_DEMAND_PART = 0.95;
/** Debt that random arrival times explain. It is a quarter of what a limit may be exceeded by within 5 s. */
const TOLERANCE_CALLS = 5;
const TOLERANCE_SECONDS = 0.025 * 5;
const TOLERANCE_BURST_PART = 0.025;

/** A daemon from which this many calls should have been reported since its last report is cut off or paused. */
const MISSING_CALLS = 5;
const MISSING_MS: Milliseconds = 500;
/** Daemons with few calls come over from another granter one after the other for this long. */
const TAKEOVER_MS: Milliseconds = 10_000;

export interface Reporter {
  /** Calls asked for per second. */
  readonly demand: number;
  /** Calls per second that it may still use from the granter before; 0 if there was none. */
  readonly heldRate: number;
  /** Calls per second that it was granted last. */
  readonly grantedRate: number;
  readonly reportedAt: Milliseconds;
}

/** What a granter knows of an account. */
export interface AccountLedger {
  readonly bucket: AccountBucket;
  /** Kept from one ledger to the next, since a copy for each report costs more than the decision. */
  readonly reporters: Map<HostName, Reporter>;
  /** When the account was limited; undefined while daemons admit freely. */
  readonly limitedAt: Milliseconds | undefined;
  readonly settlesAt: Milliseconds;
  /** When a daemon first reported that comes from another granter. */
  readonly takenOverAt: Milliseconds;
  readonly isTakeoverAnnounced: boolean;
  /** Calls that daemons may have admitted while there was no granter; they are no debt. */
  readonly credit: number;
  /** Calls that the credit of a takeover has covered; they are debt if the demand exceeds the limit after all. */
  readonly covered: number;
  /** Whether the credit holds only while the demand is below the limit. */
  readonly isCreditBound: boolean;
}

export interface AccountReport {
  readonly host: HostName;
  readonly demand: number;
  /** Calls admitted since the last report, less those that no instance has run. */
  readonly admitted: number;
  /** Present in the first report after another granter. */
  readonly takeover:
    | {
      readonly heldRate: number;
      readonly isLimited: boolean;
      /** The calls beyond the limit that this side of a cut has to repay. */
      readonly debt: number;
      /** What this side was allowed while no granter responded. */
      readonly credit: number;
    }
    | undefined;
}

/** The hosts among which a limit is divided. */
export interface GrantingHosts {
  readonly known: number;
  readonly unreachable: ReadonlySet<HostName>;
}

/** Returns the debt up to which an account is not limited. */
export function computeTolerance(
  { requestsPerSecond, burst }: AccountLimit,
): number {
  return TOLERANCE_CALLS + TOLERANCE_SECONDS * requestsPerSecond +
    TOLERANCE_BURST_PART * burst;
}

/**
 * Creates the ledger of a granter. Only a granter that has been one for a while knows that an account without
 * reports has not used its calls; any other begins with an empty bucket, and limits the account until reports
 * have come.
 */
export function createLedger(
  limit: AccountLimit,
  { now, isEstablished, uptime, reachablePart }: {
    readonly now: Milliseconds;
    readonly isEstablished: boolean;
    readonly uptime: Milliseconds;
    readonly reachablePart: number;
  },
): AccountLedger {
  const startingTime = Math.min(uptime, MAXIMUM_STARTING_MS);
  const reachesMost = reachablePart >= MINIMUM_REACHABLE_PART;
  const firstLimitedAt = reachesMost ? now - MINIMUM_LIMITED_MS : now;
  const settlingTime = reachesMost ? STARTING_SETTLING_MS : SETTLING_MS;
  return {
    bucket: { level: isEstablished ? limit.burst : 0, updatedAt: now },
    reporters: new Map(),
    // The account is freed as soon as all reports have come, if they are below the limit.
    limitedAt: isEstablished ? undefined : firstLimitedAt,
    settlesAt: isEstablished ? now : now + settlingTime,
    takenOverAt: isEstablished ? -Infinity : now,
    isTakeoverAnnounced: true,
    credit: isEstablished || !reachesMost
      ? 0
      : limit.requestsPerSecond * reachablePart * startingTime / SECOND_MS,
    covered: 0,
    isCreditBound: false,
  };
}

/**
 * Returns the calls per second that the reachable hosts may use: an unreachable host may use its fallback
 * share, unless it still holds a rate and counts as a reporter.
 */
export function computeReachableRate(
  { reporters }: Pick<AccountLedger, "reporters">,
  limit: AccountLimit,
  hosts: GrantingHosts,
): number {
  let sharing = 0;
  for (const host of hosts.unreachable) {
    sharing += reporters.has(host) ? 0 : 1;
  }
  return limit.requestsPerSecond -
    computeFallbackRate(limit, Math.max(1, hosts.known)) * sharing;
}

/** Returns the calls that the reachable hosts were allowed while they had lost their granter. */
export function computeTakeoverCredit(
  ledger: Pick<AccountLedger, "reporters">,
  limit: AccountLimit,
  hosts: GrantingHosts,
): number {
  return computeReachableRate(ledger, limit, hosts) * LOST_GRANTER_MS /
    SECOND_MS;
}

/** Each side of a cut has its part of the burst and of the tolerance only. */
export function computeReachablePart(
  { known, unreachable }: GrantingHosts,
): number {
  return 1 - unreachable.size / Math.max(1, known);
}

/** Brings a ledger to the present: refills the bucket, forgets daemons, limits or frees the account. */
export function updateLedger(
  ledger: AccountLedger,
  limit: AccountLimit,
  hosts: GrantingHosts,
  now: Milliseconds,
): AccountLedger {
  const { reporters } = ledger;
  for (const [host, { reportedAt }] of reporters) {
    if (now - reportedAt > LEASE_MS) {
      reporters.delete(host);
    }
  }
  const requestsPerSecond = computeReachableRate({ reporters }, limit, hosts);
  const reachablePart = computeReachablePart(hosts);
  const demand = sumDemand(reporters);
  const isExceeded = demand >= requestsPerSecond * FREE_DEMAND_PART;
  const isCreditLost = now >= ledger.settlesAt + CREDIT_MS ||
    (ledger.isCreditBound && isExceeded);
  const refilled = refillBucket(ledger.bucket, {
    requestsPerSecond: requestsPerSecond -
      sumMissingRates(reporters, hosts, now),
    capacity: limit.burst * reachablePart,
  }, now);
  const bucket = ledger.isCreditBound && isExceeded
    ? takeFromBucket(refilled, ledger.covered)
    : refilled;
  const next = {
    ...ledger,
    bucket,
    credit: isCreditLost ? 0 : ledger.credit,
    covered: isCreditLost ? 0 : ledger.covered,
  };
  const tolerance = computeTolerance(limit) * reachablePart;
  if (ledger.limitedAt === undefined) {
    const growth = (requestsPerSecond - demand) * REACTION_MS / SECOND_MS;
    const expected = bucket.level + Math.min(0, growth);
    return expected < -tolerance ? { ...next, limitedAt: now } : next;
  }
  const isFree = now - ledger.limitedAt >= MINIMUM_LIMITED_MS &&
    now >= ledger.settlesAt &&
    bucket.level >= 0 &&
    !isExceeded;
  return isFree ? { ...next, limitedAt: undefined } : next;
}

/** Adds a report; the ledger must be up to date. */
export function recordReport(
  ledger: AccountLedger,
  { host, demand, admitted, takeover }: AccountReport,
  now: Milliseconds,
): AccountLedger {
  const { reporters } = ledger;
  const present = reporters.get(host);
  const heldRate = takeover?.heldRate ?? present?.heldRate ?? 0;
  if (demand > 0) {
    const grantedRate = present?.grantedRate ?? heldRate;
    reporters.set(host, { demand, heldRate, grantedRate, reportedAt: now });
  } else {
    reporters.delete(host);
  }
  if (takeover === undefined || now - ledger.takenOverAt < TAKEOVER_MS) {
    // A daemon that holds a rate shows that there was a granter, which has counted its calls.
    const isCredited = ledger.isCreditBound || (takeover?.heldRate ?? 0) === 0;
    return takeWithCredit(ledger, admitted, isCredited ? ledger.credit : 0);
  }
  const isBelowLimit = !takeover.isLimited && takeover.debt === 0;
  const next = takeWithCredit(
    { ...ledger, covered: 0 },
    admitted,
    isBelowLimit ? takeover.credit : 0,
  );
  // What other granters have let pass is known as of their last response only, so nothing of the burst is left.
  const level = Math.min(-takeover.debt, next.bucket.level);
  return {
    ...next,
    bucket: { ...next.bucket, level },
    limitedAt: ledger.limitedAt ?? (takeover.isLimited ? now : undefined),
    settlesAt: now + SETTLING_MS,
    takenOverAt: now,
    isTakeoverAnnounced: false,
    isCreditBound: true,
  };
}

/** Takes calls from the credit, and the others from the bucket. */
function takeWithCredit(
  ledger: AccountLedger,
  calls: number,
  credit: number,
): AccountLedger {
  const covered = Math.max(0, Math.min(credit, calls));
  return {
    ...ledger,
    bucket: takeFromBucket(ledger.bucket, calls - covered),
    credit: credit - covered,
    covered: ledger.covered + covered,
  };
}

/** Notes what a daemon was granted, which it may use also while it can't report. */
export function recordGrant(
  { reporters }: AccountLedger,
  host: HostName,
  requestsPerSecond: number,
): void {
  const reporter = reporters.get(host);
  if (reporter !== undefined) {
    reporters.set(host, { ...reporter, grantedRate: requestsPerSecond });
  }
}

/** Sums the rates that daemons probably use whose reports are missing. */
function sumMissingRates(
  reporters: AccountLedger["reporters"],
  { unreachable }: GrantingHosts,
  now: Milliseconds,
): number {
  let sum = 0;
  for (const [host, { demand, grantedRate, reportedAt }] of reporters) {
    const silence = now - reportedAt;
    const isMissing = unreachable.has(host) ||
      (silence > MISSING_MS && silence * demand > MISSING_CALLS * SECOND_MS);
    sum += isMissing ? Math.min(demand, grantedRate) : 0;
  }
  return sum;
}

/** Returns the calls per second that all reporting daemons ask for. */
export function sumDemand(
  reporters: AccountLedger["reporters"],
): number {
  let sum = 0;
  for (const { demand } of reporters.values()) {
    sum += demand;
  }
  return sum;
}
