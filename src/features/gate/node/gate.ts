/**
 * The gate limits the concurrency of the local instance: all calls to the instance pass through it. It
 * tracks the running calls, queues calls above the limit and forwards them.
 *
 * @module
 */

import type { Clock } from "../../../base/common/clock.ts";
import type { Disposable } from "../../../base/common/disposable.ts";
import { parseEndpoint } from "../../../base/common/endpoint.ts";
import { createEmitter } from "../../../base/common/emitter.ts";
import type { EventLog } from "../../../base/common/event_log.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import { runGuarded } from "../../../base/common/run_guarded.ts";
import type { InstanceReport } from "../../../world/common/mesh_instance.ts";
import type { CallHandle, CallRecord, Gate } from "../common/gate.ts";
import { createResponseBufferBudget } from "../common/response_buffer_budget.ts";
import {
  decideAdmission,
  estimateQueueWait,
} from "../common/admission_decision.ts";
import {
  DEADLINE_EXCEEDED_REASON,
  type GateOutcome,
  type GateRequest,
  type RefusalReason,
} from "../common/gate_call.ts";
import {
  createInstanceTracker,
  type ReportOutcome,
} from "../common/instance_tracker.ts";
import { createFailureRate } from "../common/failure_rate.ts";
import type { InstanceNotices } from "../common/instance_notices.ts";
import type { MeshHeaders } from "../common/mesh_headers.ts";
import { createInstanceRateLimit } from "../common/instance_rate_limit.ts";
import { formatRequestHead } from "../common/request_head.ts";
import { createMovingAverages } from "../common/moving_averages.ts";
import { createRelativeServiceTime } from "../common/relative_service_time.ts";
import { createPriorityLoad } from "../common/priority_load.ts";
import {
  createCallQueue,
  isDeadlineUnmeetable,
  type QueueableCall,
} from "../common/call_queue.ts";
import {
  createInstanceConnection,
  type ExchangeOutcome,
  findHeader,
  type InstanceConnection,
} from "./instance_connection.ts";

/** The assumed service time before any call has completed. */
const INITIAL_MEAN_MS: Milliseconds = 50;
const SMOOTHING_FACTOR = 0.05;
/** How long the instance counts as unreachable after a failed connection. */
const UNREACHABLE_MS: Milliseconds = 300;
/** The interval of the checks for queued calls that can no longer meet their deadline. */
const SWEEP_INTERVAL_MS: Milliseconds = 40;
/** About one call in twenty takes longer than this multiple of the average. */
const OVERDUE_FACTOR = 2.5;
/** The number of heartbeats that may be missed before the instance counts as lost. */
const MAXIMUM_MISSED_HEARTBEATS = 3;

export interface GateOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly headers: MeshHeaders;
  readonly heartbeatMilliseconds: Milliseconds;
  readonly readNotices: (rawHeaders: readonly string[]) => InstanceNotices;
  /** Calls back immediately, or after an event loop stall once the input that arrived in it is processed. */
  readonly afterStall: (callback: () => void) => void;
}

interface GateCall extends QueueableCall {
  readonly request: GateRequest;
  readonly settle: (outcome: GateOutcome) => void;
  state: "waiting" | "running" | "ended";
  isCancelled: boolean;
  isDeadlineExceeded: boolean;
  wasNestedRefused: boolean;
  /** When a running call is aborted. */
  readonly abortAt: Milliseconds;
  startedAt: Milliseconds;
  timer: Disposable | undefined;
  connection: InstanceConnection | undefined;
  /** The instance to which the call was sent. */
  instance: InstanceReport | undefined;
}

