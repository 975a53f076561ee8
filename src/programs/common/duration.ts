/**
 * Parses durations on the command line.
 *
 * @module
 */

import type { Milliseconds } from "../../base/common/milliseconds.ts";

const DURATION_PATTERN = /^(\d{1,9})(ms|s|m|h)$/;
const UNIT_MS: Readonly<Record<string, Milliseconds>> = {
  ms: 1,
  s: 1_000,
  m: 60_000,
  h: 3_600_000,
};

/** Parses a duration such as `500ms`, `30s`, `10m` or `2h`; undefined when it is malformed. */
export function parseDuration(text: string): Milliseconds | undefined {
  const match = DURATION_PATTERN.exec(text);
  return match === null ? undefined : Number(match[1]) * UNIT_MS[match[2]];
}
