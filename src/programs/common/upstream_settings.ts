/**
 * The settings of an upstream stand-in.
 *
 * @module
 */

import * as valibot from "valibot";
import {
  addressValue,
  nameValue,
  numberBetween,
  wholeNumber,
} from "../../world/common/value_schemas.ts";
import {
  listenPortValue,
  logValue,
  targetPortValue,
} from "./setting_values.ts";

export const upstreamSettingsSchema = valibot.strictObject({
  service: nameValue,
  version: nameValue,
  address: addressValue,
  port: valibot.optional(listenPortValue, 0),
  /** The administration port of the daemon on the same host, which takes the announcements. */
  administrationPort: valibot.optional(targetPortValue, 7_101),
  /** Calls that the instance handles at a time. */
  slots: valibot.optional(wholeNumber({ least: 1, most: 10_000 }), 16),
  /** How long the instance works on a call. */
  workMilliseconds: valibot.optional(
    wholeNumber({ least: 0, most: 60_000 }),
    5,
  ),
  /** Part of the calls that fail, 0 to 1; a bad version is tried with it. */
  failureShare: valibot.optional(
    numberBetween({ least: 0, most: 1 }),
    0,
  ),
  log: valibot.optional(logValue, {}),
});

export type UpstreamSettings = valibot.InferOutput<
  typeof upstreamSettingsSchema
>;
