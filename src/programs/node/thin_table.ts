/**
 * A first routing table. The table feature replaces it.
 *
 * @module
 */

import type { Configuration } from "../../world/common/configuration.ts";
import type { RoutingTable } from "../../features/table/common/routing_table.ts";

export function createThinTable(configuration: Configuration): RoutingTable {
  return {
    version: configuration.version,
    match({ customer, method, path }) {
      const contract = configuration.contracts.get(customer);
      if (contract === undefined) {
        return "unknown-customer";
      }
      for (const name of contract.routes) {
        const route = configuration.routes.get(name);
        const service = route && configuration.services.get(route.service);
        if (
          route !== undefined && service !== undefined &&
          route.method === method && path.startsWith(route.pathPrefix)
        ) {
          return { contract, route, service };
        }
      }
      return "unknown-route";
    },
  };
}
