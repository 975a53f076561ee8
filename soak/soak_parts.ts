/**
 * The parts of a deployment that a run has besides hosts, instances and routes.
 *
 * @module
 */

import { createRandomSource } from "../src/base/common/random_source.ts";
import { usesAccounts } from "./soak_accounts.ts";

export interface SoakParts {
  /** Clients present the keys of accounts. */
  readonly hasAccounts: boolean;
  /** Instances are cold after their start, and become cold at other times. */
  readonly hasColdInstances: boolean;
  /** Failure domains are evacuated. */
  readonly hasEvacuations: boolean;
  /** Hosts change their speed several times a second, and instances state it. */
  readonly hasUnevenSpeed: boolean;
}

/** Each part is in every third seed on average, independently of the others. */
const PART_SHARE = 1 / 3;

export function drawSoakParts(seed: number): SoakParts {
  // A separate source, so that seeds without these parts draw the same faults and calls as before.
  const random = createRandomSource(seed + 0.125);
  const draw = () => random.nextFraction() < PART_SHARE;
  return {
    hasAccounts: usesAccounts(seed),
    hasColdInstances: draw(),
    hasEvacuations: draw(),
    hasUnevenSpeed: draw(),
  };
}
