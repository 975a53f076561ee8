/**
 * The failure domains that the operator has evacuated: nothing is sent to their instances.
 *
 * The order of records is decided where they are received, so an order that arrives here is newer than the one
 * before it for the same failure domain.
 *
 * @module
 */

import type { Disposable } from "../../../base/common/disposable.ts";
import { createEmitter, type Event } from "../../../base/common/emitter.ts";
import type { EvacuationOrder } from "../../../world/common/mesh_configuration.ts";
import type { FailureDomainName } from "../../../world/common/names.ts";

export interface EvacuationRegister extends Disposable {
  readonly active: ReadonlySet<FailureDomainName>;
  /** Fires when an evacuation begins or ends. */
  readonly onChanged: Event<EvacuationOrder>;
  isEvacuated(failureDomain: FailureDomainName): boolean;
  /** Applies the newest order for a failure domain; a repeated one changes nothing. */
  apply(order: EvacuationOrder): void;
}

export function createEvacuationRegister(): EvacuationRegister {
  const active = new Set<FailureDomainName>();
  const changed = createEmitter<EvacuationOrder>();
  return {
    active,
    onChanged: changed.event,
    isEvacuated: (failureDomain) => active.has(failureDomain),
    apply(order) {
      const { failureDomain, isActive } = order;
      if (active.has(failureDomain) === isActive) {
        return;
      }
      if (isActive) {
        active.add(failureDomain);
      } else {
        active.delete(failureDomain);
      }
      changed.fire(order);
    },
    dispose: () => changed.dispose(),
  };
}

/** A failure domain of which daemons are known, and whether one of their instances gets calls. */
export interface KnownDomain {
  readonly failureDomain: FailureDomainName;
  readonly isServing: boolean;
}

/**
 * Why an evacuation may not be what the operator meant. It is followed nevertheless: nothing may reach the
 * failure domain after the order, and a daemon cannot know better than the operator.
 */
export type EvacuationConcern =
  | "no daemon of this failure domain is known"
  | "no other failure domain can serve";

export function findEvacuationConcern(
  failureDomain: FailureDomainName,
  { known, active }: {
    readonly known: readonly KnownDomain[];
    readonly active: ReadonlySet<FailureDomainName>;
  },
): EvacuationConcern | undefined {
  if (!known.some((each) => each.failureDomain === failureDomain)) {
    return "no daemon of this failure domain is known";
  }
  const canServe = known.some((each) =>
    each.isServing && each.failureDomain !== failureDomain &&
    !active.has(each.failureDomain)
  );
  return canServe ? undefined : "no other failure domain can serve";
}
