/**
 * Tracks the state of the local instance from heartbeats, which may be late, duplicated, out of order, from an
 * earlier instance at the same address, or from a writer that is no instance of this deployment.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { ServiceName } from "../../../world/common/names.ts";
import {
  type DepartedInstance,
  type InstanceDeparture,
  type InstanceReport,
  isSameDeparture,
} from "../../../world/common/mesh_instance.ts";

/** Why a report was ignored. */
export type IgnoredReason =
  | "older"
  | "departed"
  | "superseded"
  | "unknown-service";

export type ReportOutcome =
  | { readonly type: "new" | "changed" | "unchanged" }
  | { readonly type: "ignored"; readonly reason: IgnoredReason };

export interface InstanceTracker {
  readonly instance: InstanceReport | undefined;
  readonly departed: readonly DepartedInstance[];
  /** Whether a report is one of an instance that calls may be for. Others change nothing. */
  accepts(report: InstanceReport): boolean;
  applyReport(report: InstanceReport): ReportOutcome;
  applyDeparture(departure: InstanceDeparture): ReportOutcome;
  /** Records that the current instance has announced its departure in a response. */
  markLeaving(): ReportOutcome;
  /** Restores the departures that a peer has kept, after this process has restarted. */
  restoreDepartures(departed: readonly DepartedInstance[]): void;
}

/** The number of most recent departures that are kept. */
const MAXIMUM_DEPARTURES = 16;

export interface InstanceTrackerOptions {
  /** Whether instances of a service are used now; the answer may change at any time. */
  readonly isKnownService: (service: ServiceName) => boolean;
}

export function createInstanceTracker(
  { isKnownService }: InstanceTrackerOptions,
): InstanceTracker {
  let instance: InstanceReport | undefined;
  let departed: DepartedInstance[] = [];

  function isOfInstance(
    { identity, startedAt, service }: InstanceReport,
  ): boolean {
    return instance?.identity === identity &&
      instance.startedAt === startedAt && instance.service === service;
  }

  function accepts(report: InstanceReport): boolean {
    // The service of the instance may have been removed since; its departure must still be known.
    return isKnownService(report.service) || isOfInstance(report);
  }

  /** Whether a report is compared with that of the instance; one of a removed service gives way to any other. */
  function isComparable(report: InstanceReport): boolean {
    return instance !== undefined &&
      (isKnownService(instance.service) || isOfInstance(report));
  }

  function hasDeparted(identity: string, startedAt: Milliseconds): boolean {
    return departed.some((entry) =>
      entry.identity === identity && startedAt <= entry.startedAt
    );
  }

  function recordDeparture({ identity, startedAt }: DepartedInstance): void {
    const departure = { identity, startedAt };
    if (!departed.some((known) => isSameDeparture(known, departure))) {
      departed = [...departed, departure].slice(-MAXIMUM_DEPARTURES);
    }
  }

  function applyDeparture(departure: InstanceDeparture): ReportOutcome {
    const isCurrent = instance?.identity === departure.identity &&
      (departure.startedAt === undefined ||
        departure.startedAt >= instance.startedAt);
    recordDeparture({
      identity: departure.identity,
      startedAt: departure.startedAt ??
        (isCurrent ? instance!.startedAt : departure.receivedAt),
    });
    if (!isCurrent) {
      return { type: "ignored", reason: "older" };
    }
    if (instance?.state === "gone") {
      return { type: "unchanged" };
    }
    instance = { ...instance!, state: "gone" };
    return { type: "changed" };
  }

  return {
    get instance() {
      return instance;
    },
    get departed() {
      return departed;
    },
    accepts,
    applyReport(report) {
      if (!accepts(report)) {
        return { type: "ignored", reason: "unknown-service" };
      }
      if (report.state !== "ready") {
        recordDeparture({
          identity: report.identity,
          startedAt: report.startedAt,
        });
      } else if (hasDeparted(report.identity, report.startedAt)) {
        return { type: "ignored", reason: "departed" };
      }
      if (instance !== undefined && isComparable(report)) {
        if (report.startedAt < instance.startedAt) {
          return { type: "ignored", reason: "superseded" };
        }
        if (report.startedAt === instance.startedAt) {
          const isSame = report.identity === instance.identity;
          if (isSame && report.sequence <= instance.sequence) {
            return { type: "ignored", reason: "older" };
          }
          if (isSame && instance.state === "gone") {
            return { type: "ignored", reason: "departed" };
          }
          const isUnchanged = isSame && report.state === instance.state &&
            report.version === instance.version &&
            report.service === instance.service &&
            report.slots === instance.slots;
          instance = report;
          return {
            type: isSame ? (isUnchanged ? "unchanged" : "changed") : "new",
          };
        }
      }
      instance = report;
      return { type: "new" };
    },
    applyDeparture,
    markLeaving() {
      if (instance?.state !== "ready") {
        return { type: "unchanged" };
      }
      recordDeparture(instance);
      instance = { ...instance, state: "draining" };
      return { type: "changed" };
    },
    restoreDepartures(entries) {
      for (const entry of entries) {
        recordDeparture(entry);
        if (
          instance !== undefined && instance.state === "ready" &&
          hasDeparted(instance.identity, instance.startedAt)
        ) {
          instance = { ...instance, state: "draining" };
        }
      }
    },
  };
}
