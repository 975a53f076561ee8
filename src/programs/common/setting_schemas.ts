/**
 * Value schemas that only settings files use.
 *
 * @module
 */

import * as valibot from "valibot";
import { integerBetween } from "../../world/common/value_schemas.ts";

const MAXIMUM_PORT = 65_535;

/** A port to listen on; 0 selects any free port. */
export const listenPortSchema = integerBetween({
  minimum: 0,
  maximum: MAXIMUM_PORT,
});

/** A port to connect to. */
export const targetPortSchema = integerBetween({
  minimum: 1,
  maximum: MAXIMUM_PORT,
});

/** The log level and log file of a process. Without a file it logs to standard error. */
export const logSchema = valibot.strictObject({
  level: valibot.optional(
    valibot.picklist(["error", "warn", "info", "debug"]),
    "info",
  ),
  file: valibot.optional(valibot.pipe(valibot.string(), valibot.nonEmpty())),
});