export function createGate(options: GateOptions): Gate {
  const { clock, log, headers } = options;
  const tracker = createInstanceTracker();
  const queue = createCallQueue<GateCall>();
  const running = new Set<GateCall>();
  const idleConnections: InstanceConnection[] = [];
  const responseBuffers = createResponseBufferBudget();
  const serviceTimes = createMovingAverages();
  const priorityLoad = createPriorityLoad();
  const changed = createEmitter<void>();
  const callCompleted = createEmitter<CallRecord>();
  const rateLimitOfInstance = createInstanceRateLimit();
  const requestRate = rateLimitOfInstance.rate;
  let hasLoggedNoticeProblem = false;
  let rateTimer: Disposable | undefined;
  let meanServiceTime: Milliseconds = INITIAL_MEAN_MS;
  let relativeServiceTime = createRelativeServiceTime();
  let failureRate = createFailureRate();
  let lastReportAt = -Infinity;
  let coldUntil: Milliseconds = 0;
  let unreachableUntil = -Infinity;
  let wasServing = false;
  let sweepTimer: Disposable | undefined;
  /** The number of offers refused with the reason `full` since the last heartbeat. */
  let refusedSinceReport = 0;

  function isServing(): boolean {
    const now = clock.now();
    return tracker.instance?.state === "ready" && now >= unreachableUntil &&
      now - lastReportAt <
        (MAXIMUM_MISSED_HEARTBEATS + 0.5) * options.heartbeatMilliseconds;
  }

  function limit(): number {
    return tracker.instance?.slots ?? 0;
  }

  /** The calls that the instance can run at a time within its slots and its rate limit; may be below 1. */
  function capacity(): number {
    return requestRate.limit === undefined ? limit() : Math.min(
      limit(),
      requestRate.limit * meanServiceTime / 1_000,
    );
  }

  function fireChanged(): void {
    wasServing = isServing();
    changed.fire();
  }

  function describeLoad(call: GateCall, ahead: number, now: Milliseconds) {
    return {
      limit: limit(),
      meanMilliseconds: meanServiceTime,
      running: running.size,
      ahead,
      rateWait: requestRate.timeUntil(ahead + 1, now),
      higherPriorityLoad: priorityLoad.estimateHigherPriorityLoad(
        call,
        { limit: capacity(), meanMilliseconds: meanServiceTime },
        now,
      ),
    };
  }

  function sweep(): void {
    sweepTimer = undefined;
    const now = clock.now();
    const unmeetable = queue.removeUnmeetableAfterWait(
      now,
      (call, ahead) => estimateQueueWait(describeLoad(call, ahead, now)),
    );
    for (const call of unmeetable) {
      refuse(call, "hopeless", meanServiceTime);
    }
    scheduleSweep();
  }

  /** The timer runs only while calls are queued, so that it doesn't wake an idle process. */
  function scheduleSweep(): void {
    if (queue.size > 0) {
      sweepTimer ??= clock.schedule(SWEEP_INTERVAL_MS, sweep);
    }
  }

  rateLimitOfInstance.onChanged(({ instance, perSecond }) =>
    log.write("info", "gate.rate-limit", { instance, perSecond })
  );
  const servingTimer = clock.repeat(options.heartbeatMilliseconds / 4, () => {
    if (isServing() !== wasServing) {
      log.write("info", "gate.serving-changed", {
        serving: isServing(),
        instance: tracker.instance?.identity,
        sinceHeartbeat: Math.round(clock.now() - lastReportAt),
      });
      fireChanged();
    }
  });

  function offer(
    request: GateRequest,
    settle: (outcome: GateOutcome) => void,
  ): CallHandle {
    const now = clock.now();
    const call: GateCall = {
      identity: request.identity,
      isNested: request.isNested,
      rank: request.rank,
      objectiveAt: now + request.objectiveInMilliseconds,
      deadlineAt: now + timeLimitOf(request),
      expectedMilliseconds: serviceTimes.averageOf(
        request.route,
        request.meanServiceMilliseconds * relativeServiceTime.current(now),
      ),
      request,
      settle,
      state: "waiting",
      isCancelled: false,
      isDeadlineExceeded: false,
      wasNestedRefused: false,
      abortAt: now + request.deadlineInMilliseconds,
      startedAt: now,
      timer: undefined,
      connection: undefined,
      instance: undefined,
    };
    const refusalReason = findRefusalReason(request);
    if (refusalReason !== undefined) {
      refuse(call, refusalReason);
      return { cancel() {} };
    }
    const ahead = queue.size === 0 ? 0 : queue.countAhead(call, now);
    const decision = decideAdmission(
      call,
      describeLoad(call, ahead, now),
      now,
    );
    if (decision.type !== "refuse") {
      priorityLoad.record(call, now);
    }
    switch (decision.type) {
      case "refuse":
        refusedSinceReport += 1;
        refuse(call, "full", decision.retryAfter);
        break;
      case "start":
        start(call);
        break;
      case "wait":
        queue.enqueue(call);
        scheduleDeadlineCheck(call, now);
        scheduleSweep();
        if (requestRate.limit !== undefined) {
          scheduleRateWait(requestRate.timeUntil(1, now));
        }
        break;
    }
    return { cancel: () => cancel(call) };
  }

  function findRefusalReason(request: GateRequest): RefusalReason | undefined {
    const { instance } = tracker;
    if (instance === undefined) {
      return "no-instance";
    }
    if (instance.state !== "ready") {
      return "leaving";
    }
    if (!canRun(instance, request)) {
      return "other-service";
    }
    return isServing() ? undefined : "unreachable";
  }

  function scheduleDeadlineCheck(call: GateCall, now: Milliseconds): void {
    const delay = call.deadlineAt - now - call.expectedMilliseconds / 2;
    call.timer = clock.schedule(Math.max(0, delay) + 1, () => {
      if (call.state === "waiting" && isDeadlineUnmeetable(call, clock.now())) {
        queue.remove(call.identity);
        refuse(call, "hopeless", meanServiceTime);
      }
    });
  }

  function start(call: GateCall): void {
    const now = clock.now();
    const instance = tracker.instance!;
    call.timer?.dispose();
    call.state = "running";
    call.startedAt = now;
    call.instance = instance;
    running.add(call);
    requestRate.record(now);
    const timeLeft = call.abortAt - now;
    call.timer = clock.schedule(timeLeft, () => {
      call.isDeadlineExceeded = true;
      call.connection?.dispose();
    });
    runStep(
      call,
      () => sendToInstance(call, instance, timeLeft),
      () =>
        finish(call, call.connection, {
          type: "broken",
          reason: "the request could not be sent",
        }),
    );
  }

  function sendToInstance(
    call: GateCall,
    instance: InstanceReport,
    timeLeft: Milliseconds,
  ): void {
    const connection = takeConnection(instance, clock.now());
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

  function takeConnection(
    instance: InstanceReport,
    now: Milliseconds,
  ): InstanceConnection {
    for (
      let next = idleConnections.pop();
      next !== undefined;
      next = idleConnections.pop()
    ) {
      if (next.isReusable(now)) {
        return next;
      }
      next.dispose();
    }
    const connection: InstanceConnection = createInstanceConnection({
      ...parseEndpoint(instance.address),
      clock,
      identityHeader: headers.requestIdentity,
      budget: responseBuffers,
      onClosed() {
        const index = idleConnections.indexOf(connection);
        if (index >= 0) {
          idleConnections.splice(index, 1);
        }
      },
    });
    return connection;
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
    let gateOutcome: GateOutcome = {
      type: "failed",
      reason: "the response could not be evaluated",
    };
    runStep(call, () => gateOutcome = evaluateExchange(call, outcome, now));
    runStep(call, () => recordCompletion(call, gateOutcome, now));
    runStep(call, () => call.settle(gateOutcome));
    // The connection becomes idle only after this callback has returned.
    queueMicrotask(() => {
      if (
        connection?.isReusable(clock.now()) &&
        isSameEndpoint(call.instance, tracker.instance)
      ) {
        idleConnections.push(connection);
      } else {
        connection?.dispose();
      }
      if (queue.size > 0) {
        options.afterStall(startQueued);
      }
    });
  }

  /** Runs a step of a call. An exception does not affect other calls. */
  function runStep(
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
        isWarm: call.startedAt >= coldUntil,
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
    const { rateLimit, isLeaving, problem } = options.readNotices(rawHeaders);
    if (problem !== undefined && !hasLoggedNoticeProblem) {
      hasLoggedNoticeProblem = true;
      log.write("warn", "gate.notice-unusable", {
        instance: instance.identity,
        problem,
      });
    }
    rateLimitOfInstance.applyNotice(rateLimit, instance, now);
    if (isLeaving && tracker.markLeaving().type === "changed") {
      log.write("info", "gate.instance-leaving", {
        instance: instance.identity,
      });
      refuseQueued("leaving");
      fireChanged();
    }
  }

  function evaluateExchange(
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
          failureRate.record(true, now);
        }
        if (call.isCancelled || timedOut) {
          relativeServiceTime.recordUnanswered(
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
      failureRate.record(isRefusal || status >= 500, now);
    }
    if (isRefusal) {
      log.write("info", "gate.instance-refused", {
        request: call.request.requestIdentity,
        status,
        running: running.size,
        instance: tracker.instance?.identity,
      });
      if (status === 421) {
        markUnreachable("the address belongs to another instance");
      }
      return {
        type: "refused",
        reason: "instance-refused",
        retryAfter: meanServiceTime,
        reachedInstance: true,
      };
    }
    const duration = now - call.startedAt;
    // Failures are excluded because they can finish faster than any successful call.
    if (status < 500) {
      serviceTimes.record(call.request.route, duration);
      meanServiceTime += SMOOTHING_FACTOR * (duration - meanServiceTime);
      relativeServiceTime.recordAnswered(
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
    unreachableUntil = clock.now() + UNREACHABLE_MS;
    log.write("warn", "gate.instance-unreachable", {
      instance: tracker.instance?.identity,
      reason,
    });
    refuseQueued("unreachable");
    fireChanged();
  }

  function startQueued(): void {
    while (queue.size > 0 && running.size < limit()) {
      const now = clock.now();
      for (const unmeetable of queue.removeUnmeetable(now)) {
        refuse(unmeetable, "hopeless", meanServiceTime);
      }
      const rateWait = requestRate.timeUntil(1, now);
      if (rateWait > 0) {
        scheduleRateWait(rateWait);
        return;
      }
      const next = queue.dequeue(now);
      if (next !== undefined) {
        start(next);
      }
    }
  }

  function scheduleRateWait(delay: Milliseconds): void {
    rateTimer ??= clock.schedule(delay, () => {
      rateTimer = undefined;
      startQueued();
    });
  }

  function refuse(
    call: GateCall,
    reason: RefusalReason,
    retryAfter: Milliseconds = 0,
  ): void {
    call.timer?.dispose();
    call.state = "ended";
    runStep(call, () =>
      call.settle({
        type: "refused",
        reason,
        retryAfter,
        reachedInstance: false,
      }));
  }

  function refuseQueued(reason: RefusalReason): void {
    for (const call of queue.removeAll()) {
      refuse(call, reason);
    }
  }

  function cancel(call: GateCall): void {
    if (call.state === "waiting") {
      queue.remove(call.identity);
      refuse(call, "cancelled");
    } else if (call.state === "running") {
      call.isCancelled = true;
      call.connection?.dispose();
    }
  }

  /** Calls were accepted for the service and version that the instance had at that time. */
  function refuseQueuedForOthers(instance: InstanceReport): void {
    const others = queue.removeWhere(({ request }) =>
      !canRun(instance, request)
    );
    for (const call of others) {
      refuse(call, "other-service");
    }
  }

  function applyReport(report: InstanceReport): ReportOutcome {
    const before = tracker.instance;
    const outcome = tracker.applyReport(report);
    if (outcome.type === "ignored") {
      return outcome;
    }
    const now = clock.now();
    lastReportAt = now;
    logRefusals();
    coldUntil = now + report.coldForMilliseconds;
    if (outcome.type === "new") {
      unreachableUntil = -Infinity;
      relativeServiceTime = createRelativeServiceTime();
      failureRate = createFailureRate();
      rateLimitOfInstance.handleNewInstance(report, now);
      hasLoggedNoticeProblem = false;
    }
    if (!isSameEndpoint(before, report)) {
      closeIdleConnections();
    }
    if (report.state === "ready") {
      refuseQueuedForOthers(report);
    } else {
      refuseQueued("leaving");
    }
    if (outcome.type !== "unchanged") {
      fireChanged();
    }
    return outcome;
  }

  function logRefusals(): void {
    if (refusedSinceReport > 0) {
      log.write("info", "gate.pressed", {
        refused: refusedSinceReport,
        running: running.size,
        waiting: queue.size,
        limit: limit(),
        mean: Math.round(meanServiceTime),
        pace: relativeServiceTime.current(clock.now()).toFixed(2),
        failurePart: failureRate.current(clock.now()).toFixed(2),
      });
      refusedSinceReport = 0;
    }
  }

  function closeIdleConnections(): void {
    for (const connection of idleConnections.splice(0)) {
      connection.dispose();
    }
  }

  return {
    get instance() {
      return tracker.instance;
    },
    get departed() {
      return tracker.departed;
    },
    get load() {
      const isRateExhausted = requestRate.timeUntil(1, clock.now()) > 0;
      return {
        // Callers send no call that would have to wait for the rate limit while another gate has room.
        running: isRateExhausted
          ? Math.max(running.size, capacity())
          : running.size,
        waiting: queue.size,
        limit: capacity(),
        relativeServiceTime: relativeServiceTime.current(clock.now()),
        failureRate: failureRate.current(clock.now()),
      };
    },
    get activeCalls() {
      return running.size + queue.size;
    },
    get rateLimit() {
      return requestRate.limit;
    },
    get isServing() {
      return isServing();
    },
    get overdueCalls() {
      const now = clock.now();
      return [...running]
        .filter((call) => call.startedAt >= coldUntil && isOverdue(call, now))
        .map(({ request, startedAt }) => ({
          route: request.route,
          duration: now - startedAt,
        }));
    },
    get coldForMilliseconds() {
      return Math.max(0, coldUntil - clock.now());
    },
    onChanged: changed.event,
    onCallCompleted: callCompleted.event,
    onRateLimitChanged: rateLimitOfInstance.onChanged,
    applyReport,
    applyDeparture(departure) {
      const outcome = tracker.applyDeparture(departure);
      if (outcome.type === "changed") {
        refuseQueued("leaving");
        fireChanged();
      }
      return outcome;
    },
    restoreDepartures(departed) {
      tracker.restoreDepartures(departed);
      if (tracker.instance?.state === "draining") {
        refuseQueued("leaving");
        fireChanged();
      }
    },
    restoreRateLimit: (restored) =>
      rateLimitOfInstance.restore(restored, tracker.instance, clock.now()),
    findParent(requestIdentity) {
      for (const call of running) {
        const { request } = call;
        if (
          request.requestIdentity.length < requestIdentity.length &&
          requestIdentity.includes(request.requestIdentity)
        ) {
          return {
            rank: call.rank,
            recordNestedRefusal() {
              call.wasNestedRefused = true;
            },
          };
        }
      }
      return undefined;
    },
    offer,
    dispose() {
      servingTimer.dispose();
      sweepTimer?.dispose();
      rateTimer?.dispose();
      refuseQueued("cancelled");
      for (const call of [...running]) {
        call.connection?.dispose();
      }
      closeIdleConnections();
      changed.dispose();
      callCompleted.dispose();
      rateLimitOfInstance.dispose();
    },
  };
}

function isSameStart(
  left: InstanceReport | undefined,
  right: InstanceReport,
): boolean {
  return left?.identity === right.identity &&
    left.startedAt === right.startedAt;
}

/** Whether a connection that was opened to one also reaches the other. */
function isSameEndpoint(
  left: InstanceReport | undefined,
  right: InstanceReport | undefined,
): boolean {
  return right !== undefined && isSameStart(left, right) &&
    left!.address === right.address;
}

/** Whether the instance belongs to the service, and to the version if one is named, that the call is for. */
function canRun(instance: InstanceReport, request: GateRequest): boolean {
  return instance.service === request.service &&
    (request.version === undefined || instance.version === request.version);
}

function isOverdue(call: GateCall, now: Milliseconds): boolean {
  return now - call.startedAt >
    OVERDUE_FACTOR * call.request.meanServiceMilliseconds;
}

/**
 * Returns how long a call may wait and run in total. A nested call occupies the slot of its parent while
 * it waits, so it must finish within its objective.
 */
function timeLimitOf(request: GateRequest): Milliseconds {
  return request.isNested
    ? Math.min(request.objectiveInMilliseconds, request.deadlineInMilliseconds)
    : request.deadlineInMilliseconds;
}

function describeFailure(
  call: GateCall,
  timedOut: boolean,
  reason: string,
): string {
  if (call.isCancelled) {
    return "cancelled";
  }
  return timedOut ? DEADLINE_EXCEEDED_REASON : reason;
}
