/**
 * Applies evacuations of failure domains on a daemon: tells its gate, and logs each change.
 *
 * @module
 */

import type { Disposable } from "../../base/common/disposable.ts";
import type { EventLog } from "../../base/common/event_log.ts";
import {
  type EvacuationRegister,
  findEvacuationConcern,
} from "../../features/evacuation/common/evacuation_register.ts";
import type { Fleet } from "../../features/fleet/common/fleet.ts";
import type { Gate } from "../../features/gate/common/gate.ts";
import type { FailureDomainName } from "../../world/common/names.ts";

export interface EvacuationControlOptions {
  readonly failureDomain: FailureDomainName;
  readonly evacuations: EvacuationRegister;
  readonly gate: Pick<Gate, "isServing" | "handleEvacuation">;
  readonly fleet: Pick<Fleet, "members">;
  readonly log: EventLog;
  /** Whether this daemon has had the time to learn of the others. */
  readonly knowsFleet: () => boolean;
}

export function createEvacuationControl(
  { failureDomain, evacuations, gate, fleet, log, knowsFleet }:
    EvacuationControlOptions,
): Disposable {
  return evacuations.onChanged(({ failureDomain: evacuated, isActive }) => {
    const concern = isActive && knowsFleet()
      ? findEvacuationConcern(evacuated, {
        known: [
          { failureDomain, isServing: gate.isServing },
          ...fleet.members.map((member) => ({
            failureDomain: member.failureDomain,
            isServing: member.status.instance?.isServing ?? false,
          })),
        ],
        active: evacuations.active,
      })
      : undefined;
    log.write(
      concern === undefined ? "info" : "warn",
      isActive ? "evacuation.started" : "evacuation.ended",
      { evacuated, reason: concern },
    );
    if (evacuated === failureDomain) {
      gate.handleEvacuation(isActive);
    }
  });
}
