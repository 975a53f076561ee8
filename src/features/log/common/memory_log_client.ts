/**
 * A client of a log in memory that reports the same outcomes as the HTTP client, for tests and
 * measurements.
 *
 * @module
 */

import type { Clock } from "../../../base/common/clock.ts";
import type { Disposable } from "../../../base/common/disposable.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import { Err, Ok, type Result } from "../../../base/common/result.ts";
import { type Outcome, StepError } from "../../../base/common/step_error.ts";
import {
  type AppendAnswer,
  LogClient,
  type LogPage,
  type ReadOptions,
  type StreamName,
} from "./log_client.ts";
import type { MemoryLog } from "./memory_log.ts";

export interface MemoryLogClientOptions {
  readonly log: MemoryLog;
  readonly clock: Clock;
  /** The one-way latency between the client and the platform. */
  readonly latencyMilliseconds?: Milliseconds;
  /** The timeout of an append, and of a read in addition to its wait. */
  readonly timeoutMilliseconds?: Milliseconds;
}

export function createMemoryLogClient(
  options: MemoryLogClientOptions,
): LogClient {
  return new MemoryLogClient(options);
}

class MemoryLogClient extends LogClient {
  readonly #log: MemoryLog;
  readonly #clock: Clock;
  readonly #latency: Milliseconds;
  readonly #timeout: Milliseconds;
  readonly #pendingReads = new Set<Disposable>();
  #isDisposed = false;

  constructor(options: MemoryLogClientOptions) {
    super();
    this.#log = options.log;
    this.#clock = options.clock;
    this.#latency = options.latencyMilliseconds ?? 1;
    this.#timeout = options.timeoutMilliseconds ?? 2_000;
  }

  override async append(
    stream: StreamName,
    record: Uint8Array,
  ): Promise<Result<AppendAnswer, StepError>> {
    await this.#clock.sleep(this.#latency);
    const result = this.#log.append(stream, record, this.#clock.now());
    if (result.kind !== "appended") {
      return this.#createError(
        "append",
        `The platform is ${result.kind}`,
        "not-run",
      );
    }
    const delay = this.#latency + this.#log.faults.delayMilliseconds;
    if (result.isAnswerLost || delay > this.#timeout) {
      await this.#clock.sleep(this.#timeout);
      return this.#createError(
        "append",
        "The answer did not arrive",
        "unknown",
      );
    }
    await this.#clock.sleep(delay);
    return Ok(result.answer);
  }

  override async read(
    stream: StreamName,
    from: number,
    options: ReadOptions = {},
  ): Promise<Result<LogPage, StepError>> {
    await this.#clock.sleep(this.#latency);
    const range = { from, limit: options.limit };
    const now = () => this.#clock.now();
    let page = this.#log.read(stream, { ...range, now: now() });
    const wait = options.waitMilliseconds ?? 0;
    if (page?.entries.length === 0 && wait > 0 && from >= page.next) {
      await this.#waitForAppend(stream, wait);
      page = this.#log.read(stream, { ...range, now: now() });
    }
    if (page === undefined || this.#isDisposed) {
      return this.#createError("read", "The platform is down", "not-run");
    }
    const delay = this.#latency + this.#log.faults.delayMilliseconds;
    await this.#clock.sleep(Math.min(delay, this.#timeout));
    return delay > this.#timeout
      ? this.#createError("read", "The answer did not arrive", "unknown")
      : Ok(page);
  }

  #waitForAppend(stream: StreamName, wait: Milliseconds): Promise<void> {
    return new Promise((resolve) => {
      const pendingRead = { dispose: () => end() };
      const timer = this.#clock.schedule(wait, () => end());
      const listener = this.#log.onAppended((name) => {
        if (name === stream) {
          end();
        }
      });
      this.#pendingReads.add(pendingRead);
      const end = () => {
        timer.dispose();
        listener.dispose();
        this.#pendingReads.delete(pendingRead);
        resolve();
      };
      if (this.#isDisposed) {
        end();
      }
    });
  }

  #createError(action: string, message: string, outcome: Outcome) {
    return Err(
      new StepError(`log.${action}`, message, { peer: "platform", outcome }),
    );
  }

  override dispose(): void {
    this.#isDisposed = true;
    for (const pendingRead of [...this.#pendingReads]) {
      pendingRead.dispose();
    }
  }
}
