/**
 * Holds back the reports of ready instances until the departures are known that earlier processes of this daemon have
 * acknowledged.
 *
 * A report may be late and come from an instance that has departed since. Without the store, reports are accepted
 * once all that arrive must have been sent after the start of this process: an instance that had departed before
 * sends none.
 *
 * @module
 */

import type { Clock } from "../../../base/common/clock.ts";
import type { Disposable } from "../../../base/common/disposable.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { InstanceReport } from "../../../world/common/mesh_instance.ts";

/** Heartbeats may arrive some seconds after they were sent. */
export const MAXIMUM_REPORT_DELAY_MS: Milliseconds = 5_000;
/** The number of newest reports that are kept. */
const MAXIMUM_HELD_REPORTS = 16;

export interface ReadyReportHoldOptions {
  readonly clock: Clock;
  readonly apply: (report: InstanceReport) => void;
  /** Called when reports are accepted although the departures are not known. */
  readonly onExpired: () => void;
}

export interface ReadyReportHold extends Disposable {
  /** Applies a report immediately or when the departures are known. */
  handle(report: InstanceReport): void;
  /** Ends the hold, since the departures are known, and applies the reports that were held back. */
  release(): void;
}

export function createReadyReportHold(
  { clock, apply, onExpired }: ReadyReportHoldOptions,
): ReadyReportHold {
  let isHolding = true;
  let held: InstanceReport[] = [];
  const timer = clock.schedule(MAXIMUM_REPORT_DELAY_MS, () => {
    isHolding = false;
    held = [];
    onExpired();
  });

  return {
    handle(report) {
      if (isHolding && report.state === "ready") {
        held = [...held, report].slice(-MAXIMUM_HELD_REPORTS);
      } else {
        apply(report);
      }
    },
    release() {
      timer.dispose();
      isHolding = false;
      for (const report of held.splice(0)) {
        apply(report);
      }
    },
    dispose: () => timer.dispose(),
  };
}
