/**
 * Finds the granter of each account: the first of the candidates in rendezvous order.
 *
 * Load pattern: hosts that are short of processor time are overdue for moments, so that the candidates change
 * several times a second, while the accounts of a large fleet are looked up with every call. Ranking all candidates
 * for all accounts again after each change would take the processor time that the hosts lack. A change concerns
 * only the accounts of a candidate that has left, and one comparison for each account if one has come.
 *
 * @module
 */

import { hashText } from "../../../base/common/hashing.ts";
import type { AccountName, HostName } from "../../../world/common/names.ts";

/** Accounts that are no longer looked up are forgotten with all others when there are this many. */
const MAXIMUM_ACCOUNTS = 10_000;

interface RankedHost {
  readonly host: HostName;
  readonly weight: number;
}

export interface GranterRanking {
  setCandidates(hosts: readonly HostName[]): void;
  /** Undefined if there are no candidates. */
  find(account: AccountName): HostName | undefined;
}

export function createGranterRanking(
  weigh: (account: AccountName, host: HostName) => number = weighByRendezvous,
): GranterRanking {
  const granters = new Map<AccountName, RankedHost>();
  let candidates: ReadonlySet<HostName> = new Set();

  function chooseFirst(
    account: AccountName,
    hosts: Iterable<HostName>,
    present?: RankedHost,
  ): RankedHost | undefined {
    let first = present;
    for (const host of hosts) {
      const ranked = { host, weight: weigh(account, host) };
      if (first === undefined || precedes(ranked, first)) {
        first = ranked;
      }
    }
    return first;
  }

  return {
    setCandidates(hosts) {
      const next = new Set(hosts);
      const added = hosts.filter((host) => !candidates.has(host));
      candidates = next;
      for (const [account, granter] of granters) {
        if (!next.has(granter.host)) {
          granters.delete(account);
        } else if (added.length > 0) {
          granters.set(account, chooseFirst(account, added, granter)!);
        }
      }
    },
    find(account) {
      let granter = granters.get(account);
      if (granter === undefined) {
        granter = chooseFirst(account, candidates);
        if (granters.size >= MAXIMUM_ACCOUNTS) {
          granters.clear();
        }
        if (granter !== undefined) {
          granters.set(account, granter);
        }
      }
      return granter?.host;
    },
  };
}

/** The order of `rankByRendezvous`. */
function precedes(left: RankedHost, right: RankedHost): boolean {
  return left.weight > right.weight ||
    (left.weight === right.weight && left.host < right.host);
}

function weighByRendezvous(account: AccountName, host: HostName): number {
  return hashText(`${account}|${host}`);
}
