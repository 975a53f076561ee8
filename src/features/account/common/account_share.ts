/**
 * The calls of one account that one daemon admits.
 *
 * Load pattern: calls come to every host, and a decision can't wait for the granter. The daemon admits freely
 * while the granter is heard from and has not limited the account; otherwise at the rate that the granter gave
 * it, and once that has expired, at a share of the limit by the number of hosts.
 *
 * @module
 */

import {
  createDecayedCount,
  type DecayedCount,
} from "../../../base/common/decayed_count.ts";
import {
  type Milliseconds,
  SECOND_MS,
} from "../../../base/common/milliseconds.ts";
import type { RandomSource } from "../../../base/common/random_source.ts";
import type { AccountLimit } from "../../../world/common/client_account.ts";
import type { HostName } from "../../../world/common/names.ts";
import {
  type AccountBucket,
  refillBucket,
  takeFromBucket,
} from "./account_bucket.ts";
import { computeTolerance, LEASE_MS } from "./account_ledger.ts";
import {
  choosePace,
  computeSavedCalls,
  createPaceBucket,
  type Pace,
  type PaceSource,
  usesBucket,
} from "./account_pace.ts";
import { computeFallbackRate } from "./fallback_share.ts";
import {
  countSpentCalls,
  isGranterSilent,
  type UnansweredCalls,
} from "./silence.ts";

/**
 * Demand is averaged over about the time for which a granter keeps a report, so that the sum over many hosts
 * with a call every few seconds is right.
 */
const DEMAND_DECAY_MS: Milliseconds = 2_000;
/** What a granter said of the demand on all hosts is not known any more after this time. */
const USED_PART_MS: Milliseconds = 10_000;
/** Reports further apart say nothing of the time between them: a new granter may have been chosen. */
const STREAK_MS: Milliseconds = 3_000;
/** Bounds the promised delay, since demand may fall at any time. */
const MAXIMUM_RETRY_AFTER_MS: Milliseconds = 2_000;
/** A daemon without a rate for an account has one after this time, from the granter of the moment. */
const FIRST_RATE_MS: Milliseconds = 300;
/** Spreads the instants that daemons promise, as a part of the time until then. */
const RETRY_SPREAD = 0.5;

export interface ShareContext {
  readonly limit: AccountLimit;
  /** The number of hosts among which the limit is divided without a granter. */
  readonly hosts: number;
  /** Whether the granter responds. */
  readonly isInTouch: boolean;
  /** How long this daemon has been running. */
  readonly uptime: Milliseconds;
  readonly now: Milliseconds;
}

export interface ShareGrant {
  readonly requestsPerSecond: number;
  readonly isLimited: boolean;
  /** The calls that all hosts have admitted beyond the limit. */
  readonly debt: number;
  /** When the report to which the granter has responded was sent. */
  readonly sentAt: Milliseconds;
}

export type ShareDecision =
  | { readonly type: "admitted" }
  | { readonly type: "refused"; readonly retryAfter: Milliseconds };

export interface AccountShare {
  readonly asked: number;
  readonly admitted: number;
  readonly refused: number;
  readonly unreportedAdmitted: number;
  /** Whether calls were asked for, or given back, since the last report. */
  readonly hasUnreported: boolean;
  /** Whether a granter has sent a grant or a notice, and the last one asked did not say that it is no granter. */
  readonly isGranterHeard: boolean;
  /** Whether the last report is recent and has no response yet. */
  awaitsResponse(now: Milliseconds): boolean;
  /** Whether no granter has responded to the last reports, whichever daemon was asked. */
  isUnanswered(
    granter: HostName,
    context: {
      readonly fallbackRate: number;
      readonly responseTime: Milliseconds;
      readonly now: Milliseconds;
    },
  ): boolean;
  /** Calls per second under the last grant; 0 if it has expired. */
  heldRate(now: Milliseconds): number;
  isLimited(now: Milliseconds): boolean;
  /** The debt of the account under the last grant; 0 if it has expired. */
  debt(now: Milliseconds): number;
  demand(now: Milliseconds): number;
  /** The demand as of the last report. */
  readonly reportedDemand: number;
  /** The demand on all hosts as a part of the limit, as of the last grant; 1 if it is not known. */
  usedPart(now: Milliseconds): number;
  admit(context: ShareContext): ShareDecision;
  giveBack(): void;
  /**
   * Returns the calls admitted since the last report and begins the next one. A new granter is also told those of
   * reports without a response, which the one before has probably not got.
   */
  takeUnreported(now: Milliseconds, isTakeover: boolean): number;
  /** Puts calls back whose report could not be sent. */
  restoreUnreported(admitted: number): void;
  applyGrant(grant: ShareGrant): void;
  /** The daemon that was asked is no granter of the account; the last rate is kept. */
  disown(host: HostName): void;
  /** The daemon that was asked can't decide yet; the next one is asked. */
  postpone(): void;
  /** Applies what all hosts are told: the part of the calls to admit without a rate; 1 if the account is free. */
  applyNotice(admittedPart: number, now: Milliseconds): void;
  /** Applies a new limit at once: the rate changes in proportion. */
  changeLimit(before: AccountLimit, after: AccountLimit): void;
}

