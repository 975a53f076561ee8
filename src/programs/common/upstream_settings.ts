/**
 * The settings of an upstream stand-in.
 *
 * @module
 */

import * as valibot from "valibot";
import {
  addressSchema,
  integerBetween,
  nameSchema,
  numberBetween,
} from "../../world/common/value_schemas.ts";
import {
  listenPortSchema,
  logSchema,
  targetPortSchema,
} from "./setting_schemas.ts";

export const upstreamSettingsSchema = valibot.strictObject({
  service: nameSchema,
  version: nameSchema,
  address: addressSchema,
  port: valibot.optional(listenPortSchema, 0),
  /** The administration port of the daemon on the same host, which receives the announcements. */
  administrationPort: valibot.optional(targetPortSchema, 7_101),
  /** The number of calls that the instance handles concurrently. */
  slots: valibot.optional(integerBetween({ minimum: 1, maximum: 10_000 }), 16),
  /** The service time of a call. */
  workMilliseconds: valibot.optional(
    integerBetween({ minimum: 0, maximum: 60_000 }),
    5,
  ),
  /** The fraction of calls that fail, 0 to 1; simulates a bad version. */
  failureShare: valibot.optional(
    numberBetween({ minimum: 0, maximum: 1 }),
    0,
  ),
  log: valibot.optional(logSchema, {}),
});

export type UpstreamSettings = valibot.InferOutput<
  typeof upstreamSettingsSchema
>;
