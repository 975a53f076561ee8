/**
 * Idempotency keys of the form `FAILURE-DOMAIN.UUID`, with a UUID of version 7 (RFC 9562).
 *
 * @module
 */

import {
  type Milliseconds,
  MINUTE_MS,
} from "../../../base/common/milliseconds.ts";
import type { FailureDomainName } from "../../../world/common/names.ts";

/** Owners forget claims, so that a key is of no use after this time. */
export const KEY_LIFETIME_MS: Milliseconds = 10 * MINUTE_MS;

/** The largest difference between two clocks of callers and daemons. */
export const CLOCK_ERROR_MS: Milliseconds = 2_000;

const MAXIMUM_KEY_LENGTH = 200;
const KEY_FORM =
  /^([A-Za-z0-9][\w.-]*)\.([0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12})$/i;
const TIMESTAMP_DIGITS = 12;

export interface IdempotencyKey {
  /** The key in the form in which equal keys are equal texts. */
  readonly text: string;
  readonly home: FailureDomainName;
  readonly createdAt: Milliseconds;
}

/** Reads a key; undefined when it has not the required form. */
export function parseIdempotencyKey(text: string): IdempotencyKey | undefined {
  const match = text.length <= MAXIMUM_KEY_LENGTH ? KEY_FORM.exec(text) : null;
  if (match === null) {
    return undefined;
  }
  const uuid = match[2].toLowerCase();
  const timestamp = uuid.replace("-", "").slice(0, TIMESTAMP_DIGITS);
  return {
    text: `${match[1]}.${uuid}`,
    home: match[1],
    createdAt: Number.parseInt(timestamp, 16),
  };
}

/** Why a key cannot be claimed at this time; undefined when it can. */
export function findAgeFault(
  { createdAt }: IdempotencyKey,
  now: Milliseconds,
): string | undefined {
  if (now - createdAt > KEY_LIFETIME_MS) {
    return "The key is older than 10 minutes";
  }
  if (createdAt - now > CLOCK_ERROR_MS) {
    return "The key was created later than the clocks' error allows";
  }
  return undefined;
}
