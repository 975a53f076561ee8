/**
 * A client account of a mesh: the keys that its clients present, its priority and its limit.
 *
 * @module
 */

import type { AccountName } from "./names.ts";

/** The requests of an account that all daemons together admit: a token bucket. */
export interface AccountLimit {
  readonly requestsPerSecond: number;
  /** Requests that may be admitted at once after an idle period. */
  readonly burst: number;
}

export interface ClientAccount {
  readonly name: AccountName;
  /** Several keys are valid at a time while clients change from one to another. */
  readonly keys: readonly string[];
  /** The priority of the account's calls, which replaces that of their route; 0 is the most urgent. */
  readonly rank?: number;
  /** Undefined if the account is not limited. */
  readonly limit?: AccountLimit;
}
