/**
 * The options of a gate.
 *
 * @module
 */

import type { Clock } from "../../../base/common/clock.ts";
import type { EventLog } from "../../../base/common/event_log.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { ServiceName } from "../../../world/common/names.ts";
import type { KnownColdStartLimit } from "../common/cold_start_rate.ts";
import type { AccountWeights } from "../common/account_shares.ts";
import type { InstanceNotices } from "../common/instance_notices.ts";
import type { MeshHeaders } from "../common/mesh_headers.ts";

export interface GateOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly headers: MeshHeaders;
  readonly heartbeatMilliseconds: Milliseconds;
  readonly readNotices: (rawHeaders: readonly string[]) => InstanceNotices;
  /** Whether instances of a service are used; absent if all are. */
  readonly isKnownService?: (service: ServiceName) => boolean;
  /** Whether client accounts share the room of the instance; absent means that they don't. */
  readonly sharesByAccount?: () => boolean;
  /** The weight of an account where accounts share the room; absent if all are equal. */
  readonly weighAccount?: AccountWeights;
  /** How long a response that is read now may have waited for the event loop of this process; 0 when absent. */
  readonly loopDelay?: () => Milliseconds;
  /** What a cold instance of a service takes; absent if the rate is not bounded. */
  readonly readColdStartLimit?: (service: ServiceName) => KnownColdStartLimit;
  /** Whether no calls may be sent to the instance because its failure domain is evacuated. */
  readonly isEvacuated?: () => boolean;
  /** Calls back immediately, or after an event loop stall once the input that arrived in it is processed. */
  readonly afterStall: (callback: () => void) => void;
}
