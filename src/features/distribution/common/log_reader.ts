/**
 * The task that reads the platform's log while this daemon is a reader of its domain, and that
 * writes snapshots.
 *
 * @module
 */

import { computeBackoff } from "../../../base/common/backoff.ts";
import {
  startTask,
  type TaskBody,
  waitFor,
} from "../../../base/common/channel.ts";
import type { Clock } from "../../../base/common/clock.ts";
import type { Disposable } from "../../../base/common/disposable.ts";
import type { EventLog } from "../../../base/common/event_log.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { RandomSource } from "../../../base/common/random_source.ts";
import type { LogEntry } from "../../../world/common/log_record.ts";
import type { FoldState } from "../../fold/common/fold.ts";
import {
  decodeSnapshot,
  encodeSnapshot,
} from "../../fold/common/state_codec.ts";
import type { LogClient, LogPage } from "../../log/common/log_client.ts";
import {
  isSnapshotDue,
  type LastSnapshot,
  POLL_WAIT_MS,
} from "./distribution_rules.ts";

const IDLE_CHECK_MS: Milliseconds = 200;
/** Jitter that spreads the writes of readers that find a snapshot due at the same time. */
const SNAPSHOT_JITTER_MS: Milliseconds = 5_000;
const READ_BACKOFF = { baseMilliseconds: 100, capMilliseconds: 2_000 };
/** Snapshots that are tried, newest first, in case one is damaged. */
const MAXIMUM_SNAPSHOT_TRIES = 3;

export interface LogReaderOptions {
  readonly logClient: LogClient;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly retentionMilliseconds: Milliseconds;
  isReader(): boolean;
  getState(): FoldState;
  applyEntries(entries: readonly LogEntry[]): void;
  adoptState(state: FoldState): void;
  /** Called when the state includes all entries of the platform's log. */
  reportLogEnd(): void;
}

export function startLogReader(options: LogReaderOptions): Disposable {
  const { clock, random, log } = options;
  let isDisposed = false;
  let failures = 0;
  let hasReadEnd = false;
  let lastSnapshot: LastSnapshot | undefined;
  let snapshotDueAt: Milliseconds | undefined;

  function* run(): TaskBody {
    while (!isDisposed) {
      if (options.isReader()) {
        yield* readOnce();
      } else {
        yield* waitFor(clock.sleep(IDLE_CHECK_MS));
      }
    }
  }

  function* readOnce(): TaskBody {
    const { position } = options.getState();
    if (position === 0) {
      yield* loadSnapshot();
    }
    const from = options.getState().position;
    // The first read does not wait: the end of the log makes a restarted daemon ready.
    const wait = { waitMilliseconds: hasReadEnd ? computePollWait() : 0 };
    const page = yield* waitFor(
      options.logClient.read("configuration", from, wait),
    );
    if (isDisposed) {
      return;
    }
    if (page.err) {
      log.write("warn", "log.read-failed", { reason: page.val.message });
      yield* waitFor(
        clock.sleep(computeBackoff(failures, random, READ_BACKOFF)),
      );
      failures += 1;
      return;
    }
    failures = 0;
    yield* applyPage(page.val, from);
    yield* writeSnapshotWhenDue();
  }

  /** Ends a poll when a snapshot is due. A longer poll would undo the jitter of the snapshots. */
  function computePollWait(): Milliseconds {
    const untilSnapshot = (snapshotDueAt ?? Infinity) - clock.now();
    return Math.min(POLL_WAIT_MS, Math.max(0, Math.ceil(untilSnapshot)));
  }

  function* applyPage(page: LogPage, from: number): TaskBody {
    if (page.first > options.getState().position) {
      log.write("warn", "log.retention-passed", { from, first: page.first });
      yield* loadSnapshot();
    }
    options.applyEntries(page.entries);
    const { position } = options.getState();
    if (position === page.next) {
      hasReadEnd = true;
      options.reportLogEnd();
    } else if (position < page.first || page.next < from) {
      log.write("error", "log.unusable", { position, next: page.next });
      yield* waitFor(clock.sleep(READ_BACKOFF.capMilliseconds));
    }
  }

  /** Adopts the newest valid snapshot, if there is one. */
  function* loadSnapshot(): TaskBody {
    const { logClient } = options;
    const head = yield* waitFor(
      logClient.read("snapshots", Number.MAX_SAFE_INTEGER - 1, { limit: 1 }),
    );
    if (head.err) {
      return;
    }
    const { first, next } = head.val;
    const oldest = Math.max(first, next - MAXIMUM_SNAPSHOT_TRIES);
    for (let offset = next - 1; offset >= oldest; offset -= 1) {
      const page = yield* waitFor(
        logClient.read("snapshots", offset, { limit: 1 }),
      );
      const [entry] = page.ok ? page.val.entries : [];
      const state = entry && decodeSnapshot(entry.record);
      if (state?.ok) {
        lastSnapshot = { position: state.val.position, at: entry.appendedAt };
        options.adoptState(state.val);
        return;
      }
      log.write("error", "snapshot.refused", { offset, reason: state?.val });
    }
  }

  function isDue(): boolean {
    return isSnapshotDue(lastSnapshot, {
      position: options.getState().position,
      now: clock.now(),
      retentionMilliseconds: options.retentionMilliseconds,
    });
  }

  function* writeSnapshotWhenDue(): TaskBody {
    lastSnapshot ??= { position: 0, at: clock.now() };
    if (!isDue()) {
      snapshotDueAt = undefined;
      return;
    }
    snapshotDueAt ??= clock.now() +
      random.nextFraction() * SNAPSHOT_JITTER_MS;
    if (clock.now() < snapshotDueAt) {
      return;
    }
    snapshotDueAt = undefined;
    // Another reader may have written a snapshot in the meantime.
    yield* loadSnapshot();
    if (!isDue()) {
      return;
    }
    const state = options.getState();
    const answer = yield* waitFor(
      options.logClient.append("snapshots", encodeSnapshot(state)),
    );
    if (answer.ok) {
      lastSnapshot = { position: state.position, at: clock.now() };
    }
    log.write(answer.ok ? "info" : "warn", "snapshot.append", {
      position: state.position,
      reason: answer.ok ? undefined : answer.val.message,
    });
  }

  startTask("distribution.read", run, {
    onError: (error) =>
      log.write("error", "task.failed", {
        step: error.step,
        reason: error.message,
      }),
  });
  return {
    dispose() {
      isDisposed = true;
    },
  };
}
