/**
 * Finds client accounts by key, and their weights. Built once for each configuration, since every call looks a key up.
 *
 * @module
 */

import type { ClientAccount } from "../../../world/common/client_account.ts";
import type { MeshConfiguration } from "../../../world/common/mesh_configuration.ts";
import type { AccountName } from "../../../world/common/names.ts";
import { computeMeanLimit, weighAccount } from "./account_weight.ts";

export interface AccountDirectory {
  findByKey(key: string): ClientAccount | undefined;
  /** The share of an account, or of calls without one, where accounts compete for too little room. */
  weigh(account: AccountName | undefined): number;
}

/** Returns undefined if callers need no key. */
export function buildAccountDirectory(
  { accounts }: Pick<MeshConfiguration, "accounts">,
): AccountDirectory | undefined {
  if (accounts === undefined) {
    return undefined;
  }
  const byKey = new Map<string, ClientAccount>();
  for (const account of accounts.values()) {
    for (const key of account.keys) {
      byKey.set(key, account);
    }
  }
  const meanLimit = computeMeanLimit(accounts);
  return {
    findByKey: (key) => byKey.get(key),
    weigh: (account) =>
      account === undefined
        ? meanLimit
        : weighAccount(accounts.get(account), meanLimit),
  };
}
