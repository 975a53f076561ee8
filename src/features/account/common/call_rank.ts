/**
 * The priority of a call among accounts and routes.
 *
 * Load pattern: kinds of calls of different urgency and accounts of different priority wait for the same
 * instances. The priority of the account replaces that of the route; among accounts of the same priority the
 * more urgent route goes first. A nested call has the priority of the call for which it is made: whoever waits
 * for the parent also waits for the nested call.
 *
 * @module
 */

import type { ClientAccount } from "../../../world/common/client_account.ts";
import type { MeshRoute } from "../../../world/common/mesh_configuration.ts";

/** Ranks of routes are compared below this; they are small integers. */
const ROUTE_RANKS = 1_000;

/** Returns the rank of a call that is not nested; 0 is the most urgent. */
export function rankCall(
  route: Pick<MeshRoute, "rank">,
  account: Pick<ClientAccount, "rank"> | undefined,
): number {
  return account?.rank === undefined
    ? route.rank
    : account.rank + Math.min(route.rank, ROUTE_RANKS - 1) / ROUTE_RANKS;
}
