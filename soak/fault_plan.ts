/**
 * The faults of a run, drawn from its seed. They come in series and overlap.
 *
 * @module
 */

import type { Milliseconds } from "../src/base/common/milliseconds.ts";
import {
  createRandomSource,
  type RandomSource,
} from "../src/base/common/random_source.ts";

export type FaultKind =
  | "kill"
  | "kill-many"
  | "terminate"
  | "pause"
  | "reload"
  | "link-delay"
  | "link-silent"
  | "link-one-way"
  | "link-reset"
  | "store-refuse"
  | "store-silent"
  | "store-lose"
  | "store-reset"
  | "store-delay"
  | "store-cut"
  | "store-compact"
  | "instance-crash"
  | "instance-drain"
  | "instance-bytes"
  | "release"
  | "configuration";

export interface PlannedFault {
  readonly kind: FaultKind;
  /** From the start of the calls. */
  readonly at: Milliseconds;
  readonly duration: Milliseconds;
  /** The hosts that it strikes, by index. */
  readonly hosts: readonly number[];
}

/**
 * Of a run: `mixed` has any fault; `planned` has planned work and faults of the store only, so that
 * nothing excuses a lost call.
 */
export type PlanTheme = "mixed" | "planned";

interface FaultShape {
  readonly weight: number;
  readonly shortest: Milliseconds;
  readonly longest: Milliseconds;
}

type FaultShapes = Readonly<Partial<Record<FaultKind, FaultShape>>>;

/** Any faults; most of a stop then has an unplanned fault near it. */
const MIXED_SHAPES: FaultShapes = {
  "kill": { weight: 3, shortest: 100, longest: 1_500 },
  "kill-many": { weight: 1, shortest: 100, longest: 1_000 },
  "terminate": { weight: 3, shortest: 0, longest: 300 },
  "pause": { weight: 2, shortest: 200, longest: 4_000 },
  "reload": { weight: 1, shortest: 0, longest: 0 },
  "link-delay": { weight: 1, shortest: 500, longest: 3_000 },
  "link-silent": { weight: 2, shortest: 500, longest: 4_000 },
  "link-one-way": { weight: 1, shortest: 500, longest: 4_000 },
  "link-reset": { weight: 2, shortest: 0, longest: 200 },
  "store-refuse": { weight: 1, shortest: 500, longest: 4_000 },
  "store-silent": { weight: 1, shortest: 500, longest: 4_000 },
  "store-lose": { weight: 1, shortest: 500, longest: 3_000 },
  "store-reset": { weight: 1, shortest: 500, longest: 3_000 },
  "store-delay": { weight: 1, shortest: 500, longest: 3_000 },
  "store-cut": { weight: 2, shortest: 500, longest: 4_000 },
  "store-compact": { weight: 1, shortest: 0, longest: 0 },
  "instance-crash": { weight: 2, shortest: 200, longest: 2_000 },
  "instance-drain": { weight: 2, shortest: 0, longest: 500 },
  "configuration": { weight: 5, shortest: 0, longest: 0 },
};

/** A stream of their own, so that the other faults of a seed stay as they are. */
const INSTANCE_SHAPES: FaultShapes = {
  "instance-bytes": { weight: 1, shortest: 500, longest: 3_000 },
};
/** Beside the rolls of stops. */
const PLANNED_SHAPES: FaultShapes = {
  "reload": { weight: 2, shortest: 0, longest: 0 },
  "store-refuse": { weight: 1, shortest: 500, longest: 4_000 },
  "store-silent": { weight: 1, shortest: 500, longest: 4_000 },
  "store-lose": { weight: 1, shortest: 500, longest: 3_000 },
  "store-reset": { weight: 1, shortest: 500, longest: 3_000 },
  "store-delay": { weight: 1, shortest: 500, longest: 3_000 },
  "store-compact": { weight: 1, shortest: 0, longest: 0 },
  "instance-drain": { weight: 2, shortest: 0, longest: 500 },
  "release": { weight: 1, shortest: 0, longest: 0 },
  "configuration": { weight: 5, shortest: 0, longest: 0 },
};

