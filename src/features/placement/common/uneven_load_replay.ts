/**
 * A replay of calls to a service whose demand and whose instances are uneven, for tests of placement.
 *
 * Each failure domain's demand is a wave, one after the other; instances differ in lasting speed; hosts are
 * slow in spells. Callers know the loads of gates as they do in a fleet: from statuses that are seconds old
 * and from the outcomes of their own calls.
 *
 * @module
 */

import { VirtualClock } from "../../../base/common/clock.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import {
  createRandomSource,
  type RandomSource,
} from "../../../base/common/random_source.ts";
import { drawServiceTimeFactor } from "../../../base/common/service_time_factor.ts";
import { createFixtureRequest } from "../../gate/common/gate_fixture.ts";
import { createMovingAverages } from "../../gate/common/moving_averages.ts";
import type { GateCandidate, PlacementCall } from "./gate_choice.ts";
import {
  createRoomOfDomains,
  type DomainUtilization,
} from "./room_of_domains.ts";
import {
  createReplayGate,
  type GateReplayOptions,
  type ReplayGate,
} from "./uneven_load_gate.ts";

export interface ReplayRoute {
  readonly name: string;
  readonly perSecond: number;
  readonly work: Milliseconds;
  readonly objective: Milliseconds;
  readonly deadline: Milliseconds;
  readonly isNested?: boolean;
}

export interface ReplayService {
  readonly instances: number;
  readonly slots: number;
  /** Lasting service times of the instances relative to usual, repeated over the instances. */
  readonly serviceTimes: readonly number[];
  readonly routes: readonly ReplayRoute[];
}

export interface ReplayChoice {
  readonly index: number;
  readonly expectedWait: Milliseconds;
  /** Whether the gate may give the call back instead of queueing it. */
  readonly mayReturn: boolean;
}

export interface ReplayRule extends GateReplayOptions {
  choose(
    candidates: readonly ReplayCandidate[],
    call: PlacementCall,
    state: {
      readonly random: RandomSource;
      readonly fullGateCount: number;
      readonly utilization: DomainUtilization;
    },
  ): ReplayChoice;
}

export interface ReplayCandidate extends GateCandidate {
  readonly index: number;
}

export interface ReplayResult {
  readonly withinObjective: number;
  readonly late: number;
  readonly failed: number;
  readonly worstDomain: number;
  readonly worstRoute: number;
  readonly worstWindow: number;
  /** The fraction of calls that were sent to another failure domain. */
  readonly across: number;
  readonly returnedPerCall: number;
  /** Refusals that reached a caller. */
  readonly refusedPerCall: number;
  readonly busiest: number;
}

export const REPLAY_DOMAINS = 4;
const CALLERS = 74;
const WAVE_PERIOD_MS: Milliseconds = 17_000;
const WAVE_SWING = 0.55;
const SPELL_MS: Milliseconds = 600;
const SPELL_SHARE = 0.15;
const SPELL_SLOWDOWN = 2.5;
const STATUS_INTERVAL_MS: Milliseconds = 4_400;
const OWN_DOMAIN_DELAY_MS: Milliseconds = 0.5;
const OTHER_DOMAIN_DELAY_MS: Milliseconds = 1;
const WARM_UP_MS: Milliseconds = 5_000;
const WINDOW_MS: Milliseconds = 2_000;
const SERVICE_TIME_DEVIATION = 0.4;
const MAXIMUM_FULL_GATES = 3;
const CLIENT_DELAY_MS: Milliseconds = 3;

/** Draws the instants at which the spells of a host start and end, alternately. */
function drawSpells(
  random: RandomSource,
  duration: Milliseconds,
): readonly Milliseconds[] {
  const pause = SPELL_MS * (1 - SPELL_SHARE) / SPELL_SHARE;
  const changes: Milliseconds[] = [];
  for (let at = -random.nextFraction() * pause; at < duration;) {
    at -= Math.log(1 - random.nextFraction()) *
      (changes.length % 2 === 0 ? pause : SPELL_MS);
    changes.push(at);
  }
  return changes;
}

