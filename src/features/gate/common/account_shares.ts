/**
 * Shares the slot time of an instance among accounts (start-time fair queueing, weighted by their limits).
 *
 * Load pattern: one account sends five times its usual number of calls. In order of due times it fills the
 * queue and pushes out the calls of all others. Here each start of a call moves the virtual time of its
 * account by the slot time that the call is expected to take, and the account that is behind goes first.
 * An account that was idle gets no credit for that time. The shares are those within one rank: more
 * urgent calls go first whoever makes them. Accounts differ in size by two orders of magnitude, so the share of
 * each follows its limit: with equal shares the usual calls of a large account would be refused first. A large
 * account may ask for a small part of its limit; small ones would then get hardly any room, although they stay
 * within theirs. So an account that is served much less often than all counts as one that has just become active.
 *
 * Calls whose objective leaves no time to wait never enter the queue. For these, an account that has used more
 * than twice what the other active accounts use for their weight counts as above its share (`isAboveShare`).
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { AccountName } from "../../../world/common/names.ts";
import { createAccountDemand } from "./account_demand.ts";
import {
  compareCalls,
  comparePriority,
  type QueueableCall,
} from "./call_queue.ts";

/** Accounts with state of each rank; the one that started no call for longest is forgotten. */
export const MAXIMUM_ACCOUNTS = 256;
const MAXIMUM_RANKS = 64;
/** An account without calls for this long is not active. */
const IDLE_MS: Milliseconds = 10_000;
/** Slot time decays to a third within this time; one gate serves each account a few times a second only. */
const DECAY_MS: Milliseconds = 5_000;
const ABOVE_SHARE_FACTOR = 2;
/** Calls of equal accounts arrive at random; one in forty deviates by more than this many deviations. */
const TOLERATED_DEVIATIONS = 2;
/**
 * An account whose served part of the work that it asks for is below this fraction of that of all accounts goes
 * before its turn. A third leaves room for random arrivals above the quarter below which an account is starved.
 */
const MINIMUM_SERVED_FRACTION = 1 / 3;

interface AccountShare {
  readonly weight: number;
  /** The virtual time at which the next call of the account starts. */
  finishesAt: number;
  running: number;
  lastStartAt: Milliseconds;
  /** Decayed slot time as of the last start. */
  used: Milliseconds;
}

interface RankShares {
  /** The virtual time of the call that started last. */
  virtualTime: number;
  /** Decayed slot time of all accounts as of the last start. */
  used: Milliseconds;
  lastStartAt: Milliseconds;
  /** The sum of the weights of the accounts. */
  weight: number;
  /** In the order of their last start. */
  readonly accounts: Map<string, AccountShare>;
}

export interface AccountShares {
  /** The number of accounts with state. */
  readonly size: number;
  /**
   * Returns the order in which the calls start: by priority, nested calls first, then by the virtual time of
   * their accounts, then by due time. It holds until a call starts or ends.
   */
  createOrder(
    calls: Iterable<QueueableCall>,
    now: Milliseconds,
  ): (left: QueueableCall, right: QueueableCall) => number;
  /** Whether the account of the call has used much more slot time than others of the same rank. */
  isAboveShare(call: QueueableCall, now: Milliseconds): boolean;
  /** Records a call that arrives, whether it is served or not. */
  recordOffered(call: QueueableCall, now: Milliseconds): void;
  recordStart(call: QueueableCall, now: Milliseconds): void;
  /** Corrects the slot time of the account by what the call took; ignores a call whose start was not recorded. */
  recordEnd(call: QueueableCall, duration: Milliseconds): void;
}

/** The share of each account is in proportion to its weight, which must be positive. */
export type AccountWeights = (account: AccountName | undefined) => number;

