/**
 * The configuration that all proxies use.
 *
 * @module
 */

import type { Contract } from "./contract.ts";
import type { Evacuation } from "./evacuation.ts";
import type { Move } from "./move.ts";
import {
  type ChangeIdentity,
  type ConfigurationVersion,
  type CustomerName,
  type FailureDomainName,
  NO_VERSION,
  type RouteName,
  type ServiceName,
} from "./names.ts";
import type { Route } from "./route.ts";
import type { Service } from "./service.ts";

/** Identifies an object of the configuration by kind and name, such as `route:availability`. */
export type ObjectKey = `${
  | "failure-domain"
  | "evacuation"
  | "service"
  | "route"
  | "contract"}:${string}`;

export interface Configuration {
  readonly version: ConfigurationVersion;
  /** The failure domains between which the limits of contracts are divided. */
  readonly failureDomains: ReadonlySet<FailureDomainName>;
  /** The failure domains whose instances get no calls. */
  readonly evacuations: ReadonlyMap<FailureDomainName, Evacuation>;
  readonly services: ReadonlyMap<ServiceName, Service>;
  readonly routes: ReadonlyMap<RouteName, Route>;
  readonly contracts: ReadonlyMap<CustomerName, Contract>;
  readonly moves: ReadonlyMap<ChangeIdentity, Move>;
  /** The version that last changed or removed each object. The entries of old removals are deleted. */
  readonly objectVersions: ReadonlyMap<ObjectKey, ConfigurationVersion>;
  /** The highest version of a removal whose entry in `objectVersions` was deleted. */
  readonly forgottenVersion: ConfigurationVersion;
}

export const EMPTY_CONFIGURATION: Configuration = {
  version: NO_VERSION,
  failureDomains: new Set(),
  evacuations: new Map(),
  services: new Map(),
  routes: new Map(),
  contracts: new Map(),
  moves: new Map(),
  objectVersions: new Map(),
  forgottenVersion: NO_VERSION,
};
