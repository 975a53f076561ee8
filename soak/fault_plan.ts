/**
 * Draws the faults of a run from its seed. Faults may repeat and overlap.
 *
 * @module
 */

import type { Milliseconds } from "../src/base/common/milliseconds.ts";
import {
  createRandomSource,
  type RandomSource,
} from "../src/base/common/random_source.ts";
import type { SoakParts } from "./soak_parts.ts";

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
  | "instance-limit"
  | "instance-cold"
  | "evacuation"
  | "release"
  | "configuration";

export interface PlannedFault {
  readonly kind: FaultKind;
  /** Time since the start of the faults. */
  readonly at: Milliseconds;
  readonly duration: Milliseconds;
  /** Indexes of the affected hosts. */
  readonly hosts: readonly number[];
}

/**
 * `mixed` has any fault; `planned` has only planned work and faults of the store, which do not
 * excuse a lost call.
 */
export type PlanTheme = "mixed" | "planned";

interface FaultDistribution {
  readonly weight: number;
  readonly minimumDuration: Milliseconds;
  readonly maximumDuration: Milliseconds;
}

type FaultDistributions = Readonly<
  Partial<Record<FaultKind, FaultDistribution>>
>;

/** Any fault. An unplanned fault is then near most of the time of a stop. */
const MIXED_FAULTS: FaultDistributions = {
  "kill": { weight: 3, minimumDuration: 100, maximumDuration: 1_500 },
  "kill-many": { weight: 1, minimumDuration: 100, maximumDuration: 1_000 },
  "terminate": { weight: 3, minimumDuration: 0, maximumDuration: 300 },
  "pause": { weight: 2, minimumDuration: 200, maximumDuration: 4_000 },
  "reload": { weight: 1, minimumDuration: 0, maximumDuration: 0 },
  "link-delay": { weight: 1, minimumDuration: 500, maximumDuration: 3_000 },
  "link-silent": { weight: 2, minimumDuration: 500, maximumDuration: 4_000 },
  "link-one-way": { weight: 1, minimumDuration: 500, maximumDuration: 4_000 },
  "link-reset": { weight: 2, minimumDuration: 0, maximumDuration: 200 },
  "store-refuse": { weight: 1, minimumDuration: 500, maximumDuration: 4_000 },
  "store-silent": { weight: 1, minimumDuration: 500, maximumDuration: 4_000 },
  "store-lose": { weight: 1, minimumDuration: 500, maximumDuration: 3_000 },
  "store-reset": { weight: 1, minimumDuration: 500, maximumDuration: 3_000 },
  "store-delay": { weight: 1, minimumDuration: 500, maximumDuration: 3_000 },
  "store-cut": { weight: 2, minimumDuration: 500, maximumDuration: 4_000 },
  "store-compact": { weight: 1, minimumDuration: 0, maximumDuration: 0 },
  "instance-crash": { weight: 2, minimumDuration: 200, maximumDuration: 2_000 },
  "instance-drain": { weight: 2, minimumDuration: 0, maximumDuration: 500 },
  "configuration": { weight: 5, minimumDuration: 0, maximumDuration: 0 },
};

/** Drawn from a separate random source, so that they do not change the other faults of a seed. */
const INSTANCE_FAULTS: FaultDistributions = {
  "instance-bytes": { weight: 1, minimumDuration: 500, maximumDuration: 3_000 },
};

/** Drawn from a separate random source for every seed. */
const LIMIT_FAULTS: FaultDistributions = {
  "instance-limit": {
    weight: 1,
    minimumDuration: 4_000,
    maximumDuration: 9_000,
  },
};

/** Drawn from a separate random source for the seeds that have cold instances. */
const COLD_FAULTS: FaultDistributions = {
  "instance-cold": {
    weight: 1,
    minimumDuration: 1_000,
    maximumDuration: 4_000,
  },
};

/** Drawn from a separate random source for the seeds that have evacuations; most outlast the other faults. */
const EVACUATION_FAULTS: FaultDistributions = {
  "evacuation": {
    weight: 1,
    minimumDuration: 7_000,
    maximumDuration: 14_000,
  },
};

/** Faults that are drawn in addition to the rolling stops. */
const PLANNED_WORK_FAULTS: FaultDistributions = {
  "reload": { weight: 2, minimumDuration: 0, maximumDuration: 0 },
  "store-refuse": { weight: 1, minimumDuration: 500, maximumDuration: 4_000 },
  "store-silent": { weight: 1, minimumDuration: 500, maximumDuration: 4_000 },
  "store-lose": { weight: 1, minimumDuration: 500, maximumDuration: 3_000 },
  "store-reset": { weight: 1, minimumDuration: 500, maximumDuration: 3_000 },
  "store-delay": { weight: 1, minimumDuration: 500, maximumDuration: 3_000 },
  "store-compact": { weight: 1, minimumDuration: 0, maximumDuration: 0 },
  "instance-drain": { weight: 2, minimumDuration: 0, maximumDuration: 500 },
  "release": { weight: 1, minimumDuration: 0, maximumDuration: 0 },
  "configuration": { weight: 5, minimumDuration: 0, maximumDuration: 0 },
};

