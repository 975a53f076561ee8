/**
 * A cache of the last successful responses of `read` routes, served stale when no fresh response
 * can be obtained. Limited in bytes; the least recently used responses are evicted first.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { CustomerName } from "../../../world/common/names.ts";
import type { Route } from "../../../world/common/route.ts";

/** A part of the 32 MB of memory that a daemon may use. */
export const MAXIMUM_CACHE_BYTES = 4 * 1_024 * 1_024;

/** The estimated memory of an entry besides its body, headers and key. */
const ENTRY_OVERHEAD_BYTES = 256;

export interface CachedResponse {
  readonly headers: readonly string[];
  readonly body: Uint8Array;
  readonly receivedAt: Milliseconds;
}

export interface CachedCall {
  readonly customer: CustomerName;
  readonly method: string;
  /** Includes the query. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
}

export interface StaleCache {
  readonly bytes: number;
  store(key: string, response: CachedResponse): void;
  /** The response with this key, unless it is older than the limit. */
  find(
    key: string,
    now: Milliseconds,
    limit: Milliseconds,
  ): CachedResponse | undefined;
}

/**
 * The cache key of a call, or undefined if its response must not be cached. The customer is part of
 * the key. Calls with personal credentials are not cached, because their responses differ between
 * the users of a customer.
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

const CACHEABLE_VARY_HEADERS = new Set([
  "accept",
  "accept-encoding",
  "accept-language",
]);

export function isCacheable(
  status: number,
  headers: Readonly<Record<string, string | string[] | undefined>>,
): boolean {
  const cacheControl = String(headers["cache-control"] ?? "");
  const varyHeaders = String(headers.vary ?? "").toLowerCase().split(",")
    .map((name) => name.trim()).filter((name) => name !== "");
  return status === 200 && headers["set-cookie"] === undefined &&
    !/no-store|private/i.test(cacheControl) &&
    varyHeaders.every((name) => CACHEABLE_VARY_HEADERS.has(name));
}

export function createStaleCache(
  maximumBytes: number = MAXIMUM_CACHE_BYTES,
): StaleCache {
  const entries = new Map<
    string,
    { response: CachedResponse; bytes: number }
  >();
  let total = 0;

  function remove(key: string): void {
    total -= entries.get(key)?.bytes ?? 0;
    entries.delete(key);
  }

  return {
    get bytes() {
      return total;
    },
    store(key, response) {
      remove(key);
      const bytes = sizeOf(key, response);
      if (bytes > maximumBytes) {
        return;
      }
      entries.set(key, { response, bytes });
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
      if (entry === undefined || now - entry.response.receivedAt > limit) {
        return undefined;
      }
      entries.delete(key);
      entries.set(key, entry);
      return entry.response;
    },
  };
}

function sizeOf(key: string, response: CachedResponse): number {
  const headerBytes = response.headers.reduce(
    (sum, text) => sum + text.length,
    0,
  );
  return response.body.length + headerBytes + key.length + ENTRY_OVERHEAD_BYTES;
}
