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

/**
 * In a split both sides write the summary of the domain. Without a limit each side would answer
 * the other's record at once, about 7 times a second, and every daemon outside would be sent
 * each of them. A shorter time than the 3 s in which a departure must be known everywhere.
 */
const CONTEST_MS: Milliseconds = 2_000;

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
  const written = new Map<string, { version: number; at: Milliseconds }>();
  let timer: Disposable | undefined;
  let retry: Disposable | undefined;

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
    const present = listPresent();
    const records = updateSummary(failureDomain, present, {
      members: view.localMembers,
      instances: view.localInstances,
      now,
    });
    for (const record of records) {
      const { part, version } = record;
      const last = written.get(part);
      const wait =
        last === undefined || last.version === present.get(part)?.version
          ? 0
          : last.at + CONTEST_MS - now;
      if (wait > 0) {
        retryAfter(wait);
        continue;
      }
      written.set(part, { version, at: now });
      summaries.merge(record);
      options.publish(SUMMARY_RECORD.keyOf(record));
    }
  }

  function retryAfter(wait: Milliseconds): void {
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
