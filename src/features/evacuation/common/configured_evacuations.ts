/**
 * Evacuations that the accepted configuration orders, and the directory without the instances that they empty.
 *
 * @module
 */

import {
  createDisposableStore,
  type Disposable,
} from "../../../base/common/disposable.ts";
import { createEmitter } from "../../../base/common/emitter.ts";
import type { EventLog } from "../../../base/common/event_log.ts";
import type { Configuration } from "../../../world/common/configuration.ts";
import type { ConfigurationSource } from "../../distribution/common/configuration_source.ts";
import type { Directory } from "../../membership/common/directory.ts";
import {
  createEvacuationRegister,
  type EvacuationRegister,
} from "./evacuation_register.ts";

export interface ConfiguredEvacuationsOptions {
  readonly configuration: Pick<ConfigurationSource, "current" | "onChanged">;
  readonly log: EventLog;
}

/** Creates a register that follows the configuration and logs each change. */
export function createConfiguredEvacuations(
  { configuration, log }: ConfiguredEvacuationsOptions,
): EvacuationRegister {
  const owned = createDisposableStore();
  const register = owned.add(createEvacuationRegister());

  function applyConfiguration({ version, evacuations }: Configuration): void {
    for (
      const failureDomain of new Set([
        ...register.active,
        ...evacuations.keys(),
      ])
    ) {
      const isActive = evacuations.has(failureDomain);
      if (register.isEvacuated(failureDomain) !== isActive) {
        log.write(
          "info",
          isActive ? "evacuation.started" : "evacuation.ended",
          { evacuated: failureDomain, version },
        );
        register.apply({ failureDomain, isActive });
      }
    }
  }

  owned.add(configuration.onChanged(applyConfiguration));
  applyConfiguration(configuration.current);
  return { ...register, dispose: () => owned.dispose() };
}

/** The part of the directory that calls are placed by. */
export type PlacementDirectory =
  & Pick<Directory, "self" | "localMembers" | "instances" | "onChanged">
  & Disposable;

/**
 * Returns the directory without the instances of evacuated failure domains. They appear as departed, so that their
 * state ends, and as new ones when the failure domain is taken back, so that they ramp up: after an evacuation they
 * may be cold.
 */
export function createPlacementDirectory(
  directory: Omit<PlacementDirectory, "dispose">,
  evacuations: EvacuationRegister,
): PlacementDirectory {
  const owned = createDisposableStore();
  const changed = owned.add(createEmitter<void>());
  owned.add(directory.onChanged(() => changed.fire()));
  owned.add(evacuations.onChanged(() => changed.fire()));
  return {
    self: directory.self,
    get localMembers() {
      return directory.localMembers;
    },
    get instances() {
      const { instances } = directory;
      return evacuations.active.size === 0
        ? instances
        : instances.filter(({ failureDomain }) =>
          !evacuations.isEvacuated(failureDomain)
        );
    },
    onChanged: changed.event,
    dispose: () => owned.dispose(),
  };
}
