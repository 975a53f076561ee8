/**
 * Detects requests that arrive after a newer request of the same host.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { ProcessIdentity } from "../../../world/common/host.ts";
import type { HostName } from "../../../world/common/names.ts";

export interface RequestOrder {
  /** Whether the request is the newest of its host so far; records it if so. */
  acceptIfNewest(process: ProcessIdentity, sequence: number): boolean;
}

export function createRequestOrder(): RequestOrder {
  const newest = new Map<
    HostName,
    { readonly startedAt: Milliseconds; readonly sequence: number }
  >();
  return {
    acceptIfNewest({ host, startedAt }, sequence) {
      const previous = newest.get(host);
      if (
        previous !== undefined &&
        (startedAt < previous.startedAt ||
          (startedAt === previous.startedAt && sequence <= previous.sequence))
      ) {
        return false;
      }
      newest.set(host, { startedAt, sequence });
      return true;
    },
  };
}
