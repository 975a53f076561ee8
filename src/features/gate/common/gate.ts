/**
 * The gate of a daemon, as the features that offer it calls see it.
 *
 * @module
 */

import type { Disposable } from "../../../base/common/disposable.ts";
import type { Event } from "../../../base/common/emitter.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type {
  InstanceDeparture,
  InstanceReport,
} from "../../../world/common/mesh_instance.ts";
import type { RouteName } from "../../../world/common/names.ts";
import type { GateLoadReport, GateOutcome, GateRequest } from "./gate_call.ts";
import type { DepartedInstance, ReportOutcome } from "./instance_tracker.ts";

/** A call that the instance has worked on. */
export interface CallRecord {
  readonly route: RouteName;
  readonly isFailure: boolean;
  /** Whether it began after the instance's cold start. */
  readonly isWarm: boolean;
  readonly duration: Milliseconds;
}

/** A call that the instance has worked on for much longer than is usual. */
export interface OverdueCall {
  readonly route: RouteName;
  /** How long it has run so far. */
  readonly duration: Milliseconds;
}

/** A call that the instance works on and for which it makes another one. */
export interface ParentCall {
  readonly rank: number;
  /** Notes that the other one was refused. */
  recordNestedRefusal(): void;
}

export interface CallHandle {
  /** Ends the call: its caller has left. */
  cancel(): void;
}

export interface Gate extends Disposable {
  readonly instance: InstanceReport | undefined;
  readonly departed: readonly DepartedInstance[];
  readonly load: GateLoadReport;
  /** Whether the instance may be sent calls at present. */
  readonly isServing: boolean;
  /** How much longer the instance is slow after its start. */
  readonly coldForMilliseconds: Milliseconds;
  /** Fires when something that callers' daemons choose by has changed, other than the load. */
  readonly onChanged: Event<void>;
  /** Calls under way that already took several times as long as is usual, after the cold start. */
  readonly overdueCalls: readonly OverdueCall[];
  /** Fires after each call that the instance has worked on. */
  readonly onCallCompleted: Event<CallRecord>;
  applyReport(report: InstanceReport): ReportOutcome;
  applyDeparture(departure: InstanceDeparture): ReportOutcome;
  restoreDepartures(departed: readonly DepartedInstance[]): void;
  /**
   * The call on whose behalf the instance makes another one. Instances derive the identity of a
   * nested call from that of its parent.
   */
  findParent(requestIdentity: string): ParentCall | undefined;
  /** Offers a call; `settle` is called once, possibly before this returns. */
  offer(
    request: GateRequest,
    settle: (outcome: GateOutcome) => void,
  ): CallHandle;
}
