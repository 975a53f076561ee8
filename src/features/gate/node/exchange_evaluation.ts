/**
 * Evaluates exchanges with the instance: the outcome of a call, and what it shows of the instance.
 *
 * @module
 */

import type { Emitter } from "../../../base/common/emitter.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { CallRecord } from "../common/gate.ts";
import type { GateOutcome } from "../common/gate_call.ts";
import {
  describeFailure,
  type GateCall,
  isOverdue,
} from "../common/gate_call_state.ts";
import type { InstanceCondition } from "../common/instance_condition.ts";
import type { GateOptions } from "./gate_options.ts";
import { isSameStart } from "./idle_connections.ts";
import {
  type ExchangeOutcome,
  findHeader,
  isResetReason,
} from "./instance_connection.ts";

export interface ExchangeEvaluation {
  evaluate(
    call: GateCall,
    outcome: ExchangeOutcome,
    now: Milliseconds,
  ): GateOutcome;
  /** Reports a call that the instance may have run. */
  recordCompletion(
    call: GateCall,
    outcome: GateOutcome,
    now: Milliseconds,
  ): void;
  /** Logs the next unusable notice of the instance; further ones are not logged. */
  resetProblems(): void;
}

export interface ExchangeEvaluationParts {
  readonly condition: InstanceCondition;
  readonly callCompleted: Emitter<CallRecord>;
  readonly countRunning: () => number;
  /** Called when the instance says in a response that it is leaving. */
  readonly onLeaving: () => void;
  readonly onUnreachable: () => void;
}

export function createExchangeEvaluation(
  { clock, log, headers, readNotices }: GateOptions,
  { condition, callCompleted, countRunning, onLeaving, onUnreachable }:
    ExchangeEvaluationParts,
): ExchangeEvaluation {
  const { tracker, rateLimit } = condition;
  let hasLoggedNoticeProblem = false;

  function recordCompletion(
    call: GateCall,
    outcome: GateOutcome,
    now: Milliseconds,
  ): void {
    // Callers cancel slow calls in favor of a hedged request, so overdue cancelled calls are recorded too.
    if (
      outcome.type !== "refused" &&
      (!call.isCancelled || isOverdue(call, now))
    ) {
      callCompleted.fire({
        route: call.request.route,
        isFailure: !call.isCancelled && !call.wasNestedRefused &&
          (outcome.type === "failed" || outcome.status >= 500),
        isWarm: call.startedAt >= condition.coldUntil,
        duration: now - call.startedAt,
      });
    }
  }

  function applyNotices(
    call: GateCall,
    rawHeaders: readonly string[],
    now: Milliseconds,
  ): void {
    const { instance } = tracker;
    if (instance === undefined || !isSameStart(call.instance, instance)) {
      return;
    }
    const { rateLimit: named, isLeaving, problem } = readNotices(rawHeaders);
    if (problem !== undefined && !hasLoggedNoticeProblem) {
      hasLoggedNoticeProblem = true;
      log.write("warn", "gate.notice-unusable", {
        instance: instance.identity,
        problem,
      });
    }
    rateLimit.applyNotice(named, instance, now);
    if (isLeaving && tracker.markLeaving().type === "changed") {
      log.write("info", "gate.instance-leaving", {
        instance: instance.identity,
      });
      onLeaving();
    }
  }

  function evaluate(
    call: GateCall,
    outcome: ExchangeOutcome,
    now: Milliseconds,
  ): GateOutcome {
    // The timer can fire slightly early.
    const timedOut = call.isDeadlineExceeded || now >= call.abortAt - 1;
    switch (outcome.type) {
      case "not-sent":
        if (!timedOut && !call.isCancelled) {
          markUnreachable(outcome.reason);
        }
        return {
          type: "refused",
          reason: call.isCancelled ? "cancelled" : "unreachable",
          retryAfter: 0,
          reachedInstance: false,
        };
      case "broken":
        if (!call.isCancelled) {
          condition.failureRate.record(true, now);
          if (!timedOut && isResetReason(outcome.reason)) {
            condition.recordReset({
              elapsed: now - call.startedAt,
              runningAtStart: call.runningAtStart,
            }, now);
          }
        }
        if (call.isCancelled || timedOut) {
          condition.relativeServiceTime.recordUnanswered(
            now - call.startedAt,
            call.request.meanServiceMilliseconds,
            now,
          );
        }
        log.write("info", "gate.exchange-broken", {
          request: call.request.requestIdentity,
          reason: describeFailure(call, timedOut, outcome.reason),
          after: Math.round(now - call.startedAt),
          instance: tracker.instance?.identity,
        });
        return {
          type: "failed",
          reason: describeFailure(call, timedOut, outcome.reason),
        };
      case "response":
        return evaluateResponse(call, outcome.response, now);
    }
  }

  function evaluateResponse(
    call: GateCall,
    response: {
      readonly status: number;
      readonly rawHeaders: readonly string[];
      readonly body: Buffer;
    },
    now: Milliseconds,
  ): GateOutcome {
    const { status, rawHeaders, body } = response;
    const isRefusal = findHeader(rawHeaders, headers.notRun) !== undefined ||
      status === 421;
    // Another instance answers with 421.
    if (status !== 421) {
      applyNotices(call, rawHeaders, now);
    }
    // A failure caused by a refused nested call doesn't indicate a fault of the instance.
    if (!call.wasNestedRefused) {
      condition.failureRate.record(isRefusal || status >= 500, now);
    }
    if (isRefusal) {
      log.write("info", "gate.instance-refused", {
        request: call.request.requestIdentity,
        status,
        running: countRunning(),
        instance: tracker.instance?.identity,
      });
      if (status === 421) {
        markUnreachable("the address belongs to another instance");
      }
      return {
        type: "refused",
        reason: "instance-refused",
        retryAfter: condition.meanServiceTime,
        reachedInstance: true,
      };
    }
    const duration = now - call.startedAt;
    // Failures are excluded because they can finish faster than any successful call.
    if (status < 500) {
      condition.recordServed(
        call.request.route,
        duration,
        call.request.meanServiceMilliseconds,
        now,
      );
    }
    return {
      type: "answer",
      status,
      rawHeaders,
      body,
      serviceMilliseconds: duration,
      wasNestedRefused: call.wasNestedRefused,
    };
  }

  function markUnreachable(reason: string): void {
    condition.markUnreachable(clock.now());
    log.write("warn", "gate.instance-unreachable", {
      instance: tracker.instance?.identity,
      reason,
    });
    onUnreachable();
  }

  return {
    evaluate,
    recordCompletion,
    resetProblems() {
      hasLoggedNoticeProblem = false;
    },
  };
}
