import type { Milliseconds } from "../../base/common/milliseconds.ts";
import type { RouteName, ServiceName } from "./names.ts";

/**
 * What a repeated call may do. `read`: changes nothing, and may be answered stale within the
 * route's limit. `idempotent`: a repeat has no further effect. `non-idempotent`: must run at
 * most once.
 */
export type CallClass = "read" | "idempotent" | "non-idempotent";

export interface Route {
  readonly name: RouteName;
  readonly service: ServiceName;
  readonly method: string;
  readonly pathPrefix: string;
  readonly callClass: CallClass;
  /** The oldest answer that may be served when no fresh one can be had; 0 forbids it. */
  readonly stalenessMilliseconds: Milliseconds;
  /** The longest time from a call's arrival to its answer. */
  readonly deadlineMilliseconds: Milliseconds;
}
