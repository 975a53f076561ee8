/**
 * Selects the responses that are retained for callers' daemons whose link was lost during delivery.
 *
 * Load pattern: an instance sends large responses to all of its calls. Retained for seconds, they would
 * together exhaust the memory of the process, so the oldest are evicted.
 *
 * @module
 */

/** Fits the responses of several thousand calls at a typical size of some KiB, or four of maximum size. */
export const RETENTION_BYTES = 16 * 1024 * 1024;

export interface ResponseRetention {
  readonly retainedBytes: number;
  /** Retains a response; returns the identities of the evicted ones. */
  retain(identity: string, bytes: number): readonly string[];
  release(identity: string): void;
}

export function createResponseRetention(
  maximumBytes: number = RETENTION_BYTES,
): ResponseRetention {
  /** Sizes in bytes by identity, in insertion order. */
  const retained = new Map<string, number>();
  let retainedBytes = 0;

  function release(identity: string): void {
    retainedBytes -= retained.get(identity) ?? 0;
    retained.delete(identity);
  }

  return {
    get retainedBytes() {
      return retainedBytes;
    },
    retain(identity, bytes) {
      release(identity);
      retained.set(identity, bytes);
      retainedBytes += bytes;
      const evicted: string[] = [];
      for (const oldest of retained.keys()) {
        if (retainedBytes <= maximumBytes) {
          break;
        }
        release(oldest);
        evicted.push(oldest);
      }
      return evicted;
    },
    release,
  };
}
