/**
 * The gate limits the concurrency of the local instance: all calls to the instance pass through it.
 * Connects the steps of a call with what the instance reports of itself.
 *
 * @module
 */

import { createEmitter } from "../../../base/common/emitter.ts";
import type { CallRecord, Gate, ParentCall } from "../common/gate.ts";
import type { ColdPhase } from "../common/cold_start_rate.ts";
import type { GateLoadReport, RefusalReason } from "../common/gate_call.ts";
import { type GateCall, isOverdue } from "../common/gate_call_state.ts";
import { createInstanceCondition } from "../common/instance_condition.ts";
import type { ReportOutcome } from "../common/instance_tracker.ts";
import { findClosestParents } from "../common/nested_identity.ts";
import type { InstanceReport } from "../../../world/common/mesh_instance.ts";
import { type CallAdmission, createCallAdmission } from "./call_admission.ts";
import { type CallDispatch, createCallDispatch } from "./call_dispatch.ts";
import { createUnansweredCalls } from "../common/unanswered_calls.ts";
import { createExchangeEvaluation } from "./exchange_evaluation.ts";
import type { GateOptions } from "./gate_options.ts";
import { isSameEndpoint } from "./idle_connections.ts";

export function createGate(options: GateOptions): Gate {
  const {
    clock,
    log,
    isEvacuated = () => false,
    sharesByAccount = () => false,
  } = options;
  const condition = createInstanceCondition(options);
  const { tracker, rateLimit, coldStart, requestRate } = condition;
  const changed = createEmitter<void>();
  const unansweredCalls = createUnansweredCalls();
  const callCompleted = createEmitter<CallRecord>();
  const callRefused = createEmitter<RefusalReason>();
  let wasServing = false;
  let coldPhase: ColdPhase = "warm";

  const admission: CallAdmission = createCallAdmission(options, {
    condition,
    dispatch: () => dispatch,
  });
  const evaluation = createExchangeEvaluation(options, {
    condition,
    callCompleted,
    countRunning: () => dispatch.running.size,
    onLeaving: () => endQueue("leaving"),
    onUnreachable: () => endQueue("unreachable"),
  });
  const dispatch: CallDispatch = createCallDispatch(options, {
    condition,
    evaluation,
    onEnded: admission.recordEnd,
    onUnanswered({ request, abortAt }) {
      if (sharesByAccount()) {
        unansweredCalls.record(request.requestIdentity, abortAt);
      }
    },
    onFinished() {
      updateColdPhase();
      admission.startQueued();
    },
  });

  function isServing(): boolean {
    return condition.isServing && !isEvacuated();
  }

  /** Tells callers at once what the instance takes, since regular statuses are seconds apart in large fleets. */
  function updateColdPhase(): void {
    const now = clock.now();
    const before = coldPhase;
    coldPhase = coldStart.phase(now);
    if (coldPhase === before) {
      return;
    }
    if (coldPhase !== "ramping") {
      log.write("info", "gate.cold-limit", {
        instance: tracker.instance?.identity,
        perSecond: coldStart.limitAt(now),
        cause: coldPhase === "warm"
          ? undefined
          : coldStart.heldFor ?? "reported",
      });
    }
    fireChanged();
  }

  function fireChanged(): void {
    wasServing = isServing();
    changed.fire();
  }

  function endQueue(reason: "leaving" | "unreachable"): void {
    admission.refuseQueued(reason);
    fireChanged();
  }

  rateLimit.onChanged(({ instance, perSecond }) =>
    log.write("info", "gate.rate-limit", { instance, perSecond })
  );
  const servingTimer = clock.repeat(options.heartbeatMilliseconds / 4, () => {
    updateColdPhase();
    if (isServing() !== wasServing) {
      log.write("info", "gate.serving-changed", {
        serving: isServing(),
        instance: tracker.instance?.identity,
        sinceHeartbeat: Math.round(clock.now() - condition.lastReportAt),
      });
      fireChanged();
    }
  });

  function applyReport(report: InstanceReport): ReportOutcome {
    const before = tracker.instance;
    const outcome = tracker.applyReport(report);
    if (outcome.type === "ignored") {
      return outcome;
    }
    const now = clock.now();
    condition.recordReport(report, now);
    logRefusals();
    if (outcome.type === "new") {
      condition.handleNewInstance(report, now);
      evaluation.resetProblems();
    }
    if (!isSameEndpoint(before, report)) {
      dispatch.closeIdleConnections();
    }
    if (report.state === "ready") {
      admission.refuseQueuedForOthers(report);
    } else {
      admission.refuseQueued("leaving");
    }
    updateColdPhase();
    if (outcome.type !== "unchanged") {
      fireChanged();
    }
    return outcome;
  }

  function logRefusals(): void {
    const refused = admission.takeRefusedCount();
    if (refused > 0) {
      const now = clock.now();
      log.write("info", "gate.pressed", {
        refused,
        running: dispatch.running.size,
        waiting: admission.waiting,
        limit: condition.limit,
        mean: Math.round(condition.meanServiceTime),
        pace: condition.relativeServiceTime.current(now).toFixed(2),
        failurePart: condition.failureRate.current(now).toFixed(2),
        ...admission.describeSharing(),
      });
    }
  }

  function describeLoad(): GateLoadReport {
    const now = clock.now();
    const isRateExhausted = requestRate.timeUntil(1, now) > 0;
    const running = dispatch.running.size;
    const currentServiceTime = condition.momentarySpeed.current(now);
    return {
      // Callers send no call that would have to wait for the rate limit while another gate has room.
      running: isRateExhausted
        ? Math.max(running, condition.capacity)
        : running,
      waiting: admission.waiting,
      limit: condition.capacity,
      relativeServiceTime: condition.relativeServiceTime.current(now),
      failureRate: condition.failureRate.current(now),
      ...(currentServiceTime === undefined ? {} : { currentServiceTime }),
    };
  }

  function findParent(requestIdentity: string): ParentCall | undefined {
    const parents = findClosestParents(requestIdentity, dispatch.running);
    if (parents.length === 0 || areOfDifferentAccounts(parents)) {
      return undefined;
    }
    const [parent] = parents;
    return {
      rank: parent.rank,
      account: parent.account,
      recordNestedRefusal() {
        parent.wasNestedRefused = true;
      },
    };
  }

  function hasUnclearParent(requestIdentity: string): boolean {
    return areOfDifferentAccounts(
      findClosestParents(requestIdentity, dispatch.running),
    ) || unansweredCalls.mayHaveParent(requestIdentity, clock.now());
  }

  return {
    get instance() {
      return tracker.instance;
    },
    get departed() {
      return tracker.departed;
    },
    get load() {
      return describeLoad();
    },
    get activeCalls() {
      return dispatch.running.size + admission.waiting;
    },
    get rateLimit() {
      return rateLimit.rate.limit;
    },
    get coldLimit() {
      return coldStart.limitAt(clock.now());
    },
    get isServing() {
      return isServing();
    },
    get overdueCalls() {
      const now = clock.now();
      return [...dispatch.running]
        .filter((call) =>
          call.startedAt >= condition.coldUntil && isOverdue(call, now)
        )
        .map(({ request, startedAt }) => ({
          route: request.route,
          duration: now - startedAt,
        }));
    },
    get coldForMilliseconds() {
      return Math.max(0, condition.coldUntil - clock.now());
    },
    onChanged: changed.event,
    onCallCompleted: callCompleted.event,
    onCallRefused: callRefused.event,
    onRateLimitChanged: rateLimit.onChanged,
    handleEvacuation(isActive) {
      if (isActive) {
        admission.refuseQueued("evacuated");
      } else {
        // It may have become cold since its last report.
        coldStart.holdUntilReport("restored");
      }
      updateColdPhase();
      if (isServing() !== wasServing) {
        fireChanged();
      }
    },
    acceptsReport: tracker.accepts,
    applyReport,
    applyDeparture(departure) {
      const outcome = tracker.applyDeparture(departure);
      if (outcome.type === "changed") {
        endQueue("leaving");
      }
      return outcome;
    },
    restoreDepartures(departed) {
      tracker.restoreDepartures(departed);
      if (tracker.instance?.state === "draining") {
        endQueue("leaving");
      }
    },
    restoreRateLimit: (restored) =>
      rateLimit.restore(restored, tracker.instance, clock.now()),
    findParent,
    hasUnclearParent,
    offer: (request, settle) =>
      admission.offer(request, (outcome) => {
        settle(outcome);
        if (outcome.type === "refused") {
          callRefused.fire(outcome.reason);
        }
      }),
    dispose() {
      servingTimer.dispose();
      admission.dispose();
      dispatch.dispose();
      changed.dispose();
      callCompleted.dispose();
      callRefused.dispose();
      rateLimit.dispose();
    },
  };
}

function areOfDifferentAccounts(calls: readonly GateCall[]): boolean {
  return calls.some(({ account }) => account !== calls[0].account);
}
