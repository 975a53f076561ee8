/**
 * Holds back the reports of ready instances until the departures are known that earlier processes of this daemon have
 * acknowledged.
 *
 * A report may be late and come from an instance that has departed since. Without the store, reports are accepted
 * once all that arrive must have been sent after the start of this process: an instance that had departed before
 * sends none. An instance that has not started before this process cannot have departed before.
 *
 * @module
 */

import type { Clock } from "../../../base/common/clock.ts";
import type { Disposable } from "../../../base/common/disposable.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { InstanceReport } from "../../../world/common/mesh_instance.ts";

/** Heartbeats may arrive some seconds after they were sent. */
export const MAXIMUM_REPORT_DELAY_MS: Milliseconds = 5_000;
/**
 * After a loss of power, an instance and its daemon start in any order. A shorter time does not suffice for an instance to
 * start, report and depart while the process before this one was running.
 */
const START_TOLERANCE_MS: Milliseconds = 300;
/** The number of newest reports that are kept. */
const MAXIMUM_HELD_REPORTS = 16;

export interface ReadyReportHoldOptions {
  readonly clock: Clock;
  /** When this process started, in milliseconds since the Unix epoch, like the start times of instances. */
  readonly processStartedAt: Milliseconds;
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
  { clock, processStartedAt, apply, onExpired }: ReadyReportHoldOptions,
): ReadyReportHold {
  let isHolding = true;
  let held: InstanceReport[] = [];
  const timer = clock.schedule(MAXIMUM_REPORT_DELAY_MS, () => {
    isHolding = false;
    held = [];
    onExpired();
  });

  function mayHaveDeparted({ state, startedAt }: InstanceReport): boolean {
    return state === "ready" &&
      startedAt < processStartedAt - START_TOLERANCE_MS;
  }

  return {
    handle(report) {
      if (isHolding && mayHaveDeparted(report)) {
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
