/**
 * Which answers are kept for callers' daemons whose link was lost while they were sent.
 *
 * Load pattern: an instance sends large answers to all of its calls. They are kept for seconds, and
 * together they would take the memory of the process; the oldest are kept no longer.
 *
 * @module
 */

/** Room for the usual answers of some KiB of several thousand calls, or for four of the largest. */
export const RETENTION_BYTES = 16 * 1024 * 1024;

export interface AnswerRetention {
  readonly heldBytes: number;
  /** Keeps an answer; returns the identities of those that are not kept any longer. */
  keep(identity: string, bytes: number): readonly string[];
  forget(identity: string): void;
}

export function createAnswerRetention(
  maximumBytes: number = RETENTION_BYTES,
): AnswerRetention {
  /** In the order in which they were kept. */
  const kept = new Map<string, number>();
  let heldBytes = 0;

  function forget(identity: string): void {
    heldBytes -= kept.get(identity) ?? 0;
    kept.delete(identity);
  }

  return {
    get heldBytes() {
      return heldBytes;
    },
    keep(identity, bytes) {
      forget(identity);
      kept.set(identity, bytes);
      heldBytes += bytes;
      const dropped: string[] = [];
      for (const oldest of kept.keys()) {
        if (heldBytes <= maximumBytes) {
          break;
        }
        forget(oldest);
        dropped.push(oldest);
      }
      return dropped;
    },
    forget,
  };
}
