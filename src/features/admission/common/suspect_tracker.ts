/**
 * Records when this daemon learned that a member is suspect.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import {
  formatProcess,
  type ProcessIdentity,
} from "../../../world/common/host.ts";
import type { Member } from "../../membership/common/directory.ts";

export interface SuspectTracker {
  /** Updates the suspect members; forgets those that are no longer suspect. */
  update(members: readonly Member[], now: Milliseconds): void;
  suspectedAt(process: ProcessIdentity): Milliseconds | undefined;
}

export function createSuspectTracker(): SuspectTracker {
  let suspects = new Map<string, Milliseconds>();
  return {
    update(members, now) {
      suspects = new Map(
        members.filter(({ state }) => state === "suspect").map(
          ({ process }) => {
            const key = formatProcess(process);
            return [key, suspects.get(key) ?? now];
          },
        ),
      );
    },
    suspectedAt: (process) => suspects.get(formatProcess(process)),
  };
}