/** The mean time between the starts of two faults. */
const MEAN_FAULT_GAP_MS: Milliseconds = 900;
const MEAN_INSTANCE_FAULT_GAP_MS: Milliseconds = 5_000;
const MEAN_LIMIT_GAP_MS: Milliseconds = 6_000;
const MEAN_COLD_GAP_MS: Milliseconds = 2_000;
const MEAN_EVACUATION_GAP_MS: Milliseconds = 4_000;
const MEAN_PLANNED_WORK_GAP_MS: Milliseconds = 1_500;
/** Share of the faults that repeat the kind and the hosts of the previous one. */
const REPEATED_FAULT_SHARE = 0.25;
/** Maximum time between the starts of two stops of one series; a stop takes about 6 s. */
const MAXIMUM_STOP_GAP_MS: Milliseconds = 2_500;
/** Share of the series of stops in which all hosts are stopped at the same time. */
const SIMULTANEOUS_STOP_SHARE = 0.25;

export interface PlanOptions {
  readonly seed: number;
  readonly hosts: number;
  readonly duration: Milliseconds;
  /** Without cold instances and evacuations when absent. */
  readonly parts?: Pick<SoakParts, "hasColdInstances" | "hasEvacuations">;
}

interface FaultStreamOptions {
  readonly distributions: FaultDistributions;
  readonly meanGap: Milliseconds;
  readonly random: RandomSource;
}

/** Even seeds have the theme `planned`, odd seeds `mixed`. */
export function getPlanTheme(seed: number): PlanTheme {
  return seed % 2 === 0 ? "planned" : "mixed";
}

export function planFaults(options: PlanOptions): readonly PlannedFault[] {
  const random = createRandomSource(options.seed);
  const secondRandom = createRandomSource(options.seed + 0.5);
  const faults = getPlanTheme(options.seed) === "mixed"
    ? [
      ...drawFaults(options, {
        distributions: MIXED_FAULTS,
        meanGap: MEAN_FAULT_GAP_MS,
        random,
      }),
      ...drawFaults(options, {
        distributions: INSTANCE_FAULTS,
        meanGap: MEAN_INSTANCE_FAULT_GAP_MS,
        random: secondRandom,
      }),
    ]
    : [
      ...planRollingStops(options, random),
      ...drawFaults(options, {
        distributions: PLANNED_WORK_FAULTS,
        meanGap: MEAN_PLANNED_WORK_GAP_MS,
        random: secondRandom,
      }),
    ];
  const limits = drawFaults(options, {
    distributions: LIMIT_FAULTS,
    meanGap: MEAN_LIMIT_GAP_MS,
    random: createRandomSource(options.seed + 0.25),
  });
  return [...faults, ...limits, ...planParts(options)]
    .sort((left, right) => left.at - right.at);
}

function planParts(options: PlanOptions): readonly PlannedFault[] {
  const { seed, parts } = options;
  return [
    ...parts?.hasColdInstances === true
      ? drawFaults(options, {
        distributions: COLD_FAULTS,
        meanGap: MEAN_COLD_GAP_MS,
        random: createRandomSource(seed + 0.625),
      })
      : [],
    ...parts?.hasEvacuations === true
      ? drawFaults(options, {
        distributions: EVACUATION_FAULTS,
        meanGap: MEAN_EVACUATION_GAP_MS,
        random: createRandomSource(seed + 0.75),
      })
      : [],
  ];
}

/** Plans series of stops, each of several daemons, one after the other or at the same time. */
function planRollingStops(
  { hosts, duration }: PlanOptions,
  random: RandomSource,
): PlannedFault[] {
  const faults: PlannedFault[] = [];
  let at = MEAN_FAULT_GAP_MS;
  while (at < duration) {
    const order = Array.from({ length: hosts }, (_, index) => index)
      .map((index) => ({ index, key: random.nextFraction() }))
      .sort((left, right) => left.key - right.key);
    const gap = random.nextFraction() < SIMULTANEOUS_STOP_SHARE
      ? 0
      : random.nextFraction() * MAXIMUM_STOP_GAP_MS;
    const stopped = order.slice(0, 1 + random.nextInteger(hosts));
    for (const { index } of stopped) {
      faults.push({
        kind: "terminate",
        at: Math.round(at),
        duration: 0,
        hosts: [index],
      });
      at += gap;
    }
    at += 4 * MEAN_FAULT_GAP_MS * random.nextFraction();
  }
  return faults.filter((fault) => fault.at < duration);
}

function drawFaults(
  options: PlanOptions,
  { distributions, meanGap, random }: FaultStreamOptions,
): PlannedFault[] {
  const faults: PlannedFault[] = [];
  let at = meanGap;
  while (at < options.duration) {
    const previous = faults.at(-1);
    const isRepeated = previous !== undefined &&
      random.nextFraction() < REPEATED_FAULT_SHARE;
    const kind = isRepeated ? previous.kind : drawKind(distributions, random);
    const hosts = isRepeated
      ? previous.hosts
      : drawHosts(kind, options, random);
    const { minimumDuration, maximumDuration } = distributions[kind]!;
    const duration = Math.round(
      minimumDuration +
        random.nextFraction() * (maximumDuration - minimumDuration),
    );
    faults.push({ kind, at: Math.round(at), duration, hosts });
    at += 2 * meanGap * random.nextFraction();
  }
  return faults;
}

function drawKind(
  distributions: FaultDistributions,
  random: RandomSource,
): FaultKind {
  const kinds = Object.entries(distributions) as [
    FaultKind,
    FaultDistribution,
  ][];
  const total = kinds.reduce((sum, [, { weight }]) => sum + weight, 0);
  let remainder = random.nextFraction() * total;
  for (const [kind, { weight }] of kinds) {
    remainder -= weight;
    if (remainder < 0) {
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
