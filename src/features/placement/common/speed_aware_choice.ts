/**
 * Selects the gate of a call where instances state the momentary speed of their hosts, or callers have accounts.
 *
 * Load pattern: hosts are slow in spells of several hundred milliseconds, and the demand of failure domains
 * swings by half within seconds. Choosing by reports that are seconds old fills instances whose host has just
 * become slow, and leaving the domain for a faster instance spends bytes without making any call less late.
 * Where instances have few slots, a report is wrong as soon as a few calls have started or ended, and the best
 * of several gates by such reports is hardly better than any: half of the calls then leave their domain.
 * Gates are sampled by the room that they are expected to have now. A call leaves its failure domain only
 * if it would otherwise wait or end late, and then goes to gates with room beyond what their domain keeps
 * for its own demand. Sampling at random keeps daemons with the same reports from turning at once.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { RandomSource } from "../../../base/common/random_source.ts";
import { estimateDuration } from "../../gate/common/momentary_speed.ts";
import {
  COLD_RELATIVE_SERVICE_TIME,
  computeDistanceCost,
  EXPLORATION_PROBABILITY,
  FAILURE_COST_IN_OBJECTIVES,
  type GateCandidate,
  type GatePlacement,
  HIGH_UTILIZATION,
  HIGH_UTILIZATION_SLOWDOWN,
  JITTER_FRACTION,
  type PlacementCall,
  UNRESPONSIVE_COST_MS,
} from "./gate_choice.ts";
import { type DomainUtilization, estimateOccupied } from "./room_of_domains.ts";

/** Number of gates sampled from the own failure domain, and again from the others if it has no room. */
const SAMPLES_PER_GROUP = 4;
/** A call may wait in its failure domain for this fraction of its objective. */
const WAIT_FRACTION = 1 / 16;
/**
 * A call leaves its failure domain only for a gain of more than this fraction of its objective beyond the cost of
 * distance. The best of several uncertain estimates is too good on average, so smaller gains are mostly errors
 * (`uneven_load_replay_test.ts`).
 */
const LEAVING_GAIN_FRACTION = 1 / 6;
/** Service times vary: about one call in eight takes longer than this multiple of the mean. */
const SERVICE_TIME_MARGIN_FACTOR = 1.6;
/** The fraction of its slots that a gate keeps for the demand of its own failure domain. */
const RESERVED_FRACTION = 1 / 8;
/** Of more gates in a group, so many that follow one another from a random one on are rated: rating takes time. */
const MAXIMUM_RATED_CANDIDATES = 48;
/** A gate that seems full is still sampled at times, since the reports of its load are old. */
const MINIMUM_ROOM_FRACTION = 0.02;

/** Whether any of the instances states the momentary speed of its host. */
export function knowsSpeeds(candidates: readonly GateCandidate[]): boolean {
  return candidates.some(({ currentServiceTime }) =>
    currentServiceTime !== undefined
  );
}

export function chooseGateBySpeed<T extends GateCandidate>(
  candidates: readonly T[],
  call: PlacementCall,
  { random, utilization }: {
    readonly random: RandomSource;
    readonly utilization: DomainUtilization;
  },
): GatePlacement<T> | undefined {
  const own: T[] = [];
  const others: T[] = [];
  for (const candidate of candidates) {
    (candidate.failureDomain === call.ownFailureDomain ? own : others)
      .push(candidate);
  }
  const slotMilliseconds = call.serviceMeanMilliseconds ??
    call.meanServiceMilliseconds;
  const occupied = (candidate: T) =>
    estimateOccupied(candidate, utilization, slotMilliseconds);
  const isExploring = random.nextFraction() < EXPLORATION_PROBABILITY;
  if (isExploring) {
    const explorable = own.filter((candidate) =>
      !candidate.isCold && !candidate.isUnresponsive &&
      occupied(candidate) < HIGH_UTILIZATION * candidate.load.limit
    );
    if (explorable.length > 0) {
      return {
        candidate: explorable[random.nextInteger(explorable.length)],
        expectedWait: 0,
      };
    }
  }
  const sampled = sampleByRoom(own, {
    count: SAMPLES_PER_GROUP,
    roomOf: (candidate) =>
      (candidate.load.limit - occupied(candidate)) /
      slownessOf(candidate),
    random,
  });
  const ownCandidate = own.find(({ host }) => host === call.ownHost);
  if (ownCandidate !== undefined && !sampled.includes(ownCandidate)) {
    sampled.push(ownCandidate);
  }
  const best = findBest(sampled, call, { random, occupied, reserved: 0 });
  if (best !== undefined && isGoodEnough(best, call)) {
    return best.placement;
  }
  const foreign = findBest(
    sampleByRoom(others, {
      count: SAMPLES_PER_GROUP,
      roomOf: (candidate) =>
        (candidate.load.limit * (1 - RESERVED_FRACTION) -
          occupied(candidate)) / slownessOf(candidate),
      random,
    }),
    call,
    { random, occupied, reserved: RESERVED_FRACTION },
  );
  const leavingCost = (foreign?.cost ?? Infinity) +
    LEAVING_GAIN_FRACTION * call.objectiveMilliseconds;
  return (best === undefined || leavingCost < best.cost ? foreign : best)
    ?.placement;
}

