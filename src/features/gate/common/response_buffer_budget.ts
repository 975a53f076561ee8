/**
 * The memory that all unfinished answers at a gate may take together.
 *
 * Load pattern: an instance sends bodies without end to all of its calls at once. Each would end at
 * its own limit, but together they would take the memory of the process first. The largest answers
 * are given up, so that the usual small ones are not affected.
 *
 * @module
 */

import type { Disposable } from "../../../base/common/disposable.ts";

/**
 * Hosts have 250 MB of memory, of which the heap may take 200 MB. Half of the rest is left for answers
 * that are complete and for buffers of sockets. The usual answers take some KiB.
 */
export const ANSWER_BUDGET_BYTES = 24 * 1024 * 1024;

export interface AnswerShare extends Disposable {
  /** Tells the memory that the answer takes now; may give up this or another answer. */
  resize(bytes: number): void;
}

export interface AnswerBudget {
  readonly heldBytes: number;
  /** Opens the share of one answer. */
  open(giveUp: () => void): AnswerShare;
}

interface OpenShare {
  bytes: number;
  readonly giveUp: () => void;
}

export function createAnswerBudget(
  maximumBytes: number = ANSWER_BUDGET_BYTES,
): AnswerBudget {
  /** Only the shares that hold bytes. */
  const shares = new Set<OpenShare>();
  let heldBytes = 0;

  function set(share: OpenShare, bytes: number): void {
    heldBytes += bytes - share.bytes;
    share.bytes = bytes;
    if (bytes > 0) {
      shares.add(share);
    } else {
      shares.delete(share);
    }
  }

  function giveUpLargest(): void {
    let largest: OpenShare | undefined;
    for (const share of shares) {
      if (largest === undefined || share.bytes > largest.bytes) {
        largest = share;
      }
    }
    if (largest !== undefined) {
      set(largest, 0);
      largest.giveUp();
    }
  }

  return {
    get heldBytes() {
      return heldBytes;
    },
    open(giveUp) {
      const share: OpenShare = { bytes: 0, giveUp };
      return {
        resize(bytes) {
          if (bytes !== share.bytes) {
            set(share, bytes);
          }
          while (heldBytes > maximumBytes) {
            giveUpLargest();
          }
        },
        dispose: () => set(share, 0),
      };
    },
  };
}
