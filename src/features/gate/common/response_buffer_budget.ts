/**
 * A shared memory budget for all incomplete responses at a gate.
 *
 * Load pattern: an instance sends endless bodies for all of its calls at the same time. Each response has
 * its own limit, but together they would exhaust the memory of the process before reaching it. The largest
 * responses are aborted, so that typical small ones are not affected.
 *
 * @module
 */

import type { Disposable } from "../../../base/common/disposable.ts";

/**
 * Hosts have 250 MB of memory, of which the heap may use 200 MB. Half of the rest is reserved for complete
 * responses and socket buffers. Typical responses take a few KiB.
 */
export const RESPONSE_BUFFER_BUDGET_BYTES = 24 * 1024 * 1024;

export interface BufferReservation extends Disposable {
  /** Sets the memory that the response takes now; may abort this or another response. */
  resize(bytes: number): void;
}

export interface ResponseBufferBudget {
  readonly reservedBytes: number;
  /** Creates the reservation of one response. `abort` is called if the budget is exceeded. */
  reserve(abort: () => void): BufferReservation;
}

interface ActiveReservation {
  bytes: number;
  readonly abort: () => void;
}

export function createResponseBufferBudget(
  maximumBytes: number = RESPONSE_BUFFER_BUDGET_BYTES,
): ResponseBufferBudget {
  /** Only reservations of more than 0 bytes. */
  const reservations = new Set<ActiveReservation>();
  let reservedBytes = 0;

  function setBytes(reservation: ActiveReservation, bytes: number): void {
    reservedBytes += bytes - reservation.bytes;
    reservation.bytes = bytes;
    if (bytes > 0) {
      reservations.add(reservation);
    } else {
      reservations.delete(reservation);
    }
  }

  function abortLargest(): void {
    let largest: ActiveReservation | undefined;
    for (const reservation of reservations) {
      if (largest === undefined || reservation.bytes > largest.bytes) {
        largest = reservation;
      }
    }
    if (largest !== undefined) {
      setBytes(largest, 0);
      largest.abort();
    }
  }

  return {
    get reservedBytes() {
      return reservedBytes;
    },
    reserve(abort) {
      const reservation: ActiveReservation = { bytes: 0, abort };
      return {
        resize(bytes) {
          if (bytes !== reservation.bytes) {
            setBytes(reservation, bytes);
          }
          while (reservedBytes > maximumBytes) {
            abortLargest();
          }
        },
        dispose: () => setBytes(reservation, 0),
      };
    },
  };
}
