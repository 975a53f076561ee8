/**
 * The gate: the only way to the instance beside this daemon. It alone knows how many calls the
 * instance works on, keeps the calls that wait, and passes them on.
 *
 * @module
 */

import type { Clock } from "../../../base/common/clock.ts";
import type { Disposable } from "../../../base/common/disposable.ts";
import { parseEndpoint } from "../../../base/common/endpoint.ts";
import { createEmitter } from "../../../base/common/emitter.ts";
import type { EventLog } from "../../../base/common/event_log.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { InstanceReport } from "../../../world/common/mesh_instance.ts";
import type { CallHandle, CallRecord, Gate } from "../common/gate.ts";
import { createAnswerBudget } from "../common/answer_budget.ts";
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
  createInstanceRegister,
  type ReportOutcome,
} from "../common/instance_tracker.ts";
import { createFailureRate } from "../common/failure_rate.ts";
import type { MeshHeaders } from "../common/mesh_headers.ts";
import { formatRequestHead } from "../common/request_head.ts";
import { createMovingAverages } from "../common/moving_averages.ts";
import { createUrgentLoad } from "../common/urgent_load.ts";
import {
  createWaitingRoom,
  isHopeless,
  type WaitingCall,
} from "../common/waiting_room.ts";
import {
  createInstanceConnection,
  type ExchangeOutcome,
  findHeader,
  type InstanceConnection,
} from "./instance_connection.ts";

/** Assumed time of a call before any has ended. */
const FIRST_MEAN_MS: Milliseconds = 50;
const NEWEST_WEIGHT = 0.05;
/** A failed connection says nothing about the instance for longer than this. */
const UNREACHABLE_MS: Milliseconds = 300;
/** How often calls that wait are looked at again. */
const SWEEP_INTERVAL_MS: Milliseconds = 40;
/** About one call in twenty takes longer than this many times the usual. */
const OVERDUE_FACTOR = 2.5;
/** Heartbeats that may be missing before the instance counts as lost. */
const MISSED_HEARTBEATS = 3;

export interface GateOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly headers: MeshHeaders;
  readonly heartbeatMilliseconds: Milliseconds;
  /** Calls back at once, or after a stall when what arrived in it is handled. */
  readonly afterStall: (callback: () => void) => void;
}

interface GateCall extends WaitingCall {
  readonly request: GateRequest;
  readonly settle: (outcome: GateOutcome) => void;
  state: "waiting" | "running" | "ended";
  isCancelled: boolean;
  isTimeOver: boolean;
  wasNestedRefused: boolean;
  /** When the work on the call is ended. */
  readonly endAt: Milliseconds;
  startedAt: Milliseconds;
  timer: Disposable | undefined;
  connection: InstanceConnection | undefined;
}

