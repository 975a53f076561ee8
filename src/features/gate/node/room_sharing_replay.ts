/**
 * Replays the calls of two services over the admission of their gates, for tests.
 *
 * Load pattern: a front service makes nested calls to a service that also gets urgent writes and long archive
 * reads. Instances have four slots and differ in speed; callers choose among sampled gates by reports that are
 * some hundred milliseconds old.
 *
 * @module
 */

import { VirtualClock } from "../../../base/common/clock.ts";
import { SILENT_LOG } from "../../../base/common/event_log.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import {
  createRandomSource,
  type RandomSource,
} from "../../../base/common/random_source.ts";
import { drawServiceTimeFactor } from "../../../base/common/service_time_factor.ts";
import {
  createFixtureReport,
  FIXTURE_HEADERS,
} from "../common/gate_fixture.ts";
import type { GateOutcome } from "../common/gate_call.ts";
import type { GateCall } from "../common/gate_call_state.ts";
import { createInstanceCondition } from "../common/instance_condition.ts";
import { NO_NOTICES } from "../common/instance_notices.ts";
import { type CallAdmission, createCallAdmission } from "./call_admission.ts";
import {
  createReplayRequest,
  NESTED_CALLS,
  NESTED_PROBABILITY,
  type ReplayKind,
  ROUTES,
} from "./room_sharing_routes.ts";

export const FRONT_INSTANCES = 54;
export const BACK_INSTANCES = 31;
const SLOTS = 4;
const SPEED_RANGE = [0.6, 1.6] as const;
const WORK_DEVIATION = 0.4;
const SAMPLED_GATES = 4;
/** As in `next_step.ts`, which is of a later feature. */
const MAXIMUM_FULL_GATES = 3;
const MAXIMUM_FULL_GATES_OF_NESTED = 5;
const REPORT_INTERVAL_MS: Milliseconds = 250;
const ACCOUNTS = 12;

export interface ReplayOptions {
  readonly seed: number;
  readonly duration: Milliseconds;
  readonly sharesByAccount: boolean;
  /** To how many gates a nested call is offered; 5 when absent. */
  readonly maximumNestedGates?: number;
  /** A factor of the usual rate of calls. */
  readonly loadOf?: (kind: ReplayKind, now: Milliseconds) => number;
  /** A factor of the usual rate of one account. */
  readonly loadOfFirstAccount?: (now: Milliseconds) => number;
}

export interface KindResult {
  calls: number;
  /** Ended within the objective, as a share of the calls. */
  inObjective: number;
  ended: number;
  failedNested: number;
  /** The benefit as a share of what the calls are worth. */
  benefit: number;
}

export interface ReplayResult {
  readonly kinds: Record<ReplayKind, KindResult>;
  /** For each account, the share of the calls that ended. */
  readonly served: readonly number[];
  /** The benefit of all calls as a share of what they are worth. */
  readonly benefit: number;
}

interface ReplayGate {
  readonly admission: CallAdmission;
  readonly speed: number;
  reportedLoad: number;
  readonly running: Set<GateCall>;
}

type RunCall = (
  call: GateCall,
  gate: ReplayGate,
  done: (failed: boolean) => void,
) => void;

