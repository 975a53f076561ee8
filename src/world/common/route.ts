import type { Milliseconds } from "../../base/common/milliseconds.ts";
import type { RouteName, ServiceName } from "./names.ts";

/**
 * The effect of running a call more than once. `read`: no effect; a stale response is allowed within the limit of the
 * route. `idempotent`: no further effect after the first run. `non-idempotent`: the call must run at most once.
 */
export type CallClass = "read" | "idempotent" | "non-idempotent";

export interface Route {
  readonly name: RouteName;
  readonly service: ServiceName;
  readonly method: string;
  readonly pathPrefix: string;
  readonly callClass: CallClass;
  /** The maximum age of a stale response that is served when no fresh one is available; 0 disables stale responses. */
  readonly stalenessMilliseconds: Milliseconds;
  /** The longest time between the arrival of a call and its response. */
  readonly deadlineMilliseconds: Milliseconds;
}
