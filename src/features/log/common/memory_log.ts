/**
 * An append-only log in memory with the limits and injectable faults of the platform's log, for the
 * stand-in platform, tests and measurements.
 *
 * @module
 */

import { createEmitter, type Event } from "../../../base/common/emitter.ts";
import {
  HOUR_MS,
  type Milliseconds,
  SECOND_MS,
} from "../../../base/common/milliseconds.ts";
import type { RandomSource } from "../../../base/common/random_source.ts";
import type { LogEntry } from "../../../world/common/log_record.ts";
import type { AppendAnswer, LogPage, StreamName } from "./log_client.ts";

/** The maximum number of entries in a page if the reader gives no limit. */
export const DEFAULT_PAGE_ENTRIES = 500;

/** Faults of the platform that can be injected, also in combination. */
export interface LogFaults {
  /** Refuses every append and read. */
  readonly isDown: boolean;
  /** Added to the duration of every append and read. */
  readonly delayMilliseconds: Milliseconds;
  /** The share of appends, 0 to 1, that take effect but whose answer is lost. */
  readonly lostAnswerShare: number;
}

export const NO_LOG_FAULTS: LogFaults = {
  isDown: false,
  delayMilliseconds: 0,
  lostAnswerShare: 0,
};

export interface MemoryLogOptions {
  readonly random: RandomSource;
  readonly retentionMilliseconds?: Milliseconds;
  readonly appendsPerSecond?: number;
}

export type AppendResult =
  | {
    readonly kind: "appended";
    readonly answer: AppendAnswer;
    readonly isAnswerLost: boolean;
  }
  | { readonly kind: "down" }
  | { readonly kind: "rate-limited" };

export interface MemoryLog {
  readonly faults: LogFaults;
  /** Fires after each append with the name of its stream. */
  readonly onAppended: Event<StreamName>;
  setFaults(change: Partial<LogFaults>): void;
  append(
    stream: StreamName,
    record: Uint8Array,
    now: Milliseconds,
  ): AppendResult;
  /** Removes the entries from an offset on, like a log that comes back from an older copy of itself. */
  rewind(stream: StreamName, offset: number): void;
  /** Undefined while the log is down. */
  read(stream: StreamName, range: LogRange): LogPage | undefined;
}

export interface LogRange {
  readonly from: number;
  readonly now: Milliseconds;
  readonly limit?: number;
}

interface Stream {
  first: number;
  readonly entries: LogEntry[];
}

export function createMemoryLog(options: MemoryLogOptions): MemoryLog {
  const retention = options.retentionMilliseconds ?? 24 * HOUR_MS;
  const tokenBucket = createTokenBucket(options.appendsPerSecond ?? 300);
  const streams: Record<StreamName, Stream> = {
    configuration: { first: 0, entries: [] },
    snapshots: { first: 0, entries: [] },
  };
  const appended = createEmitter<StreamName>();
  let faults = NO_LOG_FAULTS;

  return {
    get faults() {
      return faults;
    },
    onAppended: appended.event,
    setFaults(change) {
      faults = { ...faults, ...change };
    },
    append(name, record, now) {
      if (faults.isDown) {
        return { kind: "down" };
      }
      if (!tokenBucket.take(now)) {
        return { kind: "rate-limited" };
      }
      const stream = streams[name];
      const offset = stream.first + stream.entries.length;
      // Copied, as the caller may reuse its buffer.
      stream.entries.push({ offset, appendedAt: now, record: record.slice() });
      removeExpired(stream, now - retention);
      appended.fire(name);
      return {
        kind: "appended",
        answer: { offset, appendedAt: now },
        isAnswerLost: faults.lostAnswerShare > 0 &&
          options.random.nextFraction() < faults.lostAnswerShare,
      };
    },
    rewind(name, offset) {
      const stream = streams[name];
      stream.entries.splice(Math.max(0, offset - stream.first));
    },
    read(name, { from, now, limit = DEFAULT_PAGE_ENTRIES }) {
      if (faults.isDown) {
        return undefined;
      }
      const stream = streams[name];
      removeExpired(stream, now - retention);
      const start = Math.max(0, from - stream.first);
      return {
        first: stream.first,
        next: stream.first + stream.entries.length,
        entries: stream.entries.slice(start, start + limit),
      };
    },
  };
}

function removeExpired(stream: Stream, before: Milliseconds): void {
  const kept = stream.entries.findIndex((entry) => entry.appendedAt >= before);
  const count = kept === -1 ? stream.entries.length : kept;
  stream.entries.splice(0, count);
  stream.first += count;
}

/** A token bucket with a capacity of one second of appends. */
function createTokenBucket(appendsPerSecond: number) {
  let tokens = appendsPerSecond;
  let refilledAt: Milliseconds | undefined;
  return {
    take(now: Milliseconds): boolean {
      const elapsed = now - (refilledAt ?? now);
      tokens = Math.min(
        appendsPerSecond,
        tokens + appendsPerSecond * elapsed / SECOND_MS,
      );
      refilledAt = now;
      if (tokens < 1) {
        return false;
      }
      tokens -= 1;
      return true;
    },
  };
}
