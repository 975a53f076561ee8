/**
 * A shared memory budget for the bodies of all requests that a daemon holds.
 *
 * Load pattern: several clients upload bodies of the maximum size at the same time. Each is within its limit,
 * but together they exceed the memory of the process, which then ends with all of its calls. A request whose
 * body does not fit is refused before it has run. Large bodies cannot use the whole budget, so that ordinary
 * requests are still accepted meanwhile.
 *
 * @module
 */

import type { Disposable } from "../../../base/common/disposable.ts";

/**
 * Hosts have 250 MB of memory, of which a daemon without calls uses about 60 MB and the responses at its gate up
 * to 48 MB.
 */
export const REQUEST_BODY_BUDGET_BYTES = 96 * 1024 * 1024;
/** Holds one body of the usual limit of 64 MiB. */
export const LARGE_BODY_BUDGET_BYTES = 68 * 1024 * 1024;
const LARGE_BODY_BYTES = 1024 * 1024;

export interface BodyReservation extends Disposable {
  /**
   * Sets the memory that the body takes. Returns false, and keeps what was reserved, if it does not fit or the
   * reservation has been disposed of.
   */
  tryResize(bytes: number): boolean;
}

export interface RequestBodyBudget {
  readonly reservedBytes: number;
  reserve(): BodyReservation;
}

export function createRequestBodyBudget(
  { maximumBytes, maximumLargeBytes } = {
    maximumBytes: REQUEST_BODY_BUDGET_BYTES,
    maximumLargeBytes: LARGE_BODY_BUDGET_BYTES,
  },
): RequestBodyBudget {
  let reservedBytes = 0;
  let reservedLargeBytes = 0;
  const largePartOf = (bytes: number) => bytes > LARGE_BODY_BYTES ? bytes : 0;

  return {
    get reservedBytes() {
      return reservedBytes;
    },
    reserve() {
      let ownBytes = 0;
      let isDisposed = false;

      function setBytes(bytes: number): void {
        reservedBytes += bytes - ownBytes;
        reservedLargeBytes += largePartOf(bytes) - largePartOf(ownBytes);
        ownBytes = bytes;
      }

      return {
        tryResize(bytes) {
          const isFitting = !isDisposed &&
            reservedBytes - ownBytes + bytes <= maximumBytes &&
            (largePartOf(bytes) === 0 ||
              reservedLargeBytes - largePartOf(ownBytes) + bytes <=
                maximumLargeBytes);
          if (isFitting) {
            setBytes(bytes);
          }
          return isFitting;
        },
        dispose() {
          isDisposed = true;
          setBytes(0);
        },
      };
    },
  };
}
