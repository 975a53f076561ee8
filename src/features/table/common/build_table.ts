/**
 * Builds the routing table from a configuration.
 *
 * @module
 */

import { Err, Ok, type Result } from "../../../base/common/result.ts";
import type { Configuration } from "../../../world/common/configuration.ts";
import type { Contract } from "../../../world/common/contract.ts";
import type { CustomerName, ServiceName } from "../../../world/common/names.ts";
import type { CallTarget, RouteMatch, RoutingTable } from "./routing_table.ts";

/** A table and the services to which it routes. */
export interface BuiltTable {
  readonly table: RoutingTable;
  readonly services: ReadonlySet<ServiceName>;
}

/** The routes of a contract by method, the longest path first. */
type CustomerRoutes = ReadonlyMap<string, readonly RouteMatch[]>;

/**
 * Builds a complete table without changing the active one. The error names the first reference to a
 * missing route or service.
 */
export function buildTable(
  configuration: Configuration,
): Result<BuiltTable, string> {
  const customers = new Map<CustomerName, CustomerRoutes>();
  const services = new Set<ServiceName>();
  for (const contract of configuration.contracts.values()) {
    const matches = resolveRoutes(configuration, contract);
    if (matches.err) {
      return matches;
    }
    matches.val.forEach(({ service }) => services.add(service.name));
    customers.set(contract.customer, groupByMethod(matches.val));
  }
  const { version } = configuration;
  const match = (target: CallTarget) => findMatch(customers, target);
  return Ok({ table: { version, match }, services });
}

function resolveRoutes(
  { routes, services }: Configuration,
  contract: Contract,
): Result<RouteMatch[], string> {
  const matches: RouteMatch[] = [];
  for (const name of contract.routes) {
    const route = routes.get(name);
    if (route === undefined) {
      return Err(`contract:${contract.customer}: there is no route:${name}`);
    }
    const service = services.get(route.service);
    if (service === undefined) {
      return Err(`route:${name}: there is no service:${route.service}`);
    }
    matches.push({ contract, route, service });
  }
  return Ok(matches);
}

function groupByMethod(matches: readonly RouteMatch[]): CustomerRoutes {
  const groups = new Map<string, RouteMatch[]>();
  const longestFirst = [...matches].sort((left, right) =>
    right.route.pathPrefix.length - left.route.pathPrefix.length
  );
  for (const match of longestFirst) {
    const group = groups.get(match.route.method) ?? [];
    group.push(match);
    groups.set(match.route.method, group);
  }
  return groups;
}

function findMatch(
  customers: ReadonlyMap<CustomerName, CustomerRoutes>,
  { customer, method, path }: CallTarget,
): RouteMatch | "unknown-customer" | "unknown-route" {
  const routes = customers.get(customer);
  if (routes === undefined) {
    return "unknown-customer";
  }
  const pathWithoutQuery = path.split("?", 1)[0];
  return routes.get(method)?.find(({ route }) =>
    matchesPrefix(pathWithoutQuery, route.pathPrefix)
  ) ?? "unknown-route";
}

/** Whether the path equals the prefix or continues it after a complete segment. */
function matchesPrefix(path: string, pathPrefix: string): boolean {
  const prefix = pathPrefix.replace(/\/$/, "");
  return path.startsWith(prefix) &&
    (path.length === prefix.length || path[prefix.length] === "/");
}
