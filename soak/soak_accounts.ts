/**
 * The client accounts of a soak: the identity of a call tells its account.
 *
 * @module
 */

export interface SoakAccount {
  readonly name: string;
  readonly api_keys: readonly [string];
}

/** Without limits, so that each refusal is a finding. */
export const SOAK_ACCOUNTS: readonly SoakAccount[] = [
  { name: "press", api_keys: ["key-of-press"] },
  { name: "county", api_keys: ["key-of-county"] },
];

/** Every third seed runs with client accounts. */
export function usesAccounts(seed: number): boolean {
  return seed % 3 === 0;
}

/** Returns the account of a call, or of the call for which it is made. */
export function findAccount(callIdentity: string): SoakAccount {
  const [root] = callIdentity.split("-");
  return SOAK_ACCOUNTS[parseInt(root.slice(-1), 16) % SOAK_ACCOUNTS.length];
}
