/**
 * What a gate believes about the instance beside it, from heartbeats that may be late, repeated,
 * out of order or from an earlier instance at the same address.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type {
  InstanceDeparture,
  InstanceReport,
} from "../../../world/common/mesh_instance.ts";

/** Why a report changes nothing. */
export type IgnoredReason = "older" | "departed" | "superseded";

export type ReportOutcome =
  | { readonly type: "new" | "changed" | "unchanged" }
  | { readonly type: "ignored"; readonly reason: IgnoredReason };

/** An instance that has said that it leaves; it never becomes ready again. */
export interface DepartedInstance {
  readonly identity: string;
  readonly startedAt: Milliseconds | undefined;
}

export interface InstanceRegister {
  readonly instance: InstanceReport | undefined;
  readonly departed: readonly DepartedInstance[];
  report(report: InstanceReport): ReportOutcome;
  depart(departure: InstanceDeparture): ReportOutcome;
  /** Takes over what a peer remembers, after this process has restarted. */
  recall(departed: readonly DepartedInstance[]): void;
}

/** A restart remembers the departures of as many earlier instances. */
const REMEMBERED_DEPARTURES = 16;

export function createInstanceRegister(): InstanceRegister {
  let instance: InstanceReport | undefined;
  let departed: DepartedInstance[] = [];

  function isDeparted(identity: string, startedAt: Milliseconds): boolean {
    return departed.some((entry) =>
      entry.identity === identity &&
      (entry.startedAt === undefined || startedAt <= entry.startedAt)
    );
  }

  function remember(entry: DepartedInstance): void {
    if (
      !departed.some((known) =>
        known.identity === entry.identity && known.startedAt === entry.startedAt
      )
    ) {
      departed = [...departed, entry].slice(-REMEMBERED_DEPARTURES);
    }
  }

  function depart(departure: InstanceDeparture): ReportOutcome {
    const isCurrent = instance?.identity === departure.identity &&
      (departure.startedAt === undefined ||
        departure.startedAt >= instance.startedAt);
    remember({
      identity: departure.identity,
      startedAt: departure.startedAt ??
        (isCurrent ? instance?.startedAt : undefined),
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
    report(report) {
      if (report.state !== "ready") {
        remember({ identity: report.identity, startedAt: report.startedAt });
      } else if (isDeparted(report.identity, report.startedAt)) {
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
    depart,
    recall(entries) {
      for (const entry of entries) {
        remember(entry);
        if (
          instance !== undefined && instance.state === "ready" &&
          isDeparted(instance.identity, instance.startedAt)
        ) {
          instance = { ...instance, state: "draining" };
        }
      }
    },
  };
}
