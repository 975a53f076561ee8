/**
 * Keeps the summary of the own failure domain current while this daemon is its writer.
 *
 * @module
 */

import type { Clock } from "../../../base/common/clock.ts";
import type { Disposable } from "../../../base/common/disposable.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { DirectoryView } from "./directory_view.ts";
import {
  SUMMARY_RECORD,
  type SummaryRecord,
  updateSummary,
  writesSummary,
} from "./domain_summary.ts";
import type { MemberState } from "./member_state.ts";
import type { RecordStore } from "./record_store.ts";

/** Changes that arrive together are written together. */
const SUMMARY_DELAY_MS: Milliseconds = 50;

/** A daemon that has just started knows too few members to write the summary of its domain. */
const SUMMARY_GRACE_MS: Milliseconds = 5_000;

export interface SummaryWriterOptions {
  readonly state: MemberState;
  readonly view: DirectoryView;
  readonly summaries: RecordStore<SummaryRecord>;
  readonly clock: Clock;
  readonly publish: (key: string) => void;
}

export interface SummaryWriter extends Disposable {
  /** Compares the summary with the members soon. */
  schedule(): void;
}

export function createSummaryWriter(
  options: SummaryWriterOptions,
): SummaryWriter {
  const { state, view, summaries, clock } = options;
  const { failureDomain, process } = state.own;
  let timer: Disposable | undefined;

  function listPresent(): Map<string, SummaryRecord> {
    const present = new Map<string, SummaryRecord>();
    for (const record of summaries.values()) {
      if (record.failureDomain === failureDomain) {
        present.set(record.part, record);
      }
    }
    return present;
  }

  function write(): void {
    const now = clock.now();
    if (
      now - process.startedAt < SUMMARY_GRACE_MS ||
      !writesSummary(state.own, view.localMembers)
    ) {
      return;
    }
    const records = updateSummary(failureDomain, listPresent(), {
      members: view.localMembers,
      instances: view.localInstances,
      now,
    });
    for (const record of records) {
      summaries.merge(record);
      options.publish(SUMMARY_RECORD.keyOf(record));
    }
  }

  return {
    schedule() {
      timer ??= clock.schedule(SUMMARY_DELAY_MS, () => {
        timer = undefined;
        write();
      });
    },
    dispose: () => timer?.dispose(),
  };
}
