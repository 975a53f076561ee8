/**
 * Tracks the state of the local instance from heartbeats, which may be late, duplicated, out of order, from an
 * earlier instance at the same address, or from a writer that is no instance of this deployment.
 *
 * @module
 */

import type { Clock } from "../../../base/common/clock.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { ServiceName } from "../../../world/common/names.ts";
import {
  type DepartedInstance,
  type InstanceDeparture,
  type InstanceReport,
  isSameDeparture,
} from "../../../world/common/mesh_instance.ts";
import { createReportContender } from "./report_contender.ts";

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

/**
 * An instance that has departed started at most this much after now by the clock of this host, which may have been
 * set back meanwhile. Otherwise a departure could shut out starts of the far future.
 */
const MAXIMUM_CLOCK_STEP_MS: Milliseconds = 60_000;
/** The number of most recent departures that are kept. */
const MAXIMUM_DEPARTURES = 16;

export interface InstanceTrackerOptions {
  /** Whether instances of a service are used now; the answer may change at any time. */
  readonly isKnownService: (service: ServiceName) => boolean;
  readonly clock: Clock;
  readonly heartbeatMilliseconds: Milliseconds;
}

export function createInstanceTracker(
  { isKnownService, clock, heartbeatMilliseconds }: InstanceTrackerOptions,
): InstanceTracker {
  const contender = createReportContender(heartbeatMilliseconds);
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
    const latestStart = Math.max(
      departure.receivedAt + MAXIMUM_CLOCK_STEP_MS,
      isCurrent ? instance!.startedAt : -Infinity,
    );
    recordDeparture({
      identity: departure.identity,
      startedAt: Math.min(
        latestStart,
        departure.startedAt ??
          (isCurrent ? instance!.startedAt : departure.receivedAt),
      ),
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
      const before = instance;
      const now = clock.now();
      if (before !== undefined && isComparable(report)) {
        const reason = findStaleness(report, before);
        if (reason !== undefined && !contender.recordIgnored(report, now)) {
          return { type: "ignored", reason };
        }
        if (isSameStart(report, before) && before.state === "gone") {
          return { type: "ignored", reason: "departed" };
        }
      }
      contender.recordAccepted(now);
      instance = report;
      if (before === undefined || !isSameStart(report, before)) {
        return { type: "new" };
      }
      const isUnchanged = report.state === before.state &&
        report.version === before.version &&
        report.service === before.service && report.slots === before.slots;
      return { type: isUnchanged ? "unchanged" : "changed" };
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

function isSameStart(left: InstanceReport, right: InstanceReport): boolean {
  return left.identity === right.identity && left.startedAt === right.startedAt;
}

/** Why a report does not replace that of the tracked instance; undefined if it does. */
function findStaleness(
  report: InstanceReport,
  instance: InstanceReport,
): "superseded" | "older" | undefined {
  if (report.startedAt < instance.startedAt) {
    return "superseded";
  }
  return isSameStart(report, instance) && report.sequence <= instance.sequence
    ? "older"
    : undefined;
}
