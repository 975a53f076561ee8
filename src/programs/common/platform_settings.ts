/**
 * The settings of the stand-in for the platform log.
 *
 * @module
 */

import * as valibot from "valibot";
import {
  addressSchema,
  integerBetween,
} from "../../world/common/value_schemas.ts";
import { listenPortSchema, logSchema } from "./setting_schemas.ts";

const HOUR_MS = 3_600_000;

export const platformSettingsSchema = valibot.strictObject({
  address: addressSchema,
  port: valibot.optional(listenPortSchema, 7_000),
  /** Records older than this are dropped. */
  retentionMilliseconds: valibot.optional(
    integerBetween({ minimum: 1_000, maximum: 30 * 24 * HOUR_MS }),
    24 * HOUR_MS,
  ),
  /** Appends beyond this rate are refused. */
  maximumAppendsPerSecond: valibot.optional(
    integerBetween({ minimum: 1, maximum: 100_000 }),
    300,
  ),
  log: valibot.optional(logSchema, {}),
});

export type PlatformSettings = valibot.InferOutput<
  typeof platformSettingsSchema
>;
