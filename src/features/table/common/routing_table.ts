/**
 * The table that maps a call to its contract and route.
 *
 * @module
 */

import type { Contract } from "../../../world/common/contract.ts";
import type {
  ConfigurationVersion,
  CustomerName,
} from "../../../world/common/names.ts";
import type { Route } from "../../../world/common/route.ts";
import type { Service } from "../../../world/common/service.ts";

export interface CallTarget {
  readonly customer: CustomerName;
  readonly method: string;
  readonly path: string;
}

export interface RouteMatch {
  readonly contract: Contract;
  readonly route: Route;
  readonly service: Service;
}

export type MatchFailure = "unknown-customer" | "unknown-route";

export interface RoutingTable {
  readonly version: ConfigurationVersion;
  match(target: CallTarget): RouteMatch | MatchFailure;
}