export function replayRoomSharing(options: ReplayOptions): ReplayResult {
  const clock = new VirtualClock();
  const random = createRandomSource(options.seed);
  const front = createGates(FRONT_INSTANCES, runAtFront);
  const back = createGates(BACK_INSTANCES, runAtBack);
  const kinds = Object.fromEntries(
    Object.keys(ROUTES).map((kind) => [kind, {
      calls: 0,
      inObjective: 0,
      ended: 0,
      failedNested: 0,
      benefit: 0,
    }]),
  ) as Record<ReplayKind, KindResult>;
  const accounts = Array.from(
    { length: ACCOUNTS },
    () => ({ calls: 0, ended: 0 }),
  );
  let lastIdentity = 0;

  function createGates(count: number, run: RunCall): ReplayGate[] {
    return Array.from({ length: count }, (_, index) => {
      const [slow, fast] = SPEED_RANGE;
      const speed = slow + (fast - slow) * index / (count - 1);
      return createReplayGate(speed, run);
    });
  }

  function createReplayGate(speed: number, run: RunCall): ReplayGate {
    const condition = createInstanceCondition({
      clock,
      heartbeatMilliseconds: options.duration * 10,
    });
    const report = createFixtureReport({ port: 1, slots: SLOTS });
    condition.tracker.applyReport(report);
    condition.recordReport(report, clock.now());
    const running = new Set<GateCall>();
    const admission: CallAdmission = createCallAdmission({
      clock,
      log: SILENT_LOG,
      headers: FIXTURE_HEADERS,
      heartbeatMilliseconds: options.duration * 10,
      readNotices: () => NO_NOTICES,
      afterStall: (callback) => callback(),
      sharesByAccount: () => options.sharesByAccount,
    }, {
      condition,
      dispatch: () => ({
        running,
        start,
        closeIdleConnections() {},
        dispose() {},
      }),
    });

    function start(call: GateCall): void {
      call.timer?.dispose();
      call.state = "running";
      call.startedAt = clock.now();
      running.add(call);
      run(call, gate, (failed) => {
        const now = clock.now();
        call.state = "ended";
        call.wasNestedRefused = failed;
        running.delete(call);
        admission.recordEnd(call, now);
        const { request } = call;
        if (!failed) {
          condition.recordServed(request, { startedAt: call.startedAt, now });
        }
        call.settle({
          type: "answer",
          status: failed ? 500 : 200,
          rawHeaders: [],
          body: new Uint8Array(),
          serviceMilliseconds: now - call.startedAt,
          wasNestedRefused: failed,
        });
        admission.startQueued();
      });
    }

    const gate: ReplayGate = { admission, speed, reportedLoad: 0, running };
    return gate;
  }

  function workOf(kind: ReplayKind, gate: ReplayGate): Milliseconds {
    return ROUTES[kind].workMilliseconds / gate.speed *
      drawServiceTimeFactor(random, WORK_DEVIATION);
  }

  function runAtBack(
    call: GateCall,
    gate: ReplayGate,
    done: (failed: boolean) => void,
  ): void {
    clock.schedule(
      workOf(call.request.route as ReplayKind, gate),
      () => done(false),
    );
  }

  function runAtFront(
    call: GateCall,
    gate: ReplayGate,
    done: (failed: boolean) => void,
  ): void {
    const kind = call.request.route as ReplayKind;
    const makesNested = kind === "read" &&
      random.nextFraction() < NESTED_PROBABILITY;
    let nestedLeft = makesNested ? NESTED_CALLS : 0;
    function next(): void {
      if (nestedLeft === 0) {
        done(false);
        return;
      }
      nestedLeft -= 1;
      kinds.nested.calls += 1;
      const { request } = call;
      offer(back, "nested", request.account!, (outcome) => {
        const succeeded = outcome.type === "answer" && outcome.status < 500;
        kinds.nested.ended += succeeded ? 1 : 0;
        if (succeeded) {
          next();
        } else {
          done(true);
        }
      });
    }
    clock.schedule(workOf(kind, gate), next);
  }

  function chooseGate(
    gates: readonly ReplayGate[],
    offered: ReadonlySet<ReplayGate>,
  ): ReplayGate {
    let best: ReplayGate | undefined;
    for (let sample = 0; sample < SAMPLED_GATES; sample += 1) {
      const gate = gates[random.nextInteger(gates.length)];
      if (
        !offered.has(gate) &&
        (best === undefined || costOf(gate) < costOf(best))
      ) {
        best = gate;
      }
    }
    return best ?? gates.find((gate) => !offered.has(gate))!;
  }

  function maximumGatesOf(kind: ReplayKind): number {
    return kind === "nested" && options.sharesByAccount
      ? options.maximumNestedGates ?? MAXIMUM_FULL_GATES_OF_NESTED
      : MAXIMUM_FULL_GATES;
  }

  function costOf({ reportedLoad, speed }: ReplayGate): number {
    return Math.max(1, (reportedLoad + 1) / SLOTS) / speed;
  }

  function offer(
    gates: readonly ReplayGate[],
    kind: ReplayKind,
    account: string,
    settle: (outcome: GateOutcome) => void,
  ): void {
    const route = ROUTES[kind];
    const arrivedAt = clock.now();
    const offered = new Set<ReplayGate>();
    function offerNext(): void {
      const gate = chooseGate(gates, offered);
      offered.add(gate);
      const elapsed = clock.now() - arrivedAt;
      lastIdentity += 1;
      gate.admission.offer(
        createReplayRequest(String(lastIdentity), kind, account, elapsed),
        (outcome) => {
          gate.reportedLoad = gate.running.size + gate.admission.waiting;
          if (
            outcome.type === "refused" && outcome.reason !== "nested-refused" &&
            offered.size < maximumGatesOf(kind) &&
            clock.now() < arrivedAt + route.deadlineMilliseconds
          ) {
            offerNext();
          } else {
            settle(outcome);
          }
        },
      );
    }
    offerNext();
  }

  function arrive(kind: ReplayKind, accountIndex: number): void {
    const route = ROUTES[kind];
    const arrivedAt = clock.now();
    const account = accounts[accountIndex];
    const result = kinds[kind];
    result.calls += 1;
    account.calls += 1;
    const isFront = kind === "read" || kind === "write";
    offer(isFront ? front : back, kind, `a${accountIndex}`, (outcome) => {
      const duration = clock.now() - arrivedAt;
      if (outcome.type !== "answer") {
        return;
      }
      if (outcome.wasNestedRefused) {
        result.failedNested += 1;
      } else if (duration <= route.objectiveMilliseconds) {
        result.inObjective += 1;
        result.benefit += route.benefit;
        result.ended += 1;
        account.ended += 1;
      } else if (duration <= route.deadlineMilliseconds) {
        result.benefit += route.lateBenefit;
        result.ended += 1;
        account.ended += 1;
      }
    });
  }

  function scheduleArrivals(kind: ReplayKind): void {
    const { perSecond } = ROUTES[kind];
    const firstLoad = options.loadOfFirstAccount ?? (() => 1);
    const loadOf = options.loadOf ?? (() => 1);
    function next(): void {
      const now = clock.now();
      if (now >= options.duration) {
        return;
      }
      const weights = firstLoad(now) + ACCOUNTS - 1;
      const rate = perSecond * loadOf(kind, now) * weights / ACCOUNTS;
      clock.schedule(exponential(random) * 1_000 / rate, () => {
        const draw = random.nextFraction() * weights - firstLoad(now);
        arrive(kind, draw < 0 ? 0 : 1 + Math.floor(draw));
        next();
      });
    }
    next();
  }

  clock.repeat(REPORT_INTERVAL_MS, () => {
    for (const gate of [...front, ...back]) {
      gate.reportedLoad = gate.running.size + gate.admission.waiting;
    }
  });
  for (const kind of ["read", "write", "urgent", "archive"] as const) {
    scheduleArrivals(kind);
  }
  clock.advance(options.duration + 10_000);
  return summarize(kinds, accounts);
}

function summarize(
  kinds: Record<ReplayKind, KindResult>,
  accounts: readonly { readonly calls: number; readonly ended: number }[],
): ReplayResult {
  let benefit = 0;
  let worth = 0;
  for (const [kind, result] of Object.entries(kinds)) {
    const worthOfKind = result.calls * ROUTES[kind as ReplayKind].benefit;
    benefit += result.benefit;
    worth += worthOfKind;
    result.benefit = roundShare(result.benefit / worthOfKind);
    result.inObjective = roundShare(result.inObjective / result.calls);
    result.ended = roundShare(result.ended / result.calls);
    result.failedNested = roundShare(result.failedNested / result.calls);
  }
  return {
    kinds,
    served: accounts.map(({ calls, ended }) => roundShare(ended / calls)),
    benefit: roundShare(benefit / worth),
  };
}

function roundShare(share: number): number {
  return Math.round(share * 1_000) / 1_000;
}

function exponential(random: RandomSource): number {
  return -Math.log(1 - random.nextFraction());
}
