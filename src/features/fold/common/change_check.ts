/**
 * Acceptance and application of a change.
 *
 * @module
 */

import type {
  Configuration,
  ObjectKey,
} from "../../../world/common/configuration.ts";
import type { ChangeRecord } from "../../../world/common/log_record.ts";
import type { ConfigurationVersion } from "../../../world/common/names.ts";

/**
 * The version of a removed object is kept for this number of records, about 1.5 days at 6,700
 * changes a day, since the state would grow without bound otherwise.
 */
export const REMOVED_VERSION_RECORDS = 10_000;

interface Touch {
  readonly key: ObjectKey;
  readonly place: string;
}

/** The configuration after the change, or the place and reason of its refusal. */
export function applyChange(
  configuration: Configuration,
  change: ChangeRecord,
  offset: ConfigurationVersion,
): Configuration | string {
  const touched = listTouched(change);
  const refusal = findRepeat(touched) ??
    findStaleBase(configuration, change.baseVersion, [
      ...touched,
      ...listReferences(change),
    ]) ??
    findOpenMove(configuration, touched);
  if (refusal !== undefined) {
    return refusal;
  }
  const next = replaceObjects(configuration, change, offset);
  return findDanglingReference(next) ?? findAmbiguousPath(next) ??
    noteVersions(next, touched, offset);
}

/** Notes the version of the touched objects and forgets old removals. */
function noteVersions(
  configuration: Configuration,
  touched: readonly Touch[],
  offset: ConfigurationVersion,
): Configuration {
  const objectVersions = new Map<ObjectKey, ConfigurationVersion>();
  let { forgottenVersion } = configuration;
  for (const [key, version] of configuration.objectVersions) {
    if (
      version >= offset - REMOVED_VERSION_RECORDS ||
      hasObject(configuration, key)
    ) {
      objectVersions.set(key, version);
    } else {
      forgottenVersion = Math.max(forgottenVersion, version);
    }
  }
  touched.forEach(({ key }) => objectVersions.set(key, offset));
  return { ...configuration, objectVersions, forgottenVersion };
}

function hasObject(configuration: Configuration, key: ObjectKey): boolean {
  const separator = key.indexOf(":");
  const name = key.slice(separator + 1);
  switch (key.slice(0, separator)) {
    case "failure-domain":
      return configuration.failureDomains.has(name);
    case "service":
      return configuration.services.has(name);
    case "route":
      return configuration.routes.has(name);
    default:
      return configuration.contracts.has(name);
  }
}

function listTouched({ upsert, remove }: ChangeRecord): Touch[] {
  const touch = (kind: string, place: string, names: readonly string[] = []) =>
    names.map((name, index): Touch => ({
      key: `${kind}:${name}` as ObjectKey,
      place: `${place}[${index}]`,
    }));
  const nameOf = ({ name }: { readonly name: string }) => name;
  return [
    ...touch("failure-domain", "upsert.failureDomains", upsert.failureDomains),
    ...touch("service", "upsert.services", upsert.services?.map(nameOf)),
    ...touch("route", "upsert.routes", upsert.routes?.map(nameOf)),
    ...touch(
      "contract",
      "upsert.contracts",
      upsert.contracts?.map(({ customer }) => customer),
    ),
    ...touch("failure-domain", "remove.failureDomains", remove.failureDomains),
    ...touch("service", "remove.services", remove.services),
    ...touch("route", "remove.routes", remove.routes),
    ...touch("contract", "remove.contracts", remove.contracts),
  ];
}

function listReferences({ upsert }: ChangeRecord): Touch[] {
  const routes = (upsert.routes ?? []).map((route, index): Touch => ({
    key: `service:${route.service}`,
    place: `upsert.routes[${index}].service`,
  }));
  const contracts = (upsert.contracts ?? []).flatMap((contract, index) =>
    contract.routes.map((name, position): Touch => ({
      key: `route:${name}`,
      place: `upsert.contracts[${index}].routes[${position}]`,
    }))
  );
  return [...routes, ...contracts];
}

