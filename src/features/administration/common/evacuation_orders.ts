/**
 * Orders to evacuate and restore failure domains: what the daemon that receives one checks, and what operators are
 * shown.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { Configuration } from "../../../world/common/configuration.ts";
import type { EvacuationRecord } from "../../../world/common/log_record.ts";
import type {
  ConfigurationVersion,
  FailureDomainName,
} from "../../../world/common/names.ts";
import type { Service } from "../../../world/common/service.ts";
import type { UpstreamInstance } from "../../../world/common/upstream_instance.ts";
import { describePublication, type PublishResult } from "./descriptions.ts";

type KnownInstance = Pick<
  UpstreamInstance,
  "failureDomain" | "service" | "version"
>;

/** What a daemon knows when it receives an order. */
export interface KnownState {
  readonly configuration: Configuration;
  readonly instances: readonly KnownInstance[];
}

/**
 * Returns the reason why an order would leave a service without instances; undefined when it would not. The fold
 * cannot check this, because it has no access to the announcements.
 */
export function findUnservedService(
  { failureDomain, action }: Pick<EvacuationRecord, "failureDomain" | "action">,
  { configuration, instances }: KnownState,
): string | undefined {
  const { evacuations } = configuration;
  if (action === "restore" || evacuations.has(failureDomain)) {
    return undefined;
  }
  for (const { name, version } of listRoutedVersions(configuration)) {
    const domains = instances.filter((instance) =>
      instance.service === name && instance.version === version
    ).map((instance) => instance.failureDomain);
    const isServedElsewhere = domains.some((domain) =>
      domain !== failureDomain && !evacuations.has(domain)
    );
    if (domains.includes(failureDomain) && !isServedElsewhere) {
      const restorable = [...evacuations.keys()].filter((domain) =>
        domains.includes(domain)
      ).sort();
      return `failureDomain: of the failure domains that are not evacuated, only ${failureDomain} has an ` +
        `instance of service ${name} at version ${version} that this daemon knows; ` +
        `start one in another failure domain first` +
        (restorable.length > 0
          ? `, or restore ${restorable.join(" or ")}`
          : "");
    }
  }
  return undefined;
}

/** Lists the version of each service that gets calls, and the one to which an open move leads. */
function listRoutedVersions(
  { services, moves }: Configuration,
): readonly Service[] {
  const targets = [...moves.values()]
    .filter(({ outcome }) => outcome === "open")
    .map(({ service, toVersion }) => ({ name: service, version: toVersion }));
  return [...services.values(), ...targets];
}

/** Describes the outcome of an order to its operator. */
export function describeOrder(
  { failureDomain, action, identity }: EvacuationRecord,
  result: PublishResult,
): string {
  if (result.result !== "accepted" || result.repeated) {
    return describePublication(result);
  }
  const effect = action === "evacuate"
    ? `Failure domain ${failureDomain} is evacuated`
    : `Failure domain ${failureDomain} is in service`;
  return `${effect} as of version ${result.offset} (${identity}).`;
}

export interface FailureDomainStatus {
  readonly failureDomain: FailureDomainName;
  readonly state: "in-service" | "evacuated";
  /** The instances there that this daemon knows; of another failure domain it knows a few for each service. */
  readonly knownInstances: number;
  /** The version of the last order for the failure domain. */
  readonly orderVersion?: ConfigurationVersion;
  readonly startedAt?: Milliseconds;
  readonly author?: string;
}

/** Lists every failure domain that is configured, evacuated or has instances, by name. */
export function listFailureDomains(
  { configuration, instances }: KnownState,
): FailureDomainStatus[] {
  const { evacuations, failureDomains, objectVersions } = configuration;
  const names = new Set([
    ...failureDomains,
    ...evacuations.keys(),
    ...instances.map((instance) => instance.failureDomain),
  ]);
  return [...names].sort().map((failureDomain) => {
    const evacuation = evacuations.get(failureDomain);
    return {
      failureDomain,
      state: evacuation === undefined ? "in-service" : "evacuated",
      knownInstances: instances.filter((instance) =>
        instance.failureDomain === failureDomain
      ).length,
      orderVersion: objectVersions.get(`evacuation:${failureDomain}`),
      startedAt: evacuation?.startedAt,
      author: evacuation?.author,
    };
  });
}

/** Describes failure domains, one on each line. */
export function describeFailureDomains(
  domains: readonly FailureDomainStatus[],
  isCurrent: boolean,
): string {
  if (!isCurrent) {
    return "This daemon has no current configuration yet.";
  }
  return domains.length === 0
    ? "This daemon knows no failure domain."
    : domains.map(describeFailureDomain).join("\n");
}

function describeFailureDomain(
  { failureDomain, state, knownInstances, orderVersion, startedAt, author }:
    FailureDomainStatus,
): string {
  const instances = `instances known here: ${knownInstances}`;
  return state === "evacuated"
    ? `${failureDomain}: evacuated since ${
      new Date(startedAt!).toISOString()
    } by ${author}, last order at version ${orderVersion}; ${instances}.`
    : `${failureDomain}: in service; ${instances}.`;
}
