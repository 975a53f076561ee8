/**
 * Test fixture: a store of the operator's records in memory, on a virtual clock, that can be slow, refuse calls, and come
 * back from an older copy of itself.
 *
 * @module
 */

import type { VirtualClock } from "../../base/common/clock.ts";
import type { Milliseconds } from "../../base/common/milliseconds.ts";
import { Err, Ok, type Result } from "../../base/common/result.ts";
import { StepError } from "../../base/common/step_error.ts";
import type {
  MeshStore,
  ReadOptions,
  ReadOutcome,
  RecordBatch,
} from "../../features/operator/common/mesh_store.ts";

export const STORE_MS: Milliseconds = 4;
/** How long a call of the store waits for a response. */
export const STORE_TIMEOUT_MS: Milliseconds = 2_000;
const OFFSETS_PER_ERA = 1_000_000;

export interface StoreAccess {
  /** The store does not respond to the host. */
  readonly isStoreSilent?: boolean;
  /** The store refuses each call of the host. */
  readonly isStoreRefusing?: boolean;
}

export interface StoreCaller {
  readonly access: () => StoreAccess;
  /** Handles a response on the caller's event loop. */
  readonly handle: (event: () => void) => void;
  readonly onCall: (isPoll: boolean) => void;
}

export interface SpreadStore {
  /** Writes a record; an empty value removes the key. Returns the position after it. */
  write(key: string, value: string): number;
  /** Returns to the copy from `duration` ago; the calls under way fail. */
  rewind(duration: Milliseconds): void;
  connect(caller: StoreCaller): MeshStore;
}

interface LogRecord {
  readonly key: string;
  readonly value: string;
  readonly at: Milliseconds;
}

export function createSpreadStore(clock: VirtualClock): SpreadStore {
  let log: LogRecord[] = [];
  let era = 0;
  const waiting = new Set<() => void>();
  const failures = new Set<() => void>();

  const locate = (position: number) => ({
    era: Math.max(0, Math.floor(position / OFFSETS_PER_ERA)),
    offset: Math.floor(position % OFFSETS_PER_ERA),
  });

  const encode = (offset: number) => era * OFFSETS_PER_ERA + offset;

  function listFrom(offset: number): RecordBatch {
    const newest = new Map<string, LogRecord & { readonly offset: number }>();
    log.forEach((record, index) => {
      if (index >= offset) {
        newest.set(record.key, { ...record, offset: encode(index) });
      }
    });
    return {
      records: [...newest.values()].map((record) => ({
        key: record.key,
        offset: record.offset,
        value: Buffer.from(record.value),
      })),
      position: encode(log.length),
    };
  }

  function readNewest(): RecordBatch {
    const { records, position } = listFrom(0);
    return {
      records: records.filter(({ value }) => value.length > 0),
      position,
    };
  }

  function connect({ access, handle, onCall }: StoreCaller): MeshStore {
    /** Resolves with the response of the store, or with an error when it does not respond in time. */
    function call<T>(
      wait: Milliseconds,
      isReady: () => boolean,
      respond: () => T,
      signal?: AbortSignal,
    ): Promise<Result<T, StepError>> {
      return new Promise((resolve) => {
        const finish = (result: Result<T, StepError>) => {
          timeout.dispose();
          failures.delete(reset);
          handle(() => resolve(result));
        };
        const fail = (reason: string) =>
          finish(Err(new StepError("store", reason, { outcome: "not-run" })));
        const reset = () => {
          waiting.delete(wake);
          fail("the connection was reset");
        };
        const timeout = clock.schedule(
          wait + STORE_TIMEOUT_MS,
          () => fail("the request timed out"),
        );
        signal?.addEventListener("abort", () => fail("aborted"));
        const answer = () => {
          if (!waiting.delete(wake) || access().isStoreSilent) {
            return;
          }
          clock.schedule(STORE_MS, () => finish(Ok(respond())));
        };
        const wake = () => {
          if (access().isStoreRefusing) {
            waiting.delete(wake);
            fail("the store refused the call");
          } else if (isReady()) {
            answer();
          }
        };
        waiting.add(wake);
        failures.add(reset);
        clock.schedule(STORE_MS, wake);
        clock.schedule(STORE_MS + wait, answer);
      });
    }

    return {
      locate,
      isPermanent: (key: string) => key === "config",
      readNewestRecords() {
        onCall(false);
        return call(0, () => true, readNewest);
      },
      readRecords(
        position: number,
        { waitMilliseconds, signal }: ReadOptions,
      ): Promise<Result<ReadOutcome, StepError>> {
        const from = locate(position);
        const isOver = () => from.era !== era || from.offset > log.length;
        onCall(true);
        return call<ReadOutcome>(
          waitMilliseconds,
          () => isOver() || log.length > from.offset,
          () => isOver() ? "expired" : listFrom(from.offset),
          signal,
        );
      },
    } as unknown as MeshStore;
  }

  return {
    write(key, value) {
      log.push({ key, value, at: clock.now() });
      for (const wake of [...waiting]) {
        wake();
      }
      return encode(log.length);
    },
    rewind(duration) {
      const copiedAt = clock.now() - duration;
      log = log.filter(({ at }) => at <= copiedAt);
      era += 1;
      for (const reset of [...failures]) {
        reset();
      }
    },
    connect,
  };
}
