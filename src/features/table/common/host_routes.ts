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
  /** `hostHeader` may carry a port; `target` may carry a query. */
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
      const prefixes = byHost.get(withoutPort(hostHeader).toLowerCase());
      return prefixes === undefined
        ? undefined
        : findLongestPrefix(prefixes, withoutQuery(target));
    },
  };
}

/** Prefixes end with a slash, so only the slashes of the path need to be tried. */
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

function withoutPort(hostHeader: string): string {
  const colon = hostHeader.lastIndexOf(":");
  return colon > hostHeader.lastIndexOf("]")
    ? hostHeader.slice(0, colon)
    : hostHeader;
}

function withoutQuery(target: string): string {
  const mark = target.indexOf("?");
  return mark < 0 ? target : target.slice(0, mark);
}