/** The mean time between the starts of two faults. */
const MEAN_GAP_MS: Milliseconds = 900;
const INSTANCE_GAP_MS: Milliseconds = 5_000;
const PLANNED_GAP_MS: Milliseconds = 1_500;
/** Part of the faults that repeat the kind and the hosts of the one before: a series. */
const SERIES_PART = 0.25;
/** Stops of one roll begin this long after each other at most; a stop takes about 6 s. */
const LONGEST_STOP_GAP_MS: Milliseconds = 2_500;
/** Part of the rolls in which the hosts are stopped at the same moment. */
const AT_ONCE_PART = 0.25;

export interface PlanOptions {
  readonly seed: number;
  readonly hosts: number;
  readonly duration: Milliseconds;
}

interface StreamOptions {
  readonly shapes: FaultShapes;
  readonly meanGap: Milliseconds;
  readonly random: RandomSource;
}

/** Even seeds have planned work only. */
export function themeOf(seed: number): PlanTheme {
  return seed % 2 === 0 ? "planned" : "mixed";
}

export function planFaults(options: PlanOptions): readonly PlannedFault[] {
  const random = createRandomSource(options.seed);
  const other = createRandomSource(options.seed + 0.5);
  const faults = themeOf(options.seed) === "mixed"
    ? [
      ...drawFaults(options, {
        shapes: MIXED_SHAPES,
        meanGap: MEAN_GAP_MS,
        random,
      }),
      ...drawFaults(options, {
        shapes: INSTANCE_SHAPES,
        meanGap: INSTANCE_GAP_MS,
        random: other,
      }),
    ]
    : [
      ...drawRolls(options, random),
      ...drawFaults(options, {
        shapes: PLANNED_SHAPES,
        meanGap: PLANNED_GAP_MS,
        random: other,
      }),
    ];
  return faults.sort((left, right) => left.at - right.at);
}

/** Stops of several daemons in turn or at once, one roll after the other. */
function drawRolls(
  { hosts, duration }: PlanOptions,
  random: RandomSource,
): PlannedFault[] {
  const faults: PlannedFault[] = [];
  let at = MEAN_GAP_MS;
  while (at < duration) {
    const order = Array.from({ length: hosts }, (_, index) => index)
      .map((index) => ({ index, key: random.nextFraction() }))
      .sort((left, right) => left.key - right.key);
    const gap = random.nextFraction() < AT_ONCE_PART
      ? 0
      : random.nextFraction() * LONGEST_STOP_GAP_MS;
    const struck = order.slice(0, 1 + random.nextInteger(hosts));
    for (const { index } of struck) {
      faults.push({
        kind: "terminate",
        at: Math.round(at),
        duration: 0,
        hosts: [index],
      });
      at += gap;
    }
    at += 4 * MEAN_GAP_MS * random.nextFraction();
  }
  return faults.filter((fault) => fault.at < duration);
}

function drawFaults(
  options: PlanOptions,
  { shapes, meanGap, random }: StreamOptions,
): PlannedFault[] {
  const faults: PlannedFault[] = [];
  let at = meanGap;
  while (at < options.duration) {
    const before = faults.at(-1);
    const isSeries = before !== undefined &&
      random.nextFraction() < SERIES_PART;
    const kind = isSeries ? before.kind : drawKind(shapes, random);
    const hosts = isSeries ? before.hosts : drawHosts(kind, options, random);
    const { shortest, longest } = shapes[kind]!;
    const duration = Math.round(
      shortest + random.nextFraction() * (longest - shortest),
    );
    faults.push({ kind, at: Math.round(at), duration, hosts });
    at += 2 * meanGap * random.nextFraction();
  }
  return faults;
}

function drawKind(shapes: FaultShapes, random: RandomSource): FaultKind {
  const kinds = Object.entries(shapes) as [FaultKind, FaultShape][];
  const total = kinds.reduce((sum, [, { weight }]) => sum + weight, 0);
  let rest = random.nextFraction() * total;
  for (const [kind, { weight }] of kinds) {
    rest -= weight;
    if (rest < 0) {
      return kind;
    }
  }
  return kinds[0][0];
}

function drawHosts(
  kind: FaultKind,
  { hosts }: PlanOptions,
  random: RandomSource,
): readonly number[] {
  if (kind === "kill-many") {
    return Array.from({ length: hosts }, (_, index) => index)
      .filter(() => random.nextFraction() < 0.7);
  }
  return [random.nextInteger(hosts)];
}
