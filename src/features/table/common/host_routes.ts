/**
 * Finds the route of a call by its host and the longest prefix of its path.
 *
 * @module
 */

import type {
  MeshConfiguration,
  MeshRoute,
} from "../../../world/common/mesh_configuration.ts";

export interface HostRoutes {
  /** `hostHeader` may include a port, and `target` a query. */
  find(hostHeader: string, target: string): MeshRoute | undefined;
}

export function buildHostRoutes(configuration: MeshConfiguration): HostRoutes {
  const byHost = new Map<string, Map<string, MeshRoute>>();
  for (const route of configuration.routes) {
    const prefixes = byHost.get(route.virtualHost) ?? new Map();
    prefixes.set(route.prefix, route);
    byHost.set(route.virtualHost, prefixes);
  }
  return {
    find(hostHeader, target) {
      const prefixes = byHost.get(removePort(hostHeader).toLowerCase());
      return prefixes === undefined
        ? undefined
        : findLongestPrefix(prefixes, removeQuery(target));
    },
  };
}

/** Prefixes end with a slash, so only substrings of the path up to a slash are looked up. */
function findLongestPrefix(
  prefixes: ReadonlyMap<string, MeshRoute>,
  path: string,
): MeshRoute | undefined {
  let end = path.lastIndexOf("/");
  while (end >= 0) {
    const route = prefixes.get(path.slice(0, end + 1));
    if (route !== undefined) {
      return route;
    }
    end = end === 0 ? -1 : path.lastIndexOf("/", end - 1);
  }
  return undefined;
}

function removePort(hostHeader: string): string {
  const colon = hostHeader.lastIndexOf(":");
  return colon > hostHeader.lastIndexOf("]")
    ? hostHeader.slice(0, colon)
    : hostHeader;
}

function removeQuery(target: string): string {
  const mark = target.indexOf("?");
  return mark < 0 ? target : target.slice(0, mark);
}
