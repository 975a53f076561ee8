import type { Milliseconds } from "../../base/common/milliseconds.ts";
import type { FailureDomainName } from "./names.ts";

export type EvacuationAction = "evacuate" | "restore";

/** An operator's order in force that no calls go to the instances of a failure domain. */
export interface Evacuation {
  readonly failureDomain: FailureDomainName;
  /** When the platform appended the first order. */
  readonly startedAt: Milliseconds;
  readonly author: string;
}
