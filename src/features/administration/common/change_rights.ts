/**
 * Whether a team may make a change. A team changes the contracts of its customers, and the
 * routes and services that only these customers use. The right to publish at all is checked before.
 *
 * @module
 */

import type { Configuration } from "../../../world/common/configuration.ts";
import type { Contract } from "../../../world/common/contract.ts";
import type {
  ConfigurationObjects,
  ObjectNames,
} from "../../../world/common/log_record.ts";
import type {
  CustomerName,
  RouteName,
  ServiceName,
} from "../../../world/common/names.ts";
import type { Route } from "../../../world/common/route.ts";
import {
  type AccessToken,
  mayChangeAll,
  mayChangeCustomer,
} from "./access_token.ts";

export interface ChangeContents {
  readonly upsert: ConfigurationObjects;
  readonly remove: ObjectNames;
}

/** Says why the team may not make the change; undefined when it may. */
export function findMissingChangeRight(
  token: AccessToken,
  configuration: Configuration,
  change: ChangeContents,
): string | undefined {
  if (mayChangeAll(token)) {
    return undefined;
  }
  const { upsert, remove } = change;
  if ((upsert.failureDomains ?? []).length > 0) {
    return "only a token for all customers may change failure domains";
  }
  if ((remove.failureDomains ?? []).length > 0) {
    return "only a token for all customers may remove failure domains";
  }
  const touched = collectTouched(configuration, change);
  return findForeign(token, touched.contracts, "the contract of") ??
    findForeign(
      token,
      touched.routes.flatMap((name) => usersOfRoute(configuration, name)),
      "a route that is used by",
    ) ??
    findForeign(
      token,
      touched.services.flatMap((name) => usersOfService(configuration, name)),
      "a service that is used by",
    );
}

/** Says why the team may not move the service; undefined when it may. */
export function findMissingMoveRight(
  token: AccessToken,
  configuration: Configuration,
  service: ServiceName,
): string | undefined {
  return findForeign(
    token,
    usersOfService(configuration, service),
    "a service that is used by",
  );
}

interface TouchedNames {
  readonly contracts: readonly CustomerName[];
  readonly routes: readonly RouteName[];
  readonly services: readonly ServiceName[];
}

/**
 * The objects that a change writes or newly refers to. A new reference counts, since a team
 * could otherwise give its own customer access to the service of another.
 */
function collectTouched(
  configuration: Configuration,
  { upsert, remove }: ChangeContents,
): TouchedNames {
  const contracts = upsert.contracts ?? [];
  const routes = upsert.routes ?? [];
  return {
    contracts: [
      ...contracts.map((contract) => contract.customer),
      ...remove.contracts ?? [],
    ],
    routes: [
      ...routes.map((route) => route.name),
      ...remove.routes ?? [],
      ...contracts.flatMap((contract) => newRoutes(configuration, contract)),
    ],
    services: [
      ...(upsert.services ?? []).map((service) => service.name),
      ...remove.services ?? [],
      ...routes.filter((route) => isNewTarget(configuration, route))
        .map((route) => route.service),
    ],
  };
}

function newRoutes(
  configuration: Configuration,
  contract: Contract,
): RouteName[] {
  const before = configuration.contracts.get(contract.customer)?.routes ?? [];
  return contract.routes.filter((route) => !before.includes(route));
}

function isNewTarget(configuration: Configuration, route: Route): boolean {
  return configuration.routes.get(route.name)?.service !== route.service;
}

function usersOfRoute(
  configuration: Configuration,
  route: RouteName,
): CustomerName[] {
  return [...configuration.contracts.values()]
    .filter((contract) => contract.routes.includes(route))
    .map((contract) => contract.customer);
}

function usersOfService(
  configuration: Configuration,
  service: ServiceName,
): CustomerName[] {
  return [...configuration.routes.values()]
    .filter((route) => route.service === service)
    .flatMap((route) => usersOfRoute(configuration, route.name));
}

function findForeign(
  token: AccessToken,
  customers: readonly CustomerName[],
  object: string,
): string | undefined {
  const foreign = customers.find((name) => !mayChangeCustomer(token, name));
  return foreign === undefined
    ? undefined
    : `team ${token.team} may not change ${object} customer ${foreign}`;
}
