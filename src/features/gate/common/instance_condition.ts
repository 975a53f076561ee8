/**
 * What the gate knows of its instance: its last report, whether it can be reached, what it takes at a time,
 * and how fast and how reliably it has served.
 *
 * @module
 */

import type { Clock } from "../../../base/common/clock.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { InstanceReport } from "../../../world/common/mesh_instance.ts";
import type { ServiceName } from "../../../world/common/names.ts";
import {
  type ColdStartRate,
  createColdStartRate,
  type KnownColdStartLimit,
} from "./cold_start_rate.ts";
import { createFailureRate, type FailureRate } from "./failure_rate.ts";
import type { GateRequest } from "./gate_call.ts";
import {
  createInstanceRateLimit,
  type InstanceRateLimit,
} from "./instance_rate_limit.ts";
import {
  createInstanceTracker,
  type InstanceTracker,
} from "./instance_tracker.ts";
import { type BrokenExchange, createLearnedLimit } from "./learned_limit.ts";
import {
  createMomentarySpeed,
  estimateDuration,
  type MomentarySpeed,
} from "./momentary_speed.ts";
import { createMovingAverages } from "./moving_averages.ts";
import {
  createRelativeServiceTime,
  type RelativeServiceTime,
} from "./relative_service_time.ts";
import type { RequestRate } from "./request_rate.ts";
import { createServiceTimeJump } from "./service_time_jump.ts";

/** The assumed service time before any call has completed. */
const INITIAL_MEAN_MS: Milliseconds = 50;
const SMOOTHING_FACTOR = 0.05;
/** How long the instance counts as unreachable after a failed connection. */
const UNREACHABLE_MS: Milliseconds = 300;
/** The number of heartbeats that may be missed before the instance counts as lost. */
const MAXIMUM_MISSED_HEARTBEATS = 3;

/** When the instance worked on a call. */
export interface ServicePeriod {
  readonly startedAt: Milliseconds;
  readonly now: Milliseconds;
}

export interface InstanceCondition {
  readonly tracker: InstanceTracker;
  readonly rateLimit: InstanceRateLimit;
  readonly coldStart: ColdStartRate;
  /** The limit that the instance names and the bound of a cold one together; the lower one holds. */
  readonly requestRate: Omit<RequestRate, "setLimit">;
  readonly relativeServiceTime: RelativeServiceTime;
  readonly momentarySpeed: MomentarySpeed;
  readonly failureRate: FailureRate;
  /** The mean service time at the usual speed of the host. */
  readonly meanServiceTime: Milliseconds;
  /** The mean service time of calls that start now. */
  currentMeanServiceTime(now: Milliseconds): Milliseconds;
  /** When the cold start of the instance ends. */
  readonly coldUntil: Milliseconds;
  readonly lastReportAt: Milliseconds;
  readonly isServing: boolean;
  /** The calls that the instance handles concurrently. */
  readonly limit: number;
  /** The calls that the instance can run at a time within its slots and its rate limit; may be below 1. */
  readonly capacity: number;
  /** The expected service time of a call at this instance. */
  expectServiceTime(request: GateRequest, now: Milliseconds): Milliseconds;
  /** Records a call that the instance has served. */
  recordServed(request: GateRequest, period: ServicePeriod): void;
  /** Records a call without a response. */
  recordUnanswered(request: GateRequest, period: ServicePeriod): void;
  recordReport(report: InstanceReport, now: Milliseconds): void;
  /** Forgets what was measured of the instance before. */
  handleNewInstance(report: InstanceReport, now: Milliseconds): void;
  markUnreachable(now: Milliseconds): void;
  /** Records an exchange that the instance has reset. */
  recordReset(
    exchange: Omit<BrokenExchange, "announced">,
    now: Milliseconds,
  ): void;
}

