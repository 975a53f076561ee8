/**
 * Updates the summary of the own failure domain while this daemon is its writer.
 *
 * @module
 */

import type { Clock } from "../../../base/common/clock.ts";
import type { Disposable } from "../../../base/common/disposable.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { DirectoryView } from "./directory_view.ts";
import {
  computeChangedParts,
  isSummaryWriter,
  SUMMARY_RECORD,
  type SummaryRecord,
} from "./domain_summary.ts";
import type { MemberState } from "./member_state.ts";
import type { RecordStore } from "./record_store.ts";

/** Changes within this time are batched into one update. */
const SUMMARY_DELAY_MS: Milliseconds = 50;

/** No summary is written for this long after the start, as a new daemon knows too few members. */
const STARTUP_GRACE_MS: Milliseconds = 5_000;

/**
 * The shortest time between two writes of a part that another daemon has overwritten in between. In
 * a network partition both sides write the summary of the domain. Without this limit they would
 * overwrite each other about 7 times a second, and every daemon of other domains would receive each
 * record. It is below the 3 s within which a departure must be known everywhere.
 */
const MINIMUM_OVERWRITE_INTERVAL_MS: Milliseconds = 2_000;

export interface SummaryWriterOptions {
  readonly state: MemberState;
  readonly view: DirectoryView;
  readonly summaries: RecordStore<SummaryRecord>;
  readonly clock: Clock;
  readonly publish: (key: string) => void;
}

export interface SummaryWriter extends Disposable {
  /** Schedules a comparison of the summary with the members, and its update. */
  schedule(): void;
}

export function createSummaryWriter(
  options: SummaryWriterOptions,
): SummaryWriter {
  const { state, view, summaries, clock } = options;
  const { failureDomain, process } = state.own;
  const written = new Map<string, { version: number; at: Milliseconds }>();
  let timer: Disposable | undefined;
  let retry: Disposable | undefined;

  function listOwnParts(): Map<string, SummaryRecord> {
    const storedParts = new Map<string, SummaryRecord>();
    for (const record of summaries.values()) {
      if (record.failureDomain === failureDomain) {
        storedParts.set(record.part, record);
      }
    }
    return storedParts;
  }

  function write(): void {
    const now = clock.now();
    if (
      now - process.startedAt < STARTUP_GRACE_MS ||
      !isSummaryWriter(state.own, view.localMembers)
    ) {
      return;
    }
    const storedParts = listOwnParts();
    const records = computeChangedParts(failureDomain, storedParts, {
      members: view.localMembers,
      instances: view.localInstances,
      now,
    });
    for (const record of records) {
      const { part, version } = record;
      const last = written.get(part);
      const wait =
        last === undefined || last.version === storedParts.get(part)?.version
          ? 0
          : last.at + MINIMUM_OVERWRITE_INTERVAL_MS - now;
      if (wait > 0) {
        scheduleRetry(wait);
        continue;
      }
      written.set(part, { version, at: now });
      summaries.merge(record);
      options.publish(SUMMARY_RECORD.keyOf(record));
    }
  }

  function scheduleRetry(wait: Milliseconds): void {
    retry ??= clock.schedule(wait, () => {
      retry = undefined;
      write();
    });
  }

  return {
    schedule() {
      timer ??= clock.schedule(SUMMARY_DELAY_MS, () => {
        timer = undefined;
        write();
      });
    },
    dispose() {
      timer?.dispose();
      retry?.dispose();
    },
  };
}
