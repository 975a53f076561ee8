/**
 * Measures the work that each account offers to a gate.
 *
 * Load pattern: accounts compete whose limits, and so their shares, are far apart, while the large one asks for a
 * small part of its limit. Whether a small one is served far less often than all shows only beside what it asks
 * for.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";

/** Offered work decays to a third within this time, as the slot time of accounts does. */
const DECAY_MS: Milliseconds = 5_000;

interface OfferedWork {
  work: Milliseconds;
  updatedAt: Milliseconds;
}

interface RankDemand {
  readonly total: OfferedWork;
  /** In the order of their last offers. */
  readonly accounts: Map<string, OfferedWork>;
}

export interface AccountDemand {
  /** Records a call of this expected service time that was offered. */
  record(
    rank: number,
    account: string,
    offer: { readonly work: Milliseconds; readonly now: Milliseconds },
  ): void;
  /** The work that the account and all accounts of the rank have offered lately. */
  workOf(
    rank: number,
    account: string,
    now: Milliseconds,
  ): { readonly own: Milliseconds; readonly all: Milliseconds };
}

export function createAccountDemand(
  { maximumAccounts, maximumRanks }: {
    /** The most accounts of a rank; the one without an offer for longest is forgotten. */
    readonly maximumAccounts: number;
    /** The rank without an offer for longest is forgotten. */
    readonly maximumRanks: number;
  },
): AccountDemand {
  /** In the order of their last offers. */
  const ranks = new Map<number, RankDemand>();

  function demandOf(rank: number, now: Milliseconds): RankDemand {
    let demand = ranks.get(rank);
    if (demand === undefined) {
      if (ranks.size >= maximumRanks) {
        ranks.delete(ranks.keys().next().value!);
      }
      demand = { total: { work: 0, updatedAt: now }, accounts: new Map() };
    }
    ranks.delete(rank);
    ranks.set(rank, demand);
    return demand;
  }

  return {
    record(rank, account, { work, now }) {
      const { total, accounts } = demandOf(rank, now);
      const ofAccount = accounts.get(account) ?? { work: 0, updatedAt: now };
      for (const offered of [total, ofAccount]) {
        offered.work = decay(offered, now) + work;
        offered.updatedAt = now;
      }
      accounts.delete(account);
      accounts.set(account, ofAccount);
      if (accounts.size > maximumAccounts) {
        accounts.delete(accounts.keys().next().value!);
      }
    },
    workOf(rank, account, now) {
      const demand = ranks.get(rank);
      const ofAccount = demand?.accounts.get(account);
      return {
        own: ofAccount === undefined ? 0 : decay(ofAccount, now),
        all: demand === undefined ? 0 : decay(demand.total, now),
      };
    },
  };
}

function decay(
  { work, updatedAt }: OfferedWork,
  now: Milliseconds,
): Milliseconds {
  return work * Math.exp((updatedAt - now) / DECAY_MS);
}
