/**
 * Tracks the state of the local instance from heartbeats, which may be late, duplicated, out of order or
 * from an earlier instance at the same address.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import {
  type DepartedInstance,
  type InstanceDeparture,
  type InstanceReport,
  isSameDeparture,
} from "../../../world/common/mesh_instance.ts";

/** Why a report was ignored. */
export type IgnoredReason = "older" | "departed" | "superseded";

export type ReportOutcome =
  | { readonly type: "new" | "changed" | "unchanged" }
  | { readonly type: "ignored"; readonly reason: IgnoredReason };

export interface InstanceTracker {
  readonly instance: InstanceReport | undefined;
  readonly departed: readonly DepartedInstance[];
  applyReport(report: InstanceReport): ReportOutcome;
  applyDeparture(departure: InstanceDeparture): ReportOutcome;
  /** Records that the current instance has announced its departure in a response. */
  markLeaving(): ReportOutcome;
  /** Restores the departures that a peer has kept, after this process has restarted. */
  restoreDepartures(departed: readonly DepartedInstance[]): void;
}

/** The number of most recent departures that are kept. */
const MAXIMUM_DEPARTURES = 16;

export function createInstanceTracker(): InstanceTracker {
  let instance: InstanceReport | undefined;
  let departed: DepartedInstance[] = [];

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
    applyReport(report) {
      if (report.state !== "ready") {
        recordDeparture({
          identity: report.identity,
          startedAt: report.startedAt,
        });
      } else if (hasDeparted(report.identity, report.startedAt)) {
        return { type: "ignored", reason: "departed" };
      }
      if (instance !== undefined) {
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
