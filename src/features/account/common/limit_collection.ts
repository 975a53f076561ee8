/**
 * Collects the limits of accounts.
 *
 * @module
 */

import type {
  AccountLimit,
  ClientAccount,
} from "../../../world/common/client_account.ts";
import type { AccountName } from "../../../world/common/names.ts";

/** Returns the limits of the limited accounts. */
export function collectLimits(
  accounts: ReadonlyMap<AccountName, ClientAccount> | undefined,
): Map<AccountName, AccountLimit> {
  const limits = new Map<AccountName, AccountLimit>();
  for (const { name, limit } of accounts?.values() ?? []) {
    if (limit !== undefined) {
      limits.set(name, limit);
    }
  }
  return limits;
}
