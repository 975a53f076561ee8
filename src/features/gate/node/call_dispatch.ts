/**
 * Sends calls to the instance and settles them.
 *
 * @module
 */

import type { Disposable } from "../../../base/common/disposable.ts";
import type { EventLog } from "../../../base/common/event_log.ts";
import { runGuarded } from "../../../base/common/run_guarded.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { InstanceReport } from "../../../world/common/mesh_instance.ts";
import type { GateOutcome } from "../common/gate_call.ts";
import type { GateCall } from "../common/gate_call_state.ts";
import type { InstanceCondition } from "../common/instance_condition.ts";
import { formatRequestHead } from "../common/request_head.ts";
import type { ExchangeEvaluation } from "./exchange_evaluation.ts";
import type { GateOptions } from "./gate_options.ts";
import { createIdleConnections, isSameEndpoint } from "./idle_connections.ts";
import type {
  ExchangeOutcome,
  InstanceConnection,
} from "./instance_connection.ts";

export interface CallDispatch extends Disposable {
  readonly running: ReadonlySet<GateCall>;
  /** Sends a call to the instance. */
  start(call: GateCall): void;
  closeIdleConnections(): void;
}

export interface CallDispatchParts {
  readonly condition: InstanceCondition;
  readonly evaluation: ExchangeEvaluation;
  /** Called with each call that has left the instance. */
  readonly onEnded: (call: GateCall, now: Milliseconds) => void;
  /** Called with each call that was sent and ended without a response; the instance may go on with it. */
  readonly onUnanswered: (call: GateCall) => void;
  /** Called when a slot may be free. */
  readonly onFinished: () => void;
}

/** Runs a step of a call. An exception does not affect other calls. */
export function runStep(
  log: EventLog,
  call: GateCall,
  step: () => void,
  onFailed?: () => void,
): void {
  runGuarded(step, {
    log,
    event: "gate.step-failed",
    fields: { request: call.request.requestIdentity },
    onFailed,
  });
}

export function createCallDispatch(
  { clock, log, headers }: GateOptions,
  { condition, evaluation, onEnded, onUnanswered, onFinished }:
    CallDispatchParts,
): CallDispatch {
  const { tracker } = condition;
  const running = new Set<GateCall>();
  const idleConnections = createIdleConnections({ clock, headers });

  function start(call: GateCall): void {
    const now = clock.now();
    const instance = tracker.instance!;
    call.timer?.dispose();
    call.state = "running";
    call.startedAt = now;
    call.instance = instance;
    running.add(call);
    call.runningAtStart = running.size;
    condition.requestRate.record(now);
    const timeLeft = call.abortAt - now;
    call.timer = clock.schedule(timeLeft, () => {
      call.isDeadlineExceeded = true;
      call.connection?.dispose();
    });
    runStep(
      log,
      call,
      () => sendToInstance(call, instance, timeLeft),
      () => {
        finish(call, undefined, {
          type: "broken",
          reason: "the request could not be sent",
        });
        call.connection?.dispose();
      },
    );
  }

  function sendToInstance(
    call: GateCall,
    instance: InstanceReport,
    timeLeft: Milliseconds,
  ): void {
    const connection = idleConnections.take(instance, clock.now());
    call.connection = connection;
    connection.exchange({
      requestIdentity: call.request.requestIdentity,
      head: formatRequestHead(call.request, {
        headers,
        expectedInstance: instance.identity,
        timeLeft,
      }),
      body: call.request.body,
      isHead: call.request.method === "HEAD",
    }, (outcome) => finish(call, connection, outcome));
  }

  function finish(
    call: GateCall,
    connection: InstanceConnection | undefined,
    outcome: ExchangeOutcome,
  ): void {
    if (call.state === "ended") {
      return;
    }
    const now = clock.now();
    running.delete(call);
    call.timer?.dispose();
    call.state = "ended";
    runStep(log, call, () => onEnded(call, now));
    if (outcome.type === "broken") {
      runStep(log, call, () => onUnanswered(call));
    }
    let gateOutcome: GateOutcome = {
      type: "failed",
      reason: "the response could not be evaluated",
    };
    runStep(
      log,
      call,
      () => gateOutcome = evaluation.evaluate(call, outcome, now),
    );
    runStep(
      log,
      call,
      () => evaluation.recordCompletion(call, gateOutcome, now),
    );
    runStep(log, call, () => call.settle(gateOutcome));
    // The connection becomes idle only after this callback has returned.
    queueMicrotask(() => {
      if (
        connection?.isReusable(clock.now()) &&
        isSameEndpoint(call.instance, tracker.instance)
      ) {
        idleConnections.add(connection);
      } else {
        connection?.dispose();
      }
      onFinished();
    });
  }

  return {
    running,
    start,
    closeIdleConnections: idleConnections.closeAll,
    dispose() {
      for (const call of [...running]) {
        call.connection?.dispose();
      }
      idleConnections.closeAll();
    },
  };
}
