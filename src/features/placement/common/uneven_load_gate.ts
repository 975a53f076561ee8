/**
 * The gate and the instance of one host in a replay of uneven load.
 *
 * @module
 */

import type { VirtualClock } from "../../../base/common/clock.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import {
  decideAdmission,
  estimateQueueWait,
} from "../../gate/common/admission_decision.ts";
import { isReturned } from "../../gate/common/call_return.ts";
import { createCallQueue } from "../../gate/common/call_queue.ts";
import type {
  GateLoadReport,
  GateRequest,
} from "../../gate/common/gate_call.ts";
import {
  createGateCall,
  type GateCall,
} from "../../gate/common/gate_call_state.ts";
import { createInstanceCondition } from "../../gate/common/instance_condition.ts";
import { createPriorityLoad } from "../../gate/common/priority_load.ts";
import { createFixtureReport } from "../../gate/common/gate_fixture.ts";

export interface GateReplayOptions {
  /** Whether instances state the momentary speed. */
  readonly statesSpeed: boolean;
  /** What a caller makes of a load report of this age. */
  describeReport(
    load: GateLoadReport,
    age: Milliseconds,
  ): { readonly currentServiceTime?: number };
}

export interface ReplayOutcome {
  /** Undefined if the call was refused. */
  readonly duration?: Milliseconds;
  readonly retryAfter: Milliseconds;
  readonly load: GateLoadReport;
}

export interface ReplayOffer {
  readonly request: GateRequest;
  /** The time that the call takes on an instance and a host of usual speed. */
  readonly work: Milliseconds;
  readonly mayReturn: boolean;
  readonly settle: (outcome: ReplayOutcome) => void;
}

export interface ReplayGate {
  readonly load: GateLoadReport;
  /** The sum of the time that calls have run. */
  readonly busyTime: Milliseconds;
  offer(offer: ReplayOffer): void;
}

export interface ReplayGateOptions {
  readonly clock: VirtualClock;
  readonly slots: number;
  /** Lasting service time of the instance relative to usual. */
  readonly serviceTime: number;
  /** When spells of the host start and end, alternately. */
  readonly spells: readonly Milliseconds[];
  readonly spellSlowdown: number;
  readonly options: GateReplayOptions;
}

export function createReplayGate(
  { clock, slots, serviceTime, spells, spellSlowdown, options }:
    ReplayGateOptions,
): ReplayGate {
  const condition = createInstanceCondition({
    clock,
    heartbeatMilliseconds: Infinity,
  });
  condition.tracker.applyReport(createFixtureReport({ port: 1, slots }));
  const queue = createCallQueue<GateCall>();
  const priorityLoad = createPriorityLoad();
  const offers = new Map<GateCall, ReplayOffer>();
  let running = 0;
  let busyTime = 0;
  let spellIndex = 0;

  /** The number of changes of speed until now; odd during a spell. */
  function countChanges(now: Milliseconds): number {
    while (spellIndex < spells.length && spells[spellIndex] <= now) {
      spellIndex += 1;
    }
    return spellIndex;
  }

  function slowdownAt(changes: number): number {
    return changes % 2 === 1 ? spellSlowdown : 1;
  }

  function computeDuration(
    work: Milliseconds,
    now: Milliseconds,
  ): Milliseconds {
    let left = work;
    let at = now;
    for (let index = countChanges(now); index < spells.length; index += 1) {
      const slowdown = slowdownAt(index);
      if (left * slowdown <= spells[index] - at) {
        return at + left * slowdown - now;
      }
      left -= (spells[index] - at) / slowdown;
      at = spells[index];
    }
    return at + left - now;
  }

  function describeLoad(): GateLoadReport {
    const now = clock.now();
    const currentServiceTime = condition.momentarySpeed.current(now);
    return {
      running,
      waiting: queue.size,
      limit: slots,
      relativeServiceTime: condition.relativeServiceTime.current(now),
      failureRate: 0,
      ...(currentServiceTime === undefined ? {} : { currentServiceTime }),
    };
  }

  function start(call: GateCall): void {
    const { work, settle } = offers.get(call)!;
    const startedAt = clock.now();
    running += 1;
    const crowding = 1 + 0.5 * Math.max(0, running / slots - 0.75);
    const duration = computeDuration(work * serviceTime * crowding, startedAt);
    clock.schedule(duration, () => {
      running -= 1;
      busyTime += duration;
      offers.delete(call);
      const now = clock.now();
      if (options.statesSpeed) {
        condition.momentarySpeed.record(slowdownAt(countChanges(now)), now);
      }
      condition.recordServed(call.request, { startedAt, now });
      startQueued();
      settle({ duration, retryAfter: 0, load: describeLoad() });
    });
  }

  function startQueued(): void {
    const now = clock.now();
    for (const unmeetable of queue.removeUnmeetable(now)) {
      refuse(unmeetable, condition.meanServiceTime);
    }
    const next = running < slots ? queue.dequeue(now) : undefined;
    if (next !== undefined) {
      start(next);
    }
  }

  function refuse(call: GateCall, retryAfter: Milliseconds): void {
    const { settle } = offers.get(call)!;
    offers.delete(call);
    settle({ retryAfter, load: describeLoad() });
  }

  return {
    get load() {
      return describeLoad();
    },
    get busyTime() {
      return busyTime;
    },
    offer(offer) {
      const { request } = offer;
      const now = clock.now();
      const call = createGateCall({
        request,
        settle: () => {},
        expectedMilliseconds: condition.expectServiceTime(request, now),
        now,
      });
      offers.set(call, offer);
      const meanMilliseconds = condition.currentMeanServiceTime(now);
      const load = {
        running,
        limit: slots,
        ahead: queue.countAhead(call, now),
        meanMilliseconds,
        higherPriorityLoad: priorityLoad.estimateHigherPriorityLoad(
          call,
          { limit: slots, meanMilliseconds },
          now,
        ),
      };
      const decision = decideAdmission(call, load, now);
      if (decision.type !== "refuse") {
        priorityLoad.record(call, now);
      }
      if (decision.type === "start") {
        start(call);
      } else if (
        decision.type === "wait" && !(offer.mayReturn && isReturned({
          waited: 0,
          expectedWait: estimateQueueWait(load),
          objective: request.objectiveInMilliseconds,
        }))
      ) {
        queue.enqueue(call);
      } else {
        refuse(
          call,
          decision.type === "refuse" ? decision.retryAfter : meanMilliseconds,
        );
      }
    },
  };
}