export function createGate(options: GateOptions): Gate {
  const { clock, log, headers } = options;
  const register = createInstanceRegister();
  const room = createWaitingRoom<GateCall>();
  const running = new Set<GateCall>();
  const idle: InstanceConnection[] = [];
  const answers = createAnswerBudget();
  const times = createMovingAverages();
  const urgentLoad = createUrgentLoad();
  const changed = createEmitter<void>();
  const called = createEmitter<CallRecord>();
  let mean: Milliseconds = FIRST_MEAN_MS;
  let relativeServiceTime = 1;
  let failures = createFailureRate();
  let reportedAt = -Infinity;
  let coldUntil: Milliseconds = 0;
  let unreachableUntil = -Infinity;
  let wasServing = false;
  let sweepTimer: Disposable | undefined;
  /** Offers refused as full since the last heartbeat of the instance. */
  let refusedAsFull = 0;

  function isServing(): boolean {
    const now = clock.now();
    return register.instance?.state === "ready" && now >= unreachableUntil &&
      now - reportedAt <
        (MISSED_HEARTBEATS + 0.5) * options.heartbeatMilliseconds;
  }

  function limit(): number {
    return register.instance?.slots ?? 0;
  }

  function announceChange(): void {
    wasServing = isServing();
    changed.fire();
  }

  function describeLoad(call: GateCall, ahead: number, now: Milliseconds) {
    const capacity = { limit: limit(), meanMilliseconds: mean };
    return {
      ...capacity,
      running: running.size,
      ahead,
      takenByMoreUrgent: urgentLoad.moreUrgentThan(call, capacity, now),
    };
  }

  function sweep(): void {
    sweepTimer = undefined;
    const now = clock.now();
    const overtaken = room.takeOvertaken(
      now,
      (call, ahead) => estimateQueueWait(describeLoad(call, ahead, now)),
    );
    for (const call of overtaken) {
      refuse(call, "hopeless", mean);
    }
    scheduleSweep();
  }

  /** A timer that runs without calls that wait would wake an idle process. */
  function scheduleSweep(): void {
    if (room.size > 0) {
      sweepTimer ??= clock.schedule(SWEEP_INTERVAL_MS, sweep);
    }
  }

  const watch = clock.repeat(options.heartbeatMilliseconds / 4, () => {
    if (isServing() !== wasServing) {
      log.write("info", "gate.serving-changed", {
        serving: isServing(),
        instance: register.instance?.identity,
        sinceHeartbeat: Math.round(clock.now() - reportedAt),
      });
      announceChange();
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
      deadlineAt: now + longestStay(request),
      expectedMilliseconds: times.usual(
        request.route,
        request.meanServiceMilliseconds * relativeServiceTime,
      ),
      request,
      settle,
      state: "waiting",
      isCancelled: false,
      isTimeOver: false,
      wasNestedRefused: false,
      endAt: now + request.deadlineInMilliseconds,
      startedAt: now,
      timer: undefined,
      connection: undefined,
    };
    const unfit = findUnfitness(request);
    if (unfit !== undefined) {
      refuse(call, unfit);
      return { cancel() {} };
    }
    const ahead = room.size === 0 ? 0 : room.countAhead(call, now);
    const decision = decideAdmission(
      call,
      describeLoad(call, ahead, now),
      now,
    );
    if (decision.type !== "refuse") {
      urgentLoad.record(call, now);
    }
    switch (decision.type) {
      case "refuse":
        refusedAsFull += 1;
        refuse(call, "full", decision.retryAfter);
        break;
      case "start":
        start(call);
        break;
      case "wait":
        room.add(call);
        scheduleHopeless(call, now);
        scheduleSweep();
        break;
    }
    return { cancel: () => cancel(call) };
  }

  function findUnfitness(request: GateRequest): RefusalReason | undefined {
    const { instance } = register;
    if (instance === undefined) {
      return "no-instance";
    }
    if (instance.state !== "ready") {
      return "leaving";
    }
    if (
      instance.service !== request.service ||
      (request.version !== undefined && instance.version !== request.version)
    ) {
      return "other-service";
    }
    return isServing() ? undefined : "unreachable";
  }

  function scheduleHopeless(call: GateCall, now: Milliseconds): void {
    const delay = call.deadlineAt - now - call.expectedMilliseconds / 2;
    call.timer = clock.schedule(Math.max(0, delay) + 1, () => {
      if (call.state === "waiting" && isHopeless(call, clock.now())) {
        room.remove(call.identity);
        refuse(call, "hopeless", mean);
      }
    });
  }

  function start(call: GateCall): void {
    const now = clock.now();
    const instance = register.instance!;
    call.timer?.dispose();
    call.state = "running";
    call.startedAt = now;
    running.add(call);
    const timeLeft = call.endAt - now;
    call.timer = clock.schedule(timeLeft, () => {
      call.isTimeOver = true;
      call.connection?.dispose();
    });
    const connection = takeConnection(instance, now);
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
    for (let next = idle.pop(); next !== undefined; next = idle.pop()) {
      if (next.isReusable(now)) {
        return next;
      }
      next.dispose();
    }
    const connection: InstanceConnection = createInstanceConnection({
      ...parseEndpoint(instance.address),
      clock,
      identityHeader: headers.requestIdentity,
      budget: answers,
      onClosed() {
        const index = idle.indexOf(connection);
        if (index >= 0) {
          idle.splice(index, 1);
        }
      },
    });
    return connection;
  }

  function finish(
    call: GateCall,
    connection: InstanceConnection,
    outcome: ExchangeOutcome,
  ): void {
    if (call.state === "ended") {
      return;
    }
    const now = clock.now();
    running.delete(call);
    call.timer?.dispose();
    call.state = "ended";
    const judged = judgeExchange(call, outcome, now);
    // The callers of slow calls leave them for a second send, so those count as well.
    if (
      judged.type !== "refused" && (!call.isCancelled || isOverdue(call, now))
    ) {
      called.fire({
        route: call.request.route,
        isFailure: !call.isCancelled && !call.wasNestedRefused &&
          (judged.type === "failed" || judged.status >= 500),
        isWarm: call.startedAt >= coldUntil,
        duration: now - call.startedAt,
      });
    }
    call.settle(judged);
    // The connection is idle only once its owner has returned from this callback.
    queueMicrotask(() => {
      if (connection.isReusable(clock.now())) {
        idle.push(connection);
      } else {
        connection.dispose();
      }
      if (room.size > 0) {
        options.afterStall(startWaiting);
      }
    });
  }

  function judgeExchange(
    call: GateCall,
    outcome: ExchangeOutcome,
    now: Milliseconds,
  ): GateOutcome {
    // The timer can fire a little before its time.
    const timedOut = call.isTimeOver || now >= call.endAt - 1;
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
          failures.record(true, now);
        }
        log.write("info", "gate.exchange-broken", {
          request: call.request.requestIdentity,
          reason: describeEnd(call, timedOut, outcome.reason),
          after: Math.round(now - call.startedAt),
          instance: register.instance?.identity,
        });
        return {
          type: "failed",
          reason: describeEnd(call, timedOut, outcome.reason),
        };
      case "response":
        return judgeResponse(call, outcome.response, now);
    }
  }

  function judgeResponse(
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
    // A call that failed since one of its own calls was refused says nothing about the instance.
    if (!call.wasNestedRefused) {
      failures.record(isRefusal || status >= 500, now);
    }
    if (isRefusal) {
      log.write("info", "gate.instance-refused", {
        request: call.request.requestIdentity,
        status,
        running: running.size,
        instance: register.instance?.identity,
      });
      if (status === 421) {
        markUnreachable("another instance has the address");
      }
      return {
        type: "refused",
        reason: "instance-refused",
        retryAfter: mean,
        reachedInstance: true,
      };
    }
    const duration = now - call.startedAt;
    // A failure can end sooner than any work does.
    if (status < 500) {
      times.record(call.request.route, duration);
      mean += NEWEST_WEIGHT * (duration - mean);
      const ratio = duration /
        Math.max(1, call.request.meanServiceMilliseconds);
      relativeServiceTime += NEWEST_WEIGHT *
        (Math.min(ratio, 20) - relativeServiceTime);
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
      instance: register.instance?.identity,
      reason,
    });
    refuseWaiting("unreachable");
    announceChange();
  }

  function startWaiting(): void {
    while (room.size > 0 && running.size < limit()) {
      const now = clock.now();
      for (const hopeless of room.takeHopeless(now)) {
        refuse(hopeless, "hopeless", mean);
      }
      const next = room.takeNext(now);
      if (next !== undefined) {
        start(next);
      }
    }
  }

  function refuse(
    call: GateCall,
    reason: RefusalReason,
    retryAfter: Milliseconds = 0,
  ): void {
    call.timer?.dispose();
    call.state = "ended";
    call.settle({
      type: "refused",
      reason,
      retryAfter,
      reachedInstance: false,
    });
  }

  function refuseWaiting(reason: RefusalReason): void {
    for (const call of room.takeAll()) {
      refuse(call, reason);
    }
  }

  function cancel(call: GateCall): void {
    if (call.state === "waiting") {
      room.remove(call.identity);
      refuse(call, "cancelled");
    } else if (call.state === "running") {
      call.isCancelled = true;
      call.connection?.dispose();
    }
  }

  function applyReport(report: InstanceReport): ReportOutcome {
    const outcome = register.report(report);
    if (outcome.type === "ignored") {
      return outcome;
    }
    const now = clock.now();
    reportedAt = now;
    logPressure();
    coldUntil = now + report.coldForMilliseconds;
    if (outcome.type === "new") {
      unreachableUntil = -Infinity;
      relativeServiceTime = 1;
      failures = createFailureRate();
      dropIdle();
    }
    if (report.state !== "ready") {
      refuseWaiting("leaving");
    }
    if (outcome.type !== "unchanged") {
      announceChange();
    }
    return outcome;
  }

  function logPressure(): void {
    if (refusedAsFull > 0) {
      log.write("info", "gate.pressed", {
        refused: refusedAsFull,
        running: running.size,
        waiting: room.size,
        limit: limit(),
        mean: Math.round(mean),
        pace: relativeServiceTime.toFixed(2),
        failurePart: failures.current(clock.now()).toFixed(2),
      });
      refusedAsFull = 0;
    }
  }

  function dropIdle(): void {
    for (const connection of idle.splice(0)) {
      connection.dispose();
    }
  }

  return {
    get instance() {
      return register.instance;
    },
    get departed() {
      return register.departed;
    },
    get load() {
      return {
        running: running.size,
        waiting: room.size,
        limit: limit(),
        relativeServiceTime,
        failureRate: failures.current(clock.now()),
      };
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
    onCallCompleted: called.event,
    applyReport: applyReport,
    applyDeparture(departure) {
      const outcome = register.depart(departure);
      if (outcome.type === "changed") {
        refuseWaiting("leaving");
        announceChange();
      }
      return outcome;
    },
    restoreDepartures(departed) {
      register.recall(departed);
      if (register.instance?.state === "draining") {
        refuseWaiting("leaving");
        announceChange();
      }
    },
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
      watch.dispose();
      sweepTimer?.dispose();
      refuseWaiting("cancelled");
      for (const call of [...running]) {
        call.connection?.dispose();
      }
      dropIdle();
      changed.dispose();
      called.dispose();
    },
  };
}

function isOverdue(call: GateCall, now: Milliseconds): boolean {
  return now - call.startedAt >
    OVERDUE_FACTOR * call.request.meanServiceMilliseconds;
}

/**
 * How long a call may wait and run. A nested call holds the slot of its parent while it waits, so
 * it is served within its objective or not at all.
 */
function longestStay(request: GateRequest): Milliseconds {
  return request.isNested
    ? Math.min(request.objectiveInMilliseconds, request.deadlineInMilliseconds)
    : request.deadlineInMilliseconds;
}

function describeEnd(
  call: GateCall,
  timedOut: boolean,
  reason: string,
): string {
  if (call.isCancelled) {
    return "cancelled";
  }
  return timedOut ? DEADLINE_EXCEEDED_REASON : reason;
}
