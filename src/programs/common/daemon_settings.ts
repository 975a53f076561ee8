/**
 * The settings of a daemon.
 *
 * @module
 */

import * as valibot from "valibot";
import {
  addressValue,
  nameValue,
  wholeNumber,
} from "../../world/common/value_schemas.ts";
import {
  listenPortValue,
  logValue,
  targetPortValue,
} from "./setting_values.ts";

const KIBIBYTE = 1_024;
const MEBIBYTE = 1_024 * KIBIBYTE;
const HASH_PATTERN = /^[0-9a-f]{64}$/;

const seedSchema = valibot.strictObject({
  host: nameValue,
  address: addressValue,
  linkPort: targetPortValue,
});

const tokenSchema = valibot.strictObject({
  /** SHA-256 of the token in lower-case hexadecimal digits; the token itself is not stored. */
  sha256: valibot.pipe(valibot.string(), valibot.regex(HASH_PATTERN)),
  team: nameValue,
  mayPublish: valibot.optional(valibot.boolean(), false),
  /** The customers whose contracts the team may change; `*` stands for all. */
  customers: valibot.optional(
    valibot.array(valibot.union([valibot.literal("*"), nameValue])),
    [],
  ),
});

const limitsSchema = valibot.strictObject({
  /** A longer body of a call is refused before any of it is sent on. */
  maximumCallBodyBytes: valibot.optional(
    wholeNumber({ least: KIBIBYTE, most: 64 * MEBIBYTE }),
    32 * MEBIBYTE,
  ),
  /** Further calls are refused, whatever their customer. */
  maximumCallsInFlight: valibot.optional(
    wholeNumber({ least: 1, most: 65_536 }),
    1_024,
  ),
  maximumAdministrationBodyBytes: valibot.optional(
    wholeNumber({ least: KIBIBYTE, most: 16 * MEBIBYTE }),
    MEBIBYTE,
  ),
  /** How long a stopping daemon waits for calls in flight before it cuts them. */
  drainMilliseconds: valibot.optional(
    wholeNumber({ least: 0, most: 600_000 }),
    30_000,
  ),
  /** Events that `GET /events` can return; older ones are in the log file only. */
  retainedEvents: valibot.optional(
    wholeNumber({ least: 0, most: 100_000 }),
    2_000,
  ),
});

export const daemonSettingsSchema = valibot.strictObject({
  host: nameValue,
  failureDomain: nameValue,
  /** The address on which all ports listen and at which other hosts reach this one. */
  address: addressValue,
  proxyPort: valibot.optional(listenPortValue, 7_100),
  administrationPort: valibot.optional(listenPortValue, 7_101),
  linkPort: valibot.optional(listenPortValue, 7_102),
  /** Daemons to contact first; the others are learnt from them. */
  seeds: valibot.optional(valibot.array(seedSchema), []),
  platform: valibot.strictObject({
    address: addressValue,
    port: targetPortValue,
  }),
  log: valibot.optional(logValue, {}),
  tokens: valibot.optional(valibot.array(tokenSchema), []),
  limits: valibot.optional(limitsSchema, {}),
});

export type DaemonSettings = valibot.InferOutput<typeof daemonSettingsSchema>;
