/**
 * Schemas of values that settings files and documents share.
 *
 * @module
 */

import * as valibot from "valibot";

/** Names appear in URLs, log lines and metric labels, where they must not need quoting. */
const NAME_PATTERN = /^[a-z0-9][a-z0-9._-]{0,62}$/;
const IDENTITY_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/;

/** The name of a host, failure domain, customer, service, route, team or version. */
export const nameSchema = valibot.pipe(
  valibot.string(),
  valibot.regex(NAME_PATTERN),
);

/** The identity of a change or move, chosen by its author. */
export const identitySchema = valibot.pipe(
  valibot.string(),
  valibot.regex(IDENTITY_PATTERN),
);

/** An IP address. Host names are not allowed, because there is no name service. */
export const addressSchema = valibot.pipe(valibot.string(), valibot.ip());

export interface Bounds {
  readonly minimum: number;
  readonly maximum: number;
}

/** Returns a schema for a whole number within inclusive bounds. */
export function integerBetween(bounds: Bounds) {
  return valibot.pipe(
    valibot.number(),
    valibot.integer(),
    valibot.minValue(bounds.minimum),
    valibot.maxValue(bounds.maximum),
  );
}

/** Returns a schema for a number within inclusive bounds. */
export function numberBetween(bounds: Bounds) {
  return valibot.pipe(
    valibot.number(),
    valibot.minValue(bounds.minimum),
    valibot.maxValue(bounds.maximum),
  );
}
