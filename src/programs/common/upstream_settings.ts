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
  listenPortSchema,
  logSchema,
  targetPortSchema,
} from "./setting_schemas.ts";

export const upstreamSettingsSchema = valibot.strictObject({
  service: nameValue,
  version: nameValue,
  address: addressValue,
  port: valibot.optional(listenPortSchema, 0),
  /** The administration port of the daemon on the same host, which receives the announcements. */
  administrationPort: valibot.optional(targetPortSchema, 7_101),
  /** The number of calls that the instance handles concurrently. */
  slots: valibot.optional(wholeNumber({ least: 1, most: 10_000 }), 16),
  /** The service time of a call. */
  workMilliseconds: valibot.optional(
    wholeNumber({ least: 0, most: 60_000 }),
    5,
  ),
  /** The fraction of calls that fail, 0 to 1; simulates a bad version. */
  failureShare: valibot.optional(
    numberBetween({ least: 0, most: 1 }),
    0,
  ),
  log: valibot.optional(logSchema, {}),
});

export type UpstreamSettings = valibot.InferOutput<
  typeof upstreamSettingsSchema
>;