function findRepeat(touched: readonly Touch[]): string | undefined {
  const seen = new Set<ObjectKey>();
  for (const { key, place } of touched) {
    if (seen.has(key)) {
      return `${place}: ${key} stands twice in the record`;
    }
    seen.add(key);
  }
  return undefined;
}

/** Refuses a record whose author did not see the newest version of an object. */
export function findStaleBase(
  configuration: Configuration,
  baseVersion: ConfigurationVersion,
  touched: readonly Touch[],
): string | undefined {
  if (baseVersion > configuration.version) {
    return `baseVersion: ${baseVersion} is after the current version ${configuration.version}`;
  }
  for (const { key, place } of touched) {
    const version = configuration.objectVersions.get(key);
    if (version !== undefined && version > baseVersion) {
      return `${place}: ${key} was changed at ${version}, after the base ${baseVersion}`;
    }
    if (version === undefined && configuration.forgottenVersion > baseVersion) {
      return `${place}: ${key} may have been removed after the base ${baseVersion}, removals up to ${configuration.forgottenVersion} are forgotten`;
    }
  }
  return undefined;
}

function findOpenMove(
  configuration: Configuration,
  touched: readonly Touch[],
): string | undefined {
  const keys = new Map(touched.map(({ key, place }) => [key, place]));
  for (const move of configuration.moves.values()) {
    const place = keys.get(`service:${move.service}`);
    if (move.outcome === "open" && place !== undefined) {
      return `${place}: the move ${move.identity} of service:${move.service} is open`;
    }
  }
  return undefined;
}

function replaceObjects(
  configuration: Configuration,
  { upsert, remove }: ChangeRecord,
  version: ConfigurationVersion,
): Configuration {
  const failureDomains = new Set(configuration.failureDomains);
  upsert.failureDomains?.forEach((name) => failureDomains.add(name));
  remove.failureDomains?.forEach((name) => failureDomains.delete(name));
  const replace = <T>(
    before: ReadonlyMap<string, T>,
    added: readonly (readonly [string, T])[] = [],
    removed: readonly string[] = [],
  ) => {
    const after = new Map(before);
    added.forEach(([name, value]) => after.set(name, value));
    removed.forEach((name) => after.delete(name));
    return after;
  };
  return {
    ...configuration,
    version,
    failureDomains,
    services: replace(
      configuration.services,
      upsert.services?.map((service) => [service.name, service] as const),
      remove.services,
    ),
    routes: replace(
      configuration.routes,
      upsert.routes?.map((route) => [route.name, route] as const),
      remove.routes,
    ),
    contracts: replace(
      configuration.contracts,
      upsert.contracts?.map((item) => [item.customer, item] as const),
      remove.contracts,
    ),
  };
}

function findDanglingReference(next: Configuration): string | undefined {
  for (const route of next.routes.values()) {
    if (!next.services.has(route.service)) {
      return `route:${route.name}: there is no service:${route.service}`;
    }
  }
  for (const contract of next.contracts.values()) {
    const missing = contract.routes.find((name) => !next.routes.has(name));
    if (missing !== undefined) {
      return `contract:${contract.customer}: there is no route:${missing}`;
    }
  }
  return undefined;
}

/** Two routes of one contract with the same method and path would match the same calls. */
function findAmbiguousPath(next: Configuration): string | undefined {
  for (const contract of next.contracts.values()) {
    const seen = new Map<string, string>();
    for (const name of contract.routes) {
      const { method, pathPrefix } = next.routes.get(name)!;
      const path = `${method} ${pathPrefix.replace(/\/$/, "")}/`;
      const other = seen.get(path);
      if (other !== undefined) {
        return `contract:${contract.customer}: route:${other} and route:${name} both match ${path}`;
      }
      seen.set(path, name);
    }
  }
  return undefined;
}