export function createAccountShares(
  weightOf: AccountWeights = () => 1,
): AccountShares {
  const ranks = new Map<number, RankShares>();
  /** The calls whose start was recorded and whose end was not. */
  const running = new Set<QueueableCall>();
  const demand = createAccountDemand({
    maximumAccounts: MAXIMUM_ACCOUNTS,
    maximumRanks: MAXIMUM_RANKS,
  });

  function sharesOf(rank: number, now: Milliseconds): RankShares {
    let shares = ranks.get(rank);
    if (shares === undefined) {
      if (ranks.size >= MAXIMUM_RANKS) {
        ranks.delete(ranks.keys().next().value!);
      }
      shares = {
        virtualTime: 0,
        used: 0,
        lastStartAt: now,
        weight: 0,
        accounts: new Map(),
      };
      ranks.set(rank, shares);
    }
    return shares;
  }

  function isServedRarely(
    call: QueueableCall,
    shares: RankShares,
    share: AccountShare,
    now: Milliseconds,
  ): boolean {
    const { own, all } = demand.workOf(call.rank, nameOf(call), now);
    return decay(share, now) * all <
      MINIMUM_SERVED_FRACTION * decay(shares, now) * own;
  }

  function nextStartOf(call: QueueableCall, now: Milliseconds): number {
    const shares = ranks.get(call.rank);
    if (shares === undefined) {
      return 0;
    }
    const { virtualTime, accounts } = shares;
    const share = accounts.get(nameOf(call));
    return share === undefined || share.finishesAt <= virtualTime ||
        isServedRarely(call, shares, share, now)
      ? virtualTime
      : share.finishesAt;
  }

  return {
    get size() {
      let size = 0;
      for (const { accounts } of ranks.values()) {
        size += accounts.size;
      }
      return size;
    },
    createOrder(calls, now) {
      // The calls of an account start one after the other, so each moves the start of those behind it.
      const byRank = new Map<number, Map<string, QueueableCall[]>>();
      for (const call of calls) {
        let byAccount = byRank.get(call.rank);
        if (byAccount === undefined) {
          byAccount = new Map();
          byRank.set(call.rank, byAccount);
        }
        const name = nameOf(call);
        const ofAccount = byAccount.get(name);
        if (ofAccount === undefined) {
          byAccount.set(name, [call]);
        } else {
          ofAccount.push(call);
        }
      }
      const starts = new Map<QueueableCall, number>();
      for (const byAccount of byRank.values()) {
        for (const ofAccount of byAccount.values()) {
          if (ofAccount.length > 1) {
            ofAccount.sort((left, right) => compareCalls(left, right, now));
          }
          const weight = weightOf(ofAccount[0].account);
          let startsAt = nextStartOf(ofAccount[0], now);
          for (const call of ofAccount) {
            starts.set(call, startsAt);
            startsAt += call.expectedMilliseconds / weight;
          }
        }
      }
      return (left, right) =>
        comparePriority(left, right) ||
        starts.get(left)! - starts.get(right)! ||
        compareCalls(left, right, now);
    },
    isAboveShare(call, now) {
      const shares = ranks.get(call.rank);
      const share = shares?.accounts.get(nameOf(call));
      if (shares === undefined || share === undefined) {
        return false;
      }
      forgetIdle(shares, now);
      const own = decay(share, now);
      const otherWeight = shares.weight - share.weight;
      if (otherWeight <= 0 || isServedRarely(call, shares, share, now)) {
        return false;
      }
      const fair = Math.max(0, decay(shares, now) - own) * share.weight /
        otherWeight;
      // The number of calls of an account varies by its square root.
      const deviation = Math.sqrt(fair * call.expectedMilliseconds);
      return own > ABOVE_SHARE_FACTOR * fair + TOLERATED_DEVIATIONS * deviation;
    },
    recordOffered: (call, now) =>
      demand.record(call.rank, nameOf(call), {
        work: call.expectedMilliseconds,
        now,
      }),
    recordStart(call, now) {
      const shares = sharesOf(call.rank, now);
      const name = nameOf(call);
      const startsAt = nextStartOf(call, now);
      const known = shares.accounts.get(name);
      const share: AccountShare = known ?? {
        weight: weightOf(call.account),
        finishesAt: 0,
        running: 0,
        lastStartAt: now,
        used: 0,
      };
      shares.weight += known === undefined ? share.weight : 0;
      share.finishesAt = startsAt + call.expectedMilliseconds / share.weight;
      share.running += 1;
      shares.virtualTime = startsAt;
      for (const entry of [share, shares]) {
        entry.used = decay(entry, now) + call.expectedMilliseconds;
        entry.lastStartAt = now;
      }
      shares.accounts.delete(name);
      shares.accounts.set(name, share);
      running.add(call);
      forgetIdle(shares, now);
    },
    recordEnd(call, duration) {
      if (!running.delete(call)) {
        return;
      }
      const share = ranks.get(call.rank)?.accounts.get(nameOf(call));
      if (share !== undefined) {
        share.running = Math.max(0, share.running - 1);
        share.finishesAt += (duration - call.expectedMilliseconds) /
          share.weight;
      }
    },
  };
}

/** Calls without an account, as those of public routes, share the room of one. */
function nameOf({ account }: QueueableCall): string {
  return account ?? "";
}

function decay(
  { used, lastStartAt }: Pick<AccountShare, "used" | "lastStartAt">,
  now: Milliseconds,
): Milliseconds {
  return used * Math.exp((lastStartAt - now) / DECAY_MS);
}

/** Forgets the accounts without calls; each is forgotten once, so a call causes little work. */
function forgetIdle(shares: RankShares, now: Milliseconds): void {
  const { accounts } = shares;
  for (const [name, { running, lastStartAt, weight }] of accounts) {
    if (accounts.size <= MAXIMUM_ACCOUNTS && now - lastStartAt < IDLE_MS) {
      return;
    }
    // Few accounts have running calls, at most one for each slot.
    if (running === 0) {
      accounts.delete(name);
      shares.weight -= weight;
    }
  }
}
