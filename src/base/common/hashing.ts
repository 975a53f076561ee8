/**
 * Hashing of text, and rendezvous hashing of names.
 *
 * @module
 */

import MurmurHash3 from "imurmurhash";

const HASH_RANGE = 2 ** 32;

/** Returns the 32-bit MurmurHash3 of a text. */
export function hashText(text: string): number {
  return MurmurHash3(text).result();
}

/** Returns the hash of a text as a fraction from 0 (included) to 1 (excluded). */
export function hashToFraction(text: string): number {
  return hashText(text) / HASH_RANGE;
}

/**
 * Orders candidates by their rendezvous weight for a key, highest first. Removing a candidate does not change the
 * order of the others.
 */
export function rankByRendezvous<T extends string>(
  key: string,
  candidates: Iterable<T>,
): T[] {
  const weighted = [...candidates].map((name) => ({
    name,
    weight: hashText(`${key}|${name}`),
  }));
  weighted.sort((left, right) =>
    right.weight - left.weight || (left.name < right.name ? -1 : 1)
  );
  return weighted.map(({ name }) => name);
}
