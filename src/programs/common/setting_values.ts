/**
 * Kinds of values that only settings files use.
 *
 * @module
 */

import * as valibot from "valibot";
import { wholeNumber } from "../../world/common/value_schemas.ts";

const MAXIMUM_PORT = 65_535;

/** A port to listen on; 0 takes any free port. */
export const listenPortValue = wholeNumber({ least: 0, most: MAXIMUM_PORT });

/** A port to connect to. */
export const targetPortValue = wholeNumber({ least: 1, most: MAXIMUM_PORT });

/** Where and how much a process logs. Without a file it logs to standard error. */
export const logValue = valibot.strictObject({
  level: valibot.optional(
    valibot.picklist(["error", "warn", "info", "debug"]),
    "info",
  ),
  file: valibot.optional(valibot.pipe(valibot.string(), valibot.nonEmpty())),
});
