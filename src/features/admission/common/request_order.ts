/**
 * Recognition of requests that a later one has overtaken.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { ProcessIdentity } from "../../../world/common/host.ts";
import type { HostName } from "../../../world/common/names.ts";

export interface RequestOrder {
  /** Whether the request is the newest of its host so far; remembers it if so. */
  isNewest(process: ProcessIdentity, sequence: number): boolean;
}

export function createRequestOrder(): RequestOrder {
  const newest = new Map<
    HostName,
    { readonly startedAt: Milliseconds; readonly sequence: number }
  >();
  return {
    isNewest({ host, startedAt }, sequence) {
      const seen = newest.get(host);
      if (
        seen !== undefined &&
        (startedAt < seen.startedAt ||
          (startedAt === seen.startedAt && sequence <= seen.sequence))
      ) {
        return false;
      }
      newest.set(host, { startedAt, sequence });
      return true;
    },
  };
}