interface RatedPlacement<T extends GateCandidate> {
  readonly placement: GatePlacement<T>;
  readonly cost: Milliseconds;
  /** Expected time until the call ends. */
  readonly duration: Milliseconds;
}

function isGoodEnough<T extends GateCandidate>(
  { placement, duration }: RatedPlacement<T>,
  call: PlacementCall,
): boolean {
  return placement.expectedWait <= WAIT_FRACTION * call.objectiveMilliseconds &&
    SERVICE_TIME_MARGIN_FACTOR * duration +
          computeFailureCost(placement.candidate, call) <=
      (call.objectiveLeft ?? call.objectiveMilliseconds);
}

function computeFailureCost(
  { load }: GateCandidate,
  call: PlacementCall,
): Milliseconds {
  return load.failureRate * FAILURE_COST_IN_OBJECTIVES *
    call.objectiveMilliseconds;
}

function slownessOf({ load, currentServiceTime = 1 }: GateCandidate): number {
  return Math.max(0.1, load.relativeServiceTime) * currentServiceTime;
}

function findBest<T extends GateCandidate>(
  candidates: readonly T[],
  call: PlacementCall,
  { random, occupied, reserved }: {
    readonly random: RandomSource;
    readonly occupied: (candidate: T) => number;
    readonly reserved: number;
  },
): RatedPlacement<T> | undefined {
  let best: RatedPlacement<T> | undefined;
  for (const candidate of candidates) {
    const { wait, service } = estimateTimes(candidate, call, {
      occupied: occupied(candidate) + reserved * candidate.load.limit,
    });
    const duration = wait + service + candidate.hostDelay +
      (candidate.isUnresponsive ? UNRESPONSIVE_COST_MS : 0);
    const cost = duration + computeDistanceCost(candidate, call) +
      computeFailureCost(candidate, call) +
      random.nextFraction() * JITTER_FRACTION * call.meanServiceMilliseconds;
    if (best === undefined || cost < best.cost) {
      best = { placement: { candidate, expectedWait: wait }, cost, duration };
    }
  }
  return best;
}

function estimateTimes(
  { load, isCold, currentServiceTime: ratio = 1 }: GateCandidate,
  call: PlacementCall,
  { occupied }: { readonly occupied: number },
): { readonly wait: Milliseconds; readonly service: Milliseconds } {
  const lasting = isCold
    ? Math.max(load.relativeServiceTime, COLD_RELATIVE_SERVICE_TIME)
    : load.relativeServiceTime;
  const limit = Math.max(1, load.limit);
  const slotTime = estimateDuration(
    lasting * (call.serviceMeanMilliseconds ?? call.meanServiceMilliseconds),
    { ratio },
  );
  const wait = Math.max(0, occupied + 1 - limit) * slotTime / limit;
  const excessUtilization = Math.max(0, occupied / limit - HIGH_UTILIZATION);
  return {
    wait,
    service: estimateDuration(call.meanServiceMilliseconds * lasting, {
      ratio,
      wait,
    }) * (1 + HIGH_UTILIZATION_SLOWDOWN * excessUtilization),
  };
}

function takeFollowing<T>(group: readonly T[], start: number): readonly T[] {
  const end = start + MAXIMUM_RATED_CANDIDATES;
  return end <= group.length
    ? group.slice(start, end)
    : [...group.slice(start), ...group.slice(0, end - group.length)];
}

/** Weighted sampling without replacement; draws few random numbers, as they take most of the time. */
function sampleByRoom<T extends GateCandidate>(
  group: readonly T[],
  { count, roomOf, random }: {
    readonly count: number;
    readonly roomOf: (candidate: T) => number;
    readonly random: RandomSource;
  },
): T[] {
  const candidates = group.length <= MAXIMUM_RATED_CANDIDATES
    ? group
    : takeFollowing(group, random.nextInteger(group.length));
  const rooms: number[] = [];
  let total = 0;
  for (const candidate of candidates) {
    const room = Math.max(
      MINIMUM_ROOM_FRACTION * Math.max(1, candidate.load.limit),
      roomOf(candidate),
    );
    rooms.push(room);
    total += room;
  }
  const sampled: T[] = [];
  while (sampled.length < Math.min(count, candidates.length)) {
    let left = random.nextFraction() * total;
    let index = 0;
    // Rounding may leave a remainder after the last one; a sampled one has no room left.
    while (
      index < rooms.length - 1 && (left >= rooms[index] || rooms[index] === 0)
    ) {
      left -= rooms[index];
      index += 1;
    }
    if (rooms[index] === 0) {
      index = rooms.findIndex((room) => room > 0);
    }
    sampled.push(candidates[index]);
    total -= rooms[index];
    rooms[index] = 0;
  }
  return sampled;
}
