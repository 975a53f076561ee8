/**
 * Authorization of changes. A team may change the contracts of its customers, and the routes and services that only
 * these customers use. The right to publish is checked before.
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

/** Returns the reason why the team may not make the change; undefined when it may. */
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
  const affected = collectAffectedNames(configuration, change);
  return describeForbiddenCustomer(
    token,
    affected.contracts,
    "the contract of",
  ) ??
    describeForbiddenCustomer(
      token,
      affected.routes.flatMap((name) =>
        findCustomersOfRoute(configuration, name)
      ),
      "a route that is used by",
    ) ??
    describeForbiddenCustomer(
      token,
      affected.services.flatMap((name) =>
        findCustomersOfService(configuration, name)
      ),
      "a service that is used by",
    );
}

/** Returns the reason why the team may not move the service; undefined when it may. */
export function findMissingMoveRight(
  token: AccessToken,
  configuration: Configuration,
  service: ServiceName,
): string | undefined {
  return describeForbiddenCustomer(
    token,
    findCustomersOfService(configuration, service),
    "a service that is used by",
  );
}

/** Returns the reason why the team may not evacuate or restore a failure domain, which all customers share. */
export function findMissingEvacuationRight(
  token: AccessToken,
): string | undefined {
  return mayChangeAll(token)
    ? undefined
    : `team ${token.team} may not evacuate or restore failure domains; only a token for all customers may`;
}

interface AffectedNames {
  readonly contracts: readonly CustomerName[];
  readonly routes: readonly RouteName[];
  readonly services: readonly ServiceName[];
}

/**
 * Collects the objects that a change writes or adds references to. Added references count, because a team could
 * otherwise give its own customer access to a service of another customer.
 */
function collectAffectedNames(
  configuration: Configuration,
  { upsert, remove }: ChangeContents,
): AffectedNames {
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
      ...contracts.flatMap((contract) =>
        findAddedRoutes(configuration, contract)
      ),
    ],
    services: [
      ...(upsert.services ?? []).map((service) => service.name),
      ...remove.services ?? [],
      ...routes.filter((route) => changesService(configuration, route))
        .map((route) => route.service),
    ],
  };
}

function findAddedRoutes(
  configuration: Configuration,
  contract: Contract,
): RouteName[] {
  const previousRoutes =
    configuration.contracts.get(contract.customer)?.routes ?? [];
  return contract.routes.filter((route) => !previousRoutes.includes(route));
}

function changesService(configuration: Configuration, route: Route): boolean {
  return configuration.routes.get(route.name)?.service !== route.service;
}

function findCustomersOfRoute(
  configuration: Configuration,
  route: RouteName,
): CustomerName[] {
  return [...configuration.contracts.values()]
    .filter((contract) => contract.routes.includes(route))
    .map((contract) => contract.customer);
}

function findCustomersOfService(
  configuration: Configuration,
  service: ServiceName,
): CustomerName[] {
  return [...configuration.routes.values()]
    .filter((route) => route.service === service)
    .flatMap((route) => findCustomersOfRoute(configuration, route.name));
}

function describeForbiddenCustomer(
  token: AccessToken,
  customers: readonly CustomerName[],
  object: string,
): string | undefined {
  const forbiddenCustomer = customers.find((name) =>
    !mayChangeCustomer(token, name)
  );
  return forbiddenCustomer === undefined
    ? undefined
    : `team ${token.team} may not change ${object} customer ${forbiddenCustomer}`;
}
