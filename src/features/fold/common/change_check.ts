/**
 * Validates a change and applies it to the configuration.
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
 * The version of a removed object is kept as a tombstone for this number of records, about 1.5 days at
 * 6,700 changes a day. Without the limit the state would grow without bound.
 */
export const TOMBSTONE_RETENTION_RECORDS = 10_000;

interface ObjectReference {
  readonly key: ObjectKey;
  readonly fieldPath: string;
}

/** Returns the configuration after the change, or the field and reason of the refusal. */
export function applyChange(
  configuration: Configuration,
  change: ChangeRecord,
  offset: ConfigurationVersion,
): Configuration | string {
  const changed = listChangedObjects(change);
  const refusal = findDuplicate(changed) ??
    findStaleBase(configuration, change.baseVersion, [
      ...changed,
      ...listReferences(change),
    ]) ??
    findOpenMove(configuration, changed);
  if (refusal !== undefined) {
    return refusal;
  }
  const next = replaceObjects(configuration, change, offset);
  return findDanglingReference(next) ?? findAmbiguousRoute(next) ??
    findFullEvacuation(next) ?? updateObjectVersions(next, changed, offset);
}

/** Sets the version of the changed objects and removes expired tombstones. */
function updateObjectVersions(
  configuration: Configuration,
  changed: readonly ObjectReference[],
  offset: ConfigurationVersion,
): Configuration {
  const objectVersions = new Map<ObjectKey, ConfigurationVersion>();
  let { forgottenVersion } = configuration;
  for (const [key, version] of configuration.objectVersions) {
    if (
      version >= offset - TOMBSTONE_RETENTION_RECORDS ||
      hasObject(configuration, key)
    ) {
      objectVersions.set(key, version);
    } else {
      forgottenVersion = Math.max(forgottenVersion, version);
    }
  }
  changed.forEach(({ key }) => objectVersions.set(key, offset));
  return { ...configuration, objectVersions, forgottenVersion };
}

function hasObject(configuration: Configuration, key: ObjectKey): boolean {
  const separator = key.indexOf(":");
  const name = key.slice(separator + 1);
  switch (key.slice(0, separator)) {
    case "failure-domain":
      return configuration.failureDomains.has(name);
    case "evacuation":
      return configuration.evacuations.has(name);
    case "service":
      return configuration.services.has(name);
    case "route":
      return configuration.routes.has(name);
    default:
      return configuration.contracts.has(name);
  }
}

function listChangedObjects(
  { upsert, remove }: ChangeRecord,
): ObjectReference[] {
  const toReferences = (
    kind: string,
    fieldPath: string,
    names: readonly string[] = [],
  ) =>
    names.map((name, index): ObjectReference => ({
      key: `${kind}:${name}` as ObjectKey,
      fieldPath: `${fieldPath}[${index}]`,
    }));
  const nameOf = ({ name }: { readonly name: string }) => name;
  return [
    ...toReferences(
      "failure-domain",
      "upsert.failureDomains",
      upsert.failureDomains,
    ),
    ...toReferences("service", "upsert.services", upsert.services?.map(nameOf)),
    ...toReferences("route", "upsert.routes", upsert.routes?.map(nameOf)),
    ...toReferences(
      "contract",
      "upsert.contracts",
      upsert.contracts?.map(({ customer }) => customer),
    ),
    ...toReferences(
      "failure-domain",
      "remove.failureDomains",
      remove.failureDomains,
    ),
    ...toReferences("service", "remove.services", remove.services),
    ...toReferences("route", "remove.routes", remove.routes),
    ...toReferences("contract", "remove.contracts", remove.contracts),
  ];
}

function listReferences({ upsert }: ChangeRecord): ObjectReference[] {
  const routes = (upsert.routes ?? []).map((route, index): ObjectReference => ({
    key: `service:${route.service}`,
    fieldPath: `upsert.routes[${index}].service`,
  }));
  const contracts = (upsert.contracts ?? []).flatMap((contract, index) =>
    contract.routes.map((name, position): ObjectReference => ({
      key: `route:${name}`,
      fieldPath: `upsert.contracts[${index}].routes[${position}]`,
    }))
  );
  return [...routes, ...contracts];
}

function findDuplicate(
  changed: readonly ObjectReference[],
): string | undefined {
  const seen = new Set<ObjectKey>();
  for (const { key, fieldPath } of changed) {
    if (seen.has(key)) {
      return `${fieldPath}: ${key} stands twice in the record`;
    }
    seen.add(key);
  }
  return undefined;
}

/** Refuses a record if an object that it changes or refers to was changed after the record's base version. */
export function findStaleBase(
  configuration: Configuration,
  baseVersion: ConfigurationVersion,
  references: readonly ObjectReference[],
): string | undefined {
  if (baseVersion > configuration.version) {
    return `baseVersion: ${baseVersion} is after the current version ${configuration.version}`;
  }
  for (const { key, fieldPath } of references) {
    const version = configuration.objectVersions.get(key);
    if (version !== undefined && version > baseVersion) {
      return `${fieldPath}: ${key} was changed at ${version}, after the base ${baseVersion}`;
    }
    if (version === undefined && configuration.forgottenVersion > baseVersion) {
      return `${fieldPath}: ${key} may have been removed after the base ${baseVersion}, removals up to ${configuration.forgottenVersion} are forgotten`;
    }
  }
  return undefined;
}

function findOpenMove(
  configuration: Configuration,
  changed: readonly ObjectReference[],
): string | undefined {
  const keys = new Map(changed.map(({ key, fieldPath }) => [key, fieldPath]));
  for (const move of configuration.moves.values()) {
    const fieldPath = keys.get(`service:${move.service}`);
    if (move.outcome === "open" && fieldPath !== undefined) {
      return `${fieldPath}: the move ${move.identity} of service:${move.service} is open`;
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

/** Refuses two routes of one contract with the same method and path, which would match the same calls. */
function findAmbiguousRoute(next: Configuration): string | undefined {
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

/** Refuses a configuration whose failure domains are all evacuated, since no instance would get a call. */
export function findFullEvacuation(
  { failureDomains, evacuations }: Configuration,
): string | undefined {
  const isServed = [...failureDomains].some((name) => !evacuations.has(name));
  return isServed || evacuations.size === 0
    ? undefined
    : `failureDomain: of the failure domains ${
      [...failureDomains].sort().join(", ") || "none"
    } at least one must not be evacuated`;
}
