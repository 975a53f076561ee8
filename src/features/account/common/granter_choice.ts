/**
 * Chooses the few hosts among which the granters of all accounts are found.
 *
 * Load pattern: a daemon has calls of dozens of accounts within a second, a call of each. If each account had a
 * granter of its own, each call would be a message. With few granters one message reports many accounts, at the
 * price of more reports for each granter.
 *
 * @module
 */

import { hashText, rankByRendezvous } from "../../../base/common/hashing.ts";
import type { AccountName, HostName } from "../../../world/common/names.ts";

/**
 * Eight hosts that a hash chooses are spread over several failure domains. Fewer would save few messages more: 1,016/s
 * with three and 1,080/s with eight, at 85 hosts and 831 calls/s.
 */
export const GRANTING_HOSTS = 8;

/** Returns the first hosts in rendezvous order. Hosts that leave or come change one of them at most. */
export function chooseGrantingHosts(
  hosts: readonly HostName[],
): readonly HostName[] {
  const chosen: { host: HostName; weight: number }[] = [];
  for (const host of hosts) {
    const weight = hashText(`account-granter|${host}`);
    const last = chosen.at(-1);
    if (
      chosen.length < GRANTING_HOSTS || last === undefined ||
      precedes({ host, weight }, last)
    ) {
      const position = chosen.findIndex((other) =>
        precedes({ host, weight }, other)
      );
      chosen.splice(position < 0 ? chosen.length : position, 0, {
        host,
        weight,
      });
      chosen.length = Math.min(chosen.length, GRANTING_HOSTS);
    }
  }
  return chosen.map(({ host }) => host);
}

/** The order of `rankByRendezvous`. */
function precedes(
  left: { readonly host: HostName; readonly weight: number },
  right: { readonly host: HostName; readonly weight: number },
): boolean {
  return left.weight > right.weight ||
    (left.weight === right.weight && left.host < right.host);
}

/** Returns the hosts in the order in which they become granters of an account. */
export function rankGranters(
  account: AccountName,
  hosts: readonly HostName[],
): readonly HostName[] {
  return rankByRendezvous(account, chooseGrantingHosts(hosts));
}
