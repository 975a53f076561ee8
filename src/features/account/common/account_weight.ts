/**
 * The weight of a client account where accounts compete for too little room.
 *
 * @module
 */

import type { ClientAccount } from "../../../world/common/client_account.ts";
import type { AccountName } from "../../../world/common/names.ts";

/** The lowest weight, so that an account with a very low limit is served too. */
const MINIMUM_WEIGHT = 0.1;

/** Returns the limit of an account; without a limit it weighs as much as the mean of the others. */
export function weighAccount(
  account: Pick<ClientAccount, "limit"> | undefined,
  meanLimit: number,
): number {
  return Math.max(
    MINIMUM_WEIGHT,
    account?.limit?.requestsPerSecond ?? meanLimit,
  );
}

/** Returns the mean limit of the limited accounts, in requests per second; 1 if there are none. */
export function computeMeanLimit(
  accounts: ReadonlyMap<AccountName, ClientAccount>,
): number {
  let sum = 0;
  let count = 0;
  for (const { limit } of accounts.values()) {
    if (limit !== undefined) {
      sum += limit.requestsPerSecond;
      count += 1;
    }
  }
  return count === 0 ? 1 : sum / count;
}
