/**
 * Since when members are suspect, as this daemon learnt of it.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import {
  formatProcess,
  type ProcessIdentity,
} from "../../../world/common/host.ts";
import type { Member } from "../../membership/common/directory.ts";

export interface SuspectWatch {
  /** Takes the present members; a member that is trusted again is forgotten. */
  note(members: readonly Member[], now: Milliseconds): void;
  suspectedAt(process: ProcessIdentity): Milliseconds | undefined;
}

export function createSuspectWatch(): SuspectWatch {
  let suspects = new Map<string, Milliseconds>();
  return {
    note(members, now) {
      suspects = new Map(
        members.filter(({ state }) => state === "suspect").map(
          ({ process }) => {
            const name = formatProcess(process);
            return [name, suspects.get(name) ?? now];
          },
        ),
      );
    },
    suspectedAt: (process) => suspects.get(formatProcess(process)),
  };
}