export function createAccountShare(
  limit: AccountLimit,
  { now: createdAt, random }: {
    readonly now: Milliseconds;
    readonly random: RandomSource;
  },
): AccountShare {
  const recentDemand: DecayedCount = createDecayedCount(DEMAND_DECAY_MS);
  /** The whole limit: a daemon by itself never admits more. */
  let whole: AccountBucket = {
    level: limit.burst + computeTolerance(limit),
    updatedAt: createdAt,
  };
  let own: AccountBucket = { level: 0, updatedAt: createdAt };
  let source: PaceSource = "free";
  let grant: ShareGrant | undefined;
  let grantedPart = 1;
  let isHeard = false;
  let limitedUntil: Milliseconds = -Infinity;
  let nextRoomAt: Milliseconds = -Infinity;
  let disownedBy: HostName | undefined;
  let unansweredSince: Milliseconds | undefined;
  let reportedAt: Milliseconds = -Infinity;
  let reportedDemand = 0;
  let unansweredAdmitted = 0;
  let admittedPart = 0;
  let asked = 0;
  let admitted = 0;
  let refused = 0;
  let unreportedAdmitted = 0;
  let hasUnreported = false;

  function heldRate(now: Milliseconds): number {
    return grant !== undefined && now < grant.sentAt + LEASE_MS
      ? grant.requestsPerSecond
      : 0;
  }

  function demand(now: Milliseconds): number {
    return recentDemand.current(now) * SECOND_MS / DEMAND_DECAY_MS;
  }

  function describeUnanswered(
    now: Milliseconds,
    { fallbackRate, responseTime }: {
      readonly fallbackRate: number;
      readonly responseTime: Milliseconds;
    },
  ): UnansweredCalls | undefined {
    return unansweredSince === undefined ? undefined : {
      admitted: unansweredAdmitted + unreportedAdmitted,
      duration: now - unansweredSince,
      requestsPerSecond: Math.max(heldRate(now), fallbackRate),
      isGranterHeard: isHeard,
      responseTime,
    };
  }

  function enterPace(pace: Pace, context: ShareContext): void {
    const { limit: current, hosts, uptime, now } = context;
    if (pace.source === source) {
      return;
    }
    // The level is kept from the rate of the granter to the share.
    if (usesBucket(pace.source) && !usesBucket(source)) {
      const unanswered = describeUnanswered(now, {
        fallbackRate: computeFallbackRate(current, hosts),
        responseTime: 0,
      });
      own = createPaceBucket(pace, {
        limit: current,
        hosts,
        isLimited: now < limitedUntil,
        uptime,
        spent: unanswered === undefined ? 0 : countSpentCalls(unanswered),
        fraction: random.nextFraction(),
        chance: random.nextFraction(),
        now,
      });
    }
    source = pace.source;
    nextRoomAt = -Infinity;
  }

  /**
   * Decides by chance on an account whose rate here is a fraction of a call a second: the part admitted on all
   * hosts is then exact on average.
   */
  function isInPart(rate: number, now: Milliseconds): boolean {
    const part = rate === 0
      ? admittedPart
      : rate / Math.max(reportedDemand, demand(now), rate);
    return random.nextFraction() < part;
  }

  function refuse(waiting: Milliseconds, perCall: Milliseconds, now: number) {
    refused += 1;
    // Callers that were refused before come back first.
    nextRoomAt = Math.min(
      Math.max(now + waiting, nextRoomAt + perCall),
      now + MAXIMUM_RETRY_AFTER_MS,
    );
    const spread = 1 + RETRY_SPREAD * random.nextFraction();
    return {
      type: "refused",
      retryAfter: (nextRoomAt - now) * spread,
    } as const;
  }

  function admit(context: ShareContext): ShareDecision {
    const { now, limit: current } = context;
    asked += 1;
    hasUnreported = true;
    recentDemand.add(now);
    const { requestsPerSecond, burst } = current;
    whole = refillBucket(whole, {
      requestsPerSecond,
      capacity: burst + computeTolerance(current),
    }, now);
    const pace = choosePace({
      ...context,
      isLimited: now < limitedUntil,
      heldRate: heldRate(now),
    });
    enterPace(pace, context);
    if (usesBucket(source)) {
      const saved = computeSavedCalls(pace, context.uptime);
      const capacity = Math.max(own.level, 1, saved);
      own = refillBucket(own, { ...pace, capacity }, now);
    }
    const isOwnEmpty = source === "part"
      ? !isInPart(pace.requestsPerSecond, now)
      : usesBucket(source) && own.level < 1;
    if (isOwnEmpty || whole.level < 1) {
      const rate = isOwnEmpty ? pace.requestsPerSecond : requestsPerSecond;
      const missing = source === "part"
        ? 1
        : 1 - (isOwnEmpty ? own.level : whole.level);
      // An account that is not known to be limited has room again as soon as a granter responds.
      return rate === 0 || (isOwnEmpty && now >= limitedUntil)
        ? refuse(FIRST_RATE_MS, 0, now)
        : refuse(missing / rate * SECOND_MS, SECOND_MS / rate, now);
    }
    whole = takeFromBucket(whole, 1);
    own = usesBucket(source) ? takeFromBucket(own, 1) : own;
    admitted += 1;
    unreportedAdmitted += 1;
    return { type: "admitted" };
  }

  return {
    get asked() {
      return asked;
    },
    get admitted() {
      return admitted;
    },
    get refused() {
      return refused;
    },
    get unreportedAdmitted() {
      return unreportedAdmitted;
    },
    get hasUnreported() {
      return hasUnreported;
    },
    get isGranterHeard() {
      return isHeard && disownedBy === undefined;
    },
    awaitsResponse: (now) =>
      unansweredSince !== undefined && now - reportedAt < STREAK_MS,
    isUnanswered(granter, { fallbackRate, responseTime, now }) {
      const calls = describeUnanswered(now, { fallbackRate, responseTime });
      return disownedBy === granter ||
        (calls !== undefined && now - reportedAt < STREAK_MS &&
          isGranterSilent(calls));
    },
    heldRate,
    debt: (now) =>
      grant !== undefined && now < grant.sentAt + LEASE_MS ? grant.debt : 0,
    isLimited: (now) => now < limitedUntil,
    demand,
    get reportedDemand() {
      return reportedDemand;
    },
    usedPart: (now) =>
      grant !== undefined && now < grant.sentAt + USED_PART_MS
        ? grantedPart
        : 1,
    admit,
    giveBack() {
      admitted -= 1;
      unreportedAdmitted -= 1;
      hasUnreported = true;
      whole = takeFromBucket(whole, -1);
      own = usesBucket(source) ? takeFromBucket(own, -1) : own;
    },
    takeUnreported(now, isTakeover) {
      unansweredSince = now - reportedAt < STREAK_MS
        ? unansweredSince ?? now
        : now;
      reportedAt = now;
      reportedDemand = demand(now);
      const taken = unreportedAdmitted + (isTakeover ? unansweredAdmitted : 0);
      unansweredAdmitted += unreportedAdmitted;
      unreportedAdmitted = 0;
      hasUnreported = false;
      return taken;
    },
    restoreUnreported(calls) {
      unreportedAdmitted += calls;
      unansweredAdmitted = Math.max(0, unansweredAdmitted - calls);
      hasUnreported = true;
    },
    applyGrant(next) {
      if (grant === undefined || next.sentAt >= grant.sentAt) {
        grant = next;
        // Rates are in proportion to demand, so each shows the demand of all.
        grantedPart = next.requestsPerSecond > 0
          ? reportedDemand / next.requestsPerSecond
          : 1;
        isHeard = true;
        disownedBy = undefined;
        unansweredSince = undefined;
        unansweredAdmitted = 0;
        limitedUntil = next.isLimited ? next.sentAt + LEASE_MS : -Infinity;
      }
    },
    disown(host) {
      disownedBy = host;
      unansweredSince = undefined;
    },
    postpone() {
      unansweredSince = undefined;
      unreportedAdmitted += unansweredAdmitted;
      unansweredAdmitted = 0;
      hasUnreported = true;
    },
    applyNotice(part, now) {
      // The granter of the moment has sent it, so it is not silent.
      unansweredSince = undefined;
      disownedBy = undefined;
      isHeard = true;
      admittedPart = part;
      limitedUntil = part < 1 ? now + LEASE_MS : -Infinity;
    },
    changeLimit(before, after) {
      if (grant !== undefined && before.requestsPerSecond > 0) {
        const factor = after.requestsPerSecond / before.requestsPerSecond;
        grant = {
          ...grant,
          requestsPerSecond: grant.requestsPerSecond * factor,
        };
      }
      whole = {
        ...whole,
        level: Math.min(whole.level, after.burst + computeTolerance(after)),
      };
    },
  };
}