export function replayUnevenLoad(
  service: ReplayService,
  rule: ReplayRule,
  { seed, duration = 39_000, demand = 1 }: {
    readonly seed: number;
    readonly duration?: Milliseconds;
    readonly demand?: number;
  },
): ReplayResult {
  const clock = new VirtualClock();
  const random = createRandomSource(seed);
  const domainOf = (index: number) => index % REPLAY_DOMAINS;
  const gates: readonly ReplayGate[] = Array.from(
    { length: service.instances },
    (_, index) =>
      createReplayGate({
        clock,
        slots: service.slots,
        serviceTime: service.serviceTimes[
          Math.floor(index / REPLAY_DOMAINS) % service.serviceTimes.length
        ],
        spells: drawSpells(random, duration + 10_000),
        spellSlowdown: SPELL_SLOWDOWN,
        options: rule,
      }),
  );
  const known = Array.from(
    { length: CALLERS },
    () =>
      gates.map((gate) => ({
        load: gate.load,
        receivedAt: 0,
        offeredAt: [] as Milliseconds[],
      })),
  );
  const fullUntil = known.map((row) => row.map(() => -Infinity));
  const rooms = known.map(() => createRoomOfDomains());
  const serviceTimes = known.map(() => createMovingAverages());
  const serviceMeans = known.map(() => createMovingAverages());
  gates.forEach((gate, index) => {
    const report = () => {
      const load = gate.load;
      for (const row of known) {
        row[index].load = load;
        row[index].receivedAt = clock.now();
      }
      clock.schedule(STATUS_INTERVAL_MS, report);
    };
    clock.schedule(random.nextFraction() * STATUS_INTERVAL_MS, report);
  });

  let refusals = 0;
  const total = { calls: 0, met: 0, late: 0, across: 0, returned: 0, sent: 0 };
  const parts = new Map<string, { calls: number; met: number }>();
  const count = (part: string, isMet: boolean) => {
    const entry = parts.get(part) ?? { calls: 0, met: 0 };
    parts.set(part, entry);
    entry.calls += 1;
    entry.met += isMet ? 1 : 0;
  };

  function startCall(route: ReplayRoute, domain: number): void {
    const arrivedAt = clock.now();
    const caller = random.nextInteger(
          Math.floor((CALLERS - 1 - domain) / REPLAY_DOMAINS) + 1,
        ) * REPLAY_DOMAINS + domain;
    const factor = drawServiceTimeFactor(random, SERVICE_TIME_DEVIATION);
    let hasReturned = false;

    function finish(isAnswered: boolean): void {
      if (arrivedAt < WARM_UP_MS) {
        return;
      }
      const taken = clock.now() - arrivedAt;
      const isMet = isAnswered && taken <= route.objective;
      total.calls += 1;
      total.met += isMet ? 1 : 0;
      total.late += isAnswered && !isMet && taken <= route.deadline ? 1 : 0;
      count(`domain ${domain}`, isMet);
      count(`route ${route.name}`, isMet);
      if (arrivedAt < duration - duration % WINDOW_MS) {
        count(`window ${Math.floor(arrivedAt / WINDOW_MS)}`, isMet);
      }
    }

    function refuse(wait: Milliseconds): void {
      refusals += arrivedAt < WARM_UP_MS ? 0 : 1;
      if (route.isNested || hasReturned) {
        finish(false);
        return;
      }
      const timeLeft = arrivedAt + route.deadline - clock.now();
      const retryAfter = Math.max(20, wait);
      if (retryAfter > timeLeft / 3) {
        finish(false);
        return;
      }
      hasReturned = true;
      clock.schedule(retryAfter + 2 * CLIENT_DELAY_MS, () => attempt());
    }

    function attempt(): void {
      const offered = new Set<number>();
      let fullGateCount = 0;
      offer();

      function offer(): void {
        const now = clock.now();
        const all: ReplayCandidate[] = [];
        gates.forEach((_, index) => {
          const { load, receivedAt, offeredAt } = known[caller][index];
          all.push({
            index,
            host: String(index),
            failureDomain: String(domainOf(index)),
            load,
            ...rule.describeReport(load, now - receivedAt),
            loadAge: now - receivedAt,
            offeredSinceReport: offeredAt.reduce(
              (sum, at) => sum + (at >= receivedAt ? 1 : 0),
              0,
            ),
            outstanding: offeredAt.length,
            isCold: false,
            isUnresponsive: false,
            hostDelay: 0,
          });
        });
        const remaining = all.filter(({ index }) =>
          !offered.has(index) &&
          (route.isNested || fullUntil[caller][index] <= now)
        );
        if (remaining.length === 0) {
          refuse(500);
          return;
        }
        const usual = serviceTimes[caller].averageOf(
          route.name,
          route.objective / 3,
        );
        const placed = rule.choose(remaining, {
          ownHost: String(caller),
          ownFailureDomain: String(domain),
          meanServiceMilliseconds: usual,
          serviceMeanMilliseconds: serviceMeans[caller].averageOf("", usual),
          objectiveMilliseconds: route.objective,
          objectiveLeft: arrivedAt + route.objective - now,
          transferredBytes: 5_000,
        }, {
          random,
          fullGateCount,
          utilization: rooms[caller].summarize(all, now),
        });
        send(placed, usual);
      }

      function send(
        { index, mayReturn }: ReplayChoice,
        usual: Milliseconds,
      ): void {
        const entry = known[caller][index];
        const offeredAt = clock.now();
        const isAcross = domainOf(index) !== domain;
        const delay = isAcross ? OTHER_DOMAIN_DELAY_MS : OWN_DOMAIN_DELAY_MS;
        total.across += isAcross ? 1 : 0;
        total.sent += 1;
        offered.add(index);
        entry.offeredAt.push(offeredAt);
        clock.schedule(delay, () =>
          gates[index].offer({
            request: {
              ...createFixtureRequest(`${total.sent}`, 0),
              route: route.name,
              isNested: route.isNested ?? false,
              objectiveInMilliseconds: arrivedAt + route.objective -
                clock.now(),
              deadlineInMilliseconds: arrivedAt + route.deadline - clock.now(),
              meanServiceMilliseconds: usual,
            },
            work: route.work * factor,
            mayReturn,
            settle: (outcome) =>
              clock.schedule(delay, () => {
                entry.offeredAt.splice(entry.offeredAt.indexOf(offeredAt), 1);
                entry.load = outcome.load;
                entry.receivedAt = clock.now();
                if (outcome.duration !== undefined) {
                  serviceTimes[caller].record(route.name, outcome.duration);
                  serviceMeans[caller].record("", outcome.duration);
                  finish(true);
                  return;
                }
                total.returned += 1;
                fullGateCount += 1;
                fullUntil[caller][index] = clock.now() + 100;
                if (fullGateCount < MAXIMUM_FULL_GATES) {
                  offer();
                } else {
                  refuse(outcome.retryAfter);
                }
              }),
          }));
      }
    }

    attempt();
  }

  for (const route of service.routes) {
    for (let domain = 0; domain < REPLAY_DOMAINS; domain += 1) {
      const mean = demand * route.perSecond / REPLAY_DOMAINS / 1_000;
      const highest = mean * (1 + WAVE_SWING);
      for (let at = 0; at < duration;) {
        at -= Math.log(1 - random.nextFraction()) / highest;
        const wave = 1 + WAVE_SWING * Math.sin(
              2 * Math.PI * (at / WAVE_PERIOD_MS + domain / REPLAY_DOMAINS),
            );
        if (random.nextFraction() * highest < mean * wave) {
          clock.schedule(at, () => startCall(route, domain));
        }
      }
    }
  }
  clock.advance(duration + 10_000);

  const worstOf = (kind: string) =>
    Math.min(
      ...[...parts].filter(([part]) => part.startsWith(kind))
        .map(([, { calls, met }]) => met / calls),
    );
  const worked = gates.map((gate) => gate.busyTime);
  return {
    withinObjective: total.met / total.calls,
    late: total.late / total.calls,
    failed: 1 - (total.met + total.late) / total.calls,
    worstDomain: worstOf("domain"),
    worstRoute: worstOf("route"),
    worstWindow: worstOf("window"),
    across: total.across / total.sent,
    returnedPerCall: total.returned / total.calls,
    refusedPerCall: refusals / total.calls,
    busiest: Math.max(...worked) /
      (worked.reduce((sum, one) => sum + one, 0) / worked.length),
  };
}
