/**
 * Idempotency keys of the form `FAILURE-DOMAIN.UUID`, with a version 7 UUID (RFC 9562).
 *
 * @module
 */

import {
  type Milliseconds,
  MINUTE_MS,
} from "../../../base/common/milliseconds.ts";
import type { FailureDomainName } from "../../../world/common/names.ts";

/** A key cannot be claimed after this time, since owners discard claims. */
export const KEY_LIFETIME_MS: Milliseconds = 10 * MINUTE_MS;

/** The largest difference between the clocks of callers and daemons. */
export const CLOCK_ERROR_MS: Milliseconds = 2_000;

const MAXIMUM_KEY_LENGTH = 200;
const KEY_PATTERN =
  /^([A-Za-z0-9][\w.-]*)\.([0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12})$/i;
const TIMESTAMP_DIGITS = 12;

export interface IdempotencyKey {
  /** The key with the UUID in lower case, so that equal keys have equal texts. */
  readonly text: string;
  /** The failure domain whose daemons own the key. */
  readonly homeDomain: FailureDomainName;
  /** The timestamp of the UUID, on the caller's clock. */
  readonly createdAt: Milliseconds;
}

/** Parses a key; undefined if it does not have the required format. */
export function parseIdempotencyKey(text: string): IdempotencyKey | undefined {
  const match = text.length <= MAXIMUM_KEY_LENGTH
    ? KEY_PATTERN.exec(text)
    : null;
  if (match === null) {
    return undefined;
  }
  const uuid = match[2].toLowerCase();
  const timestamp = uuid.replace("-", "").slice(0, TIMESTAMP_DIGITS);
  return {
    text: `${match[1]}.${uuid}`,
    homeDomain: match[1],
    createdAt: Number.parseInt(timestamp, 16),
  };
}

/** Returns why a key is too old or too new to be claimed; undefined if it can be claimed. */
export function findAgeProblem(
  { createdAt }: IdempotencyKey,
  now: Milliseconds,
): string | undefined {
  if (now - createdAt > KEY_LIFETIME_MS) {
    return "The key is older than 10 minutes";
  }
  if (createdAt - now > CLOCK_ERROR_MS) {
    return "The key's timestamp is more than 2 seconds in the future";
  }
  return undefined;
}
