/**
 * Processes of the own failure domain that departed, kept as long as claims from their lifetime may
 * exist.
 *
 * @module
 */

import {
  type Milliseconds,
  MINUTE_MS,
} from "../../../base/common/milliseconds.ts";
import {
  formatProcess,
  type ProcessIdentity,
} from "../../../world/common/host.ts";
import type { Departure, Member } from "./directory.ts";

/** The lifetime of a claim, 10 minutes, plus a minute for clock errors and late records. */
export const DEPARTURE_RETENTION_MS: Milliseconds = 11 * MINUTE_MS;

export interface DepartureList {
  readonly departures: readonly Departure[];
  add(
    member: Member,
    cause: Departure["cause"],
    now: Milliseconds,
  ): void;
  /** Removes a process that is a member again. */
  remove(process: ProcessIdentity): void;
  expire(now: Milliseconds): void;
}

export function createDepartureList(): DepartureList {
  const entries = new Map<string, Departure>();
  return {
    get departures() {
      return [...entries.values()];
    },
    add({ process, failureDomain }, cause, now) {
      const key = formatProcess(process);
      const departedAt = entries.get(key)?.departedAt ?? now;
      entries.set(key, { process, failureDomain, departedAt, cause });
    },
    remove: (process) => void entries.delete(formatProcess(process)),
    expire(now) {
      for (const [key, { departedAt }] of entries) {
        if (now - departedAt > DEPARTURE_RETENTION_MS) {
          entries.delete(key);
        }
      }
    },
  };
}