export function createInstanceCondition(
  {
    clock,
    heartbeatMilliseconds,
    readColdStartLimit = () => undefined,
    loopDelay = () => 0,
    sharesByAccount = () => false,
    isKnownService = () => true,
  }: {
    readonly clock: Clock;
    readonly heartbeatMilliseconds: Milliseconds;
    /** How long a response that is read now may have waited. */
    readonly loopDelay?: () => Milliseconds;
    readonly readColdStartLimit?: (
      service: ServiceName,
    ) => KnownColdStartLimit;
    readonly sharesByAccount?: () => boolean;
    /** Whether instances of a service are used; absent if all are. */
    readonly isKnownService?: (service: ServiceName) => boolean;
  },
): InstanceCondition {
  const tracker = createInstanceTracker({
    isKnownService,
    clock,
    heartbeatMilliseconds,
  });
  const rateLimit = createInstanceRateLimit();
  const coldStart = createColdStartRate(() =>
    tracker.instance === undefined
      ? undefined
      : readColdStartLimit(tracker.instance.service)
  );
  const requestRate: Omit<RequestRate, "setLimit"> = {
    get limit() {
      const named = rateLimit.rate.limit;
      const cold = coldStart.limitAt(clock.now());
      return named === undefined || cold === undefined
        ? named ?? cold
        : Math.min(named, cold);
    },
    record(now) {
      rateLimit.rate.record(now);
      coldStart.record(now);
    },
    timeUntil: (requests, now) =>
      Math.max(
        rateLimit.rate.timeUntil(requests, now),
        coldStart.timeUntil(requests, now),
      ),
  };
  let serviceTimeJump = createServiceTimeJump();
  const serviceTimes = createMovingAverages();
  let meanServiceTime: Milliseconds = INITIAL_MEAN_MS;
  let relativeServiceTime = createRelativeServiceTime();
  let momentarySpeed = createMomentarySpeed();
  let failureRate = createFailureRate();
  let learnedLimit = createLearnedLimit();
  let lastReportAt = -Infinity;
  let coldUntil: Milliseconds = 0;
  let unreachableUntil = -Infinity;

  function limit(): number {
    const announced = tracker.instance?.slots ?? 0;
    return sharesByAccount()
      ? learnedLimit.apply(announced, clock.now())
      : announced;
  }

  /** The duration at the momentary speed of work that takes this long at the usual one. */
  function adjustToSpeed(work: Milliseconds, now: Milliseconds): Milliseconds {
    const ratio = momentarySpeed.current(now);
    return ratio === undefined ? work : estimateDuration(work, { ratio });
  }

  return {
    tracker,
    rateLimit,
    coldStart,
    requestRate,
    get relativeServiceTime() {
      return relativeServiceTime;
    },
    get momentarySpeed() {
      return momentarySpeed;
    },
    get failureRate() {
      return failureRate;
    },
    get meanServiceTime() {
      return meanServiceTime;
    },
    currentMeanServiceTime: (now) => adjustToSpeed(meanServiceTime, now),
    get coldUntil() {
      return coldUntil;
    },
    get lastReportAt() {
      return lastReportAt;
    },
    get isServing() {
      const now = clock.now();
      return tracker.instance?.state === "ready" && now >= unreachableUntil &&
        now - lastReportAt <
          (MAXIMUM_MISSED_HEARTBEATS + 0.5) * heartbeatMilliseconds;
    },
    get limit() {
      return limit();
    },
    get capacity() {
      const perSecond = requestRate.limit;
      return perSecond === undefined
        ? limit()
        : Math.min(limit(), perSecond * meanServiceTime / 1_000);
    },
    expectServiceTime: ({ route, meanServiceMilliseconds }, now) =>
      adjustToSpeed(
        serviceTimes.averageOf(
          route,
          meanServiceMilliseconds * relativeServiceTime.current(now),
        ),
        now,
      ),
    recordServed({ route, meanServiceMilliseconds }, { startedAt, now }) {
      const usual = momentarySpeed.usualTimeBetween(startedAt, now);
      serviceTimes.record(route, usual);
      meanServiceTime += SMOOTHING_FACTOR * (usual - meanServiceTime);
      relativeServiceTime.recordAnswered(usual, meanServiceMilliseconds, now);
      if (
        // The response has waited for the event loop of this process.
        serviceTimeJump.record(
          usual - loopDelay(),
          meanServiceMilliseconds,
        ) &&
        coldStart.phase(now) === "warm"
      ) {
        coldStart.holdUntilReport("slow");
      }
    },
    recordUnanswered({ meanServiceMilliseconds }, { startedAt, now }) {
      relativeServiceTime.recordUnanswered(
        momentarySpeed.usualTimeBetween(startedAt, now),
        meanServiceMilliseconds,
        now,
      );
    },
    recordReport(report, now) {
      lastReportAt = now;
      coldUntil = now + report.coldForMilliseconds;
      coldStart.recordReport(report.coldForMilliseconds, now);
    },
    handleNewInstance(report, now) {
      unreachableUntil = -Infinity;
      relativeServiceTime = createRelativeServiceTime();
      momentarySpeed = createMomentarySpeed();
      failureRate = createFailureRate();
      learnedLimit = createLearnedLimit();
      rateLimit.handleNewInstance(report, now);
      serviceTimeJump = createServiceTimeJump();
      coldStart.handleNewInstance(report.coldForMilliseconds, now);
    },
    markUnreachable(now) {
      unreachableUntil = now + UNREACHABLE_MS;
    },
    recordReset(exchange, now) {
      const announced = tracker.instance?.slots ?? 0;
      learnedLimit.recordReset({ ...exchange, announced }, now);
    },
  };
}
