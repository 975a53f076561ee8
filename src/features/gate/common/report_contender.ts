/**
 * Finds out that the tracked instance is not the one on this host: another one, whose reports are ignored, keeps on
 * reporting, while the tracked one is silent.
 *
 * A single report with a start time in the future, or with a very high sequence number, would otherwise shut out the
 * instance on this host until the daemon restarts. Reports that a partition has delayed do not keep on coming.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { InstanceReport } from "../../../world/common/mesh_instance.ts";

/** As many reports may be missing before an instance counts as lost. */
const SILENT_INTERVALS = 3.5;
const MINIMUM_REPORTS = 3;
/** Reports that arrive closer to each other were delayed. */
const MINIMUM_INTERVALS = 1.5;

export interface ReportContender {
  /** Records an accepted report of the tracked instance. */
  recordAccepted(now: Milliseconds): void;
  /** Records an ignored report; returns whether its instance replaces the tracked one. */
  recordIgnored(report: InstanceReport, now: Milliseconds): boolean;
}

export function createReportContender(
  heartbeatMilliseconds: Milliseconds,
): ReportContender {
  let lastAcceptedAt = -Infinity;
  let last: InstanceReport | undefined;
  let firstAt: Milliseconds = 0;
  let count = 0;

  return {
    recordAccepted(now) {
      lastAcceptedAt = now;
    },
    recordIgnored(report, now) {
      if (
        last?.identity !== report.identity ||
        last.startedAt !== report.startedAt
      ) {
        firstAt = now;
        count = 0;
      } else if (report.sequence <= last.sequence) {
        return false;
      }
      last = report;
      count += 1;
      const isReplaced = count >= MINIMUM_REPORTS &&
        now - firstAt >= MINIMUM_INTERVALS * heartbeatMilliseconds &&
        now - lastAcceptedAt >= SILENT_INTERVALS * heartbeatMilliseconds;
      if (isReplaced) {
        last = undefined;
      }
      return isReplaced;
    },
  };
}
