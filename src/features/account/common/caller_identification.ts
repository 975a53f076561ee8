/**
 * Decides on whose behalf a request is made.
 *
 * Load pattern: instances make nested calls without a key while they serve calls of an account. A daemon that
 * has just started does not know the calls that its instance was already serving, so a request without a key
 * that belongs to no known call may still be a nested call: it is refused as not run, since "unauthorized"
 * would be a final answer to a caller that is entitled to the call. The same holds for a call whose client has
 * left while the instance goes on with it.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { MeshRoute } from "../../../world/common/mesh_configuration.ts";
import type { AccountName } from "../../../world/common/names.ts";
import type { AccountDirectory } from "./account_directory.ts";
import { rankCall } from "./call_rank.ts";

/** No call that was sent before the start of the daemon is served for longer. */
const UNKNOWN_PARENT_MS: Milliseconds = 10_000;

export interface CallerRequest {
  /** Undefined if callers need no key. */
  readonly directory: AccountDirectory | undefined;
  readonly key: string | undefined;
  readonly route: Pick<MeshRoute, "rank" | "isPublic">;
  /** The running call for which the instance on this host makes the request. */
  readonly parent: CallerIdentity | undefined;
  /** Whether the request may be nested in one of several calls, or in a call that has ended. */
  readonly hasUnclearParent: () => boolean;
  /** Time since the start of the daemon. */
  readonly uptime: Milliseconds;
}

/** On whose behalf a call is made. */
export interface CallerIdentity {
  /** Undefined if the call is bound to no account. */
  readonly account: AccountName | undefined;
  /** The priority of the call; 0 is the most urgent. */
  readonly rank: number;
}

export type CallerIdentification =
  | ({ readonly type: "identified" } & CallerIdentity)
  | { readonly type: "unauthorized"; readonly reason: "unknown-key" | "no-key" }
  /** The request may be a nested call of a call that is not known. */
  | { readonly type: "unknown-parent" };

export function identifyCaller(
  { directory, key, route, parent, hasUnclearParent, uptime }: CallerRequest,
): CallerIdentification {
  // Nested calls carry no key.
  if (parent !== undefined && key === undefined) {
    return {
      type: "identified",
      account: parent.account,
      rank: directory === undefined
        ? Math.max(route.rank, parent.rank)
        : parent.rank,
    };
  }
  if (directory === undefined || route.isPublic === true) {
    return { type: "identified", account: undefined, rank: route.rank };
  }
  if (key === undefined) {
    return uptime < UNKNOWN_PARENT_MS || hasUnclearParent()
      ? { type: "unknown-parent" }
      : { type: "unauthorized", reason: "no-key" };
  }
  const account = directory.findByKey(key);
  return account === undefined
    ? { type: "unauthorized", reason: "unknown-key" }
    : {
      type: "identified",
      account: account.name,
      rank: rankCall(route, account),
    };
}
