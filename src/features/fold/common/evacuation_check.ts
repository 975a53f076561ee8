/**
 * Validates the evacuation and restoration of failure domains and applies them to the configuration.
 *
 * @module
 */

import type { Configuration } from "../../../world/common/configuration.ts";
import type { Evacuation } from "../../../world/common/evacuation.ts";
import type { EvacuationRecord } from "../../../world/common/log_record.ts";
import type { FailureDomainName } from "../../../world/common/names.ts";
import { findFullEvacuation, findStaleBase } from "./change_check.ts";
import type { RecordMetadata } from "./move_check.ts";

/**
 * Returns the configuration after the order, or the field and reason of the refusal. A repeated order is accepted and
 * keeps the time and author of the first one. Its base may be older than the first order, since two operators may give
 * the same order at once.
 */
export function applyEvacuation(
  configuration: Configuration,
  record: EvacuationRecord,
  metadata: RecordMetadata,
): Configuration | string {
  const { failureDomain, action, baseVersion } = record;
  const refusal = findUnknownDomain(configuration, record) ??
    findStaleBase(
      configuration,
      baseVersion,
      isInForce(configuration, record)
        ? []
        : [{ key: `evacuation:${failureDomain}`, fieldPath: "failureDomain" }],
    );
  if (refusal !== undefined) {
    return refusal;
  }
  const next = setEvacuation(configuration, record, metadata);
  return (action === "evacuate" ? findFullEvacuation(next) : undefined) ?? next;
}

function isInForce(
  { evacuations }: Configuration,
  { failureDomain, action }: EvacuationRecord,
): boolean {
  return evacuations.has(failureDomain) === (action === "evacuate");
}

function findUnknownDomain(
  { failureDomains, evacuations }: Configuration,
  { failureDomain, action }: EvacuationRecord,
): string | undefined {
  // The evacuation of a failure domain that was removed from the configuration can still be ended.
  const isKnown = failureDomains.has(failureDomain) ||
    (action === "restore" && evacuations.has(failureDomain));
  return isKnown
    ? undefined
    : `failureDomain: there is no failure-domain:${failureDomain}; known are ${
      [...failureDomains].sort().join(", ") || "none"
    }`;
}

function setEvacuation(
  configuration: Configuration,
  { failureDomain, action, author }: EvacuationRecord,
  { offset, appendedAt }: RecordMetadata,
): Configuration {
  const evacuations = new Map<FailureDomainName, Evacuation>(
    configuration.evacuations,
  );
  if (action === "restore") {
    evacuations.delete(failureDomain);
  } else if (!evacuations.has(failureDomain)) {
    evacuations.set(failureDomain, {
      failureDomain,
      startedAt: appendedAt,
      author,
    });
  }
  const objectVersions = new Map(configuration.objectVersions);
  objectVersions.set(`evacuation:${failureDomain}`, offset);
  return { ...configuration, version: offset, evacuations, objectVersions };
}
