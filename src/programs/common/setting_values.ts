/**
 * Kinds of values that several settings files share.
 *
 * @module
 */

import * as valibot from "valibot";

/** Names appear in URLs, log lines and metric labels, which must not need quoting. */
const NAME_PATTERN = /^[a-z0-9][a-z0-9.-]{0,62}$/;
const MAXIMUM_PORT = 65_535;

/** The name of a host, failure domain, customer, service, route, team or version. */
export const nameValue = valibot.pipe(
  valibot.string(),
  valibot.regex(NAME_PATTERN),
);

/** Processes reach each other by address; there is no name service. */
export const addressValue = valibot.pipe(valibot.string(), valibot.ip());

/** A port to listen on; 0 takes any free port. */
export const listenPortValue = wholeNumber({ least: 0, most: MAXIMUM_PORT });

/** A port to connect to. */
export const targetPortValue = wholeNumber({ least: 1, most: MAXIMUM_PORT });

export interface Bounds {
  readonly least: number;
  readonly most: number;
}

/** A whole number within bounds, both included. */
export function wholeNumber(bounds: Bounds) {
  return valibot.pipe(
    valibot.number(),
    valibot.integer(),
    valibot.minValue(bounds.least),
    valibot.maxValue(bounds.most),
  );
}

/** Where and how much a process logs. Without a file it logs to standard error. */
export const logValue = valibot.strictObject({
  level: valibot.optional(
    valibot.picklist(["error", "warn", "info", "debug"]),
    "info",
  ),
  file: valibot.optional(valibot.pipe(valibot.string(), valibot.nonEmpty())),
});
