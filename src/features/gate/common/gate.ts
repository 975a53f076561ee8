/**
 * The interface of a daemon's gate, which limits the concurrency of the local instance.
 *
 * @module
 */

import type { Disposable } from "../../../base/common/disposable.ts";
import type { Event } from "../../../base/common/emitter.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type {
  DepartedInstance,
  InstanceDeparture,
  InstanceReport,
} from "../../../world/common/mesh_instance.ts";
import type { AccountName, RouteName } from "../../../world/common/names.ts";
import type {
  GateLoadReport,
  GateOutcome,
  GateRequest,
  RefusalReason,
} from "./gate_call.ts";
import type { NamedRateLimit } from "./named_rate_limit.ts";
import type { ReportOutcome } from "./instance_tracker.ts";

/** A call that the instance may have run, recorded when it ended. */
export interface CallRecord {
  readonly route: RouteName;
  readonly isFailure: boolean;
  /** Whether the call started after the instance's cold start. */
  readonly isWarm: boolean;
  readonly duration: Milliseconds;
}

/** A running call that has exceeded the average service time several times over. */
export interface OverdueCall {
  readonly route: RouteName;
  /** How long the call has been running. */
  readonly duration: Milliseconds;
}

/** A running call for which the instance makes a nested call. */
export interface ParentCall {
  readonly rank: number;
  readonly account: AccountName | undefined;
  /** Records that the nested call was refused. */
  recordNestedRefusal(): void;
}

export interface CallHandle {
  /** Cancels the call because its caller no longer waits for it. */
  cancel(): void;
}

export interface Gate extends Disposable {
  readonly instance: InstanceReport | undefined;
  readonly departed: readonly DepartedInstance[];
  readonly load: GateLoadReport;
  /** Calls that run at the instance or wait for it. */
  readonly activeCalls: number;
  /** The requests per second that the instance takes, if it names a limit. */
  readonly rateLimit: number | undefined;
  /** The requests per second to which the instance is bound while it is cold and shortly after. */
  readonly coldLimit: number | undefined;
  /** Whether the instance can currently receive calls. */
  readonly isServing: boolean;
  /** The remaining time of the instance's cold start, during which it is slow. */
  readonly coldForMilliseconds: Milliseconds;
  /** Fires when state that callers' daemons use to select a gate has changed, except the load. */
  readonly onChanged: Event<void>;
  /** Fires when the rate limit of the instance has changed considerably. */
  readonly onRateLimitChanged: Event<NamedRateLimit>;
  /** Running calls, started after the cold start, that exceed the average service time several times. */
  readonly overdueCalls: readonly OverdueCall[];
  /** Fires after each call that the instance may have run. */
  readonly onCallCompleted: Event<CallRecord>;
  /** Fires with the reason after each call that was refused. */
  readonly onCallRefused: Event<RefusalReason>;
  /** Refuses the queued calls of an instance that gets no more calls, or lets it get calls again. */
  handleEvacuation(isActive: boolean): void;
  /** Whether a report is one of an instance that calls may be for. Others change nothing. */
  acceptsReport(report: InstanceReport): boolean;
  applyReport(report: InstanceReport): ReportOutcome;
  applyDeparture(departure: InstanceDeparture): ReportOutcome;
  /** Restores the departures that a peer has kept, after this daemon has restarted. */
  restoreDepartures(departed: readonly DepartedInstance[]): void;
  /** Restores the rate limit that a peer has kept, after this daemon has restarted. */
  restoreRateLimit(limit: NamedRateLimit): void;
  /**
   * Finds the running call on whose behalf the instance makes a nested call without a client key. A client
   * may have chosen an identity that looks like that of a nested call.
   */
  findParent(requestIdentity: string): ParentCall | undefined;
  /**
   * Whether a nested call may belong to several running calls, of different accounts, or to one that has ended
   * without a response.
   */
  hasUnclearParent(requestIdentity: string): boolean;
  /** Offers a call to the gate. `settle` is called exactly once, possibly before this returns. */
  offer(
    request: GateRequest,
    settle: (outcome: GateOutcome) => void,
  ): CallHandle;
}
