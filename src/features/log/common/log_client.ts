/**
 * The client interface of the platform's append-only log.
 *
 * @module
 */

import type { Disposable } from "../../../base/common/disposable.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { Result } from "../../../base/common/result.ts";
import type { StepError } from "../../../base/common/step_error.ts";
import type { LogEntry } from "../../../world/common/log_record.ts";

export type StreamName = "configuration" | "snapshots";

export interface AppendAnswer {
  readonly offset: number;
  readonly appendedAt: Milliseconds;
}

export interface LogPage {
  /** The oldest offset that the platform retains. */
  readonly first: number;
  /** The offset that the next append will get. */
  readonly next: number;
  /** Contiguous entries from the requested offset, or from `first` when that is later. */
  readonly entries: readonly LogEntry[];
}

export interface ReadOptions {
  readonly limit?: number;
  /** How long the platform may hold the request open while there are no entries (long poll). */
  readonly waitMilliseconds?: Milliseconds;
}

export abstract class LogClient implements Disposable {
  /** The error's outcome is `not-run` if the append certainly had no effect, otherwise `unknown`. */
  abstract append(
    stream: StreamName,
    record: Uint8Array,
  ): Promise<Result<AppendAnswer, StepError>>;

  abstract read(
    stream: StreamName,
    from: number,
    options?: ReadOptions,
  ): Promise<Result<LogPage, StepError>>;

  abstract dispose(): void;
}
