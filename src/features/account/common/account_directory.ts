/**
 * Finds client accounts by key. Built once for each configuration, since every call looks a key up.
 *
 * @module
 */

import type { ClientAccount } from "../../../world/common/client_account.ts";
import type { MeshConfiguration } from "../../../world/common/mesh_configuration.ts";

export interface AccountDirectory {
  findByKey(key: string): ClientAccount | undefined;
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
  return { findByKey: (key) => byKey.get(key) };
}
