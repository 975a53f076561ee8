/**
 * Seeded random numbers, which make decisions reproducible.
 *
 * @module
 */

import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { hashText } from "./hashing.ts";

export interface RandomSource {
  /** A number from 0 (included) to 1 (excluded). */
  nextFraction(): number;
  /** A whole number from 0 (included) to `limit` (excluded); `limit` is at least 1. */
  nextInteger(limit: number): number;
}

export function createRandomSource(seed: number): RandomSource {
  // Without the hash, the first numbers of consecutive small seeds are almost equal.
  const generator = xoroshiro128plus(hashText(String(seed)) | 0);
  return {
    nextFraction: () => uniformFloat64(generator),
    nextInteger: (limit) => uniformInt(generator, 0, limit - 1),
  };
}
