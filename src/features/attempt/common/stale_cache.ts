/**
 * The last good answers of `read` routes, for the time when no fresh one can be had. Bounded
 * in bytes; the answers used least recently go first.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { CustomerName } from "../../../world/common/names.ts";
import type { Route } from "../../../world/common/route.ts";

/** Part of the 32 MB that a daemon may use. */
export const MAXIMUM_CACHE_BYTES = 4 * 1_024 * 1_024;

/** The memory of an entry besides its body and headers, estimated. */
const ENTRY_OVERHEAD_BYTES = 256;

export interface CachedAnswer {
  readonly headers: readonly string[];
  readonly body: Uint8Array;
  readonly receivedAt: Milliseconds;
}

export interface CachedCall {
  readonly customer: CustomerName;
  readonly method: string;
  /** With the query. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
}

export interface StaleCache {
  readonly bytes: number;
  store(key: string, answer: CachedAnswer): void;
  /** The answer under the key unless it is older than the limit. */
  find(
    key: string,
    now: Milliseconds,
    limit: Milliseconds,
  ): CachedAnswer | undefined;
}

/**
 * The key of a call's answer, or undefined when the answer must not be kept. The customer is
 * part of the key. Answers to calls with personal credentials differ within a customer.
 */
export function cacheKeyOf(call: CachedCall, route: Route): string | undefined {
  const isPersonal = call.headers.authorization !== undefined ||
    call.headers.cookie !== undefined;
  if (
    route.callClass !== "read" || route.stalenessMilliseconds <= 0 ||
    call.method !== "GET" || call.headers.range !== undefined || isPersonal
  ) {
    return undefined;
  }
  return JSON.stringify([
    call.customer,
    route.name,
    call.path,
    call.headers.accept,
    call.headers["accept-encoding"],
    call.headers["accept-language"],
  ]);
}

const STORABLE_VARIATIONS = new Set([
  "accept",
  "accept-encoding",
  "accept-language",
]);

export function isStorable(
  status: number,
  headers: Readonly<Record<string, string | string[] | undefined>>,
): boolean {
  const control = String(headers["cache-control"] ?? "");
  const variations = String(headers.vary ?? "").toLowerCase().split(",")
    .map((name) => name.trim()).filter((name) => name !== "");
  return status === 200 && headers["set-cookie"] === undefined &&
    !/no-store|private/i.test(control) &&
    variations.every((name) => STORABLE_VARIATIONS.has(name));
}

export function createStaleCache(
  maximumBytes: number = MAXIMUM_CACHE_BYTES,
): StaleCache {
  const entries = new Map<string, { answer: CachedAnswer; bytes: number }>();
  let total = 0;

  function remove(key: string): void {
    total -= entries.get(key)?.bytes ?? 0;
    entries.delete(key);
  }

  return {
    get bytes() {
      return total;
    },
    store(key, answer) {
      remove(key);
      const bytes = sizeOf(key, answer);
      if (bytes > maximumBytes) {
        return;
      }
      entries.set(key, { answer, bytes });
      total += bytes;
      for (const oldest of entries.keys()) {
        if (total <= maximumBytes) {
          break;
        }
        remove(oldest);
      }
    },
    find(key, now, limit) {
      const entry = entries.get(key);
      if (entry === undefined || now - entry.answer.receivedAt > limit) {
        return undefined;
      }
      entries.delete(key);
      entries.set(key, entry);
      return entry.answer;
    },
  };
}

function sizeOf(key: string, answer: CachedAnswer): number {
  const headerBytes = answer.headers.reduce(
    (sum, text) => sum + text.length,
    0,
  );
  return answer.body.length + headerBytes + key.length + ENTRY_OVERHEAD_BYTES;
}
