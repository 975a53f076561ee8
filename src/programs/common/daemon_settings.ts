/**
 * The settings of a daemon.
 *
 * @module
 */

import * as valibot from "valibot";
import {
  addressSchema,
  integerBetween,
  nameSchema,
} from "../../world/common/value_schemas.ts";
import {
  listenPortSchema,
  logSchema,
  targetPortSchema,
} from "./setting_schemas.ts";

const KIBIBYTE = 1_024;
const MEBIBYTE = 1_024 * KIBIBYTE;
const HASH_PATTERN = /^[0-9a-f]{64}$/;

const seedSchema = valibot.strictObject({
  host: nameSchema,
  address: addressSchema,
  linkPort: targetPortSchema,
});

const tokenSchema = valibot.strictObject({
  /** SHA-256 of the token in lower-case hexadecimal digits; the token itself is not stored. */
  sha256: valibot.pipe(valibot.string(), valibot.regex(HASH_PATTERN)),
  team: nameSchema,
  mayPublish: valibot.optional(valibot.boolean(), false),
  /** The customers whose contracts the team may change; `*` stands for all. */
  customers: valibot.optional(
    valibot.array(valibot.union([valibot.literal("*"), nameSchema])),
    [],
  ),
});

const limitsSchema = valibot.strictObject({
  /** A call with a larger body is refused before any of it is forwarded. */
  maximumCallBodyBytes: valibot.optional(
    integerBetween({ minimum: KIBIBYTE, maximum: 64 * MEBIBYTE }),
    32 * MEBIBYTE,
  ),
  /** Calls beyond this number are refused, for all customers together. */
  maximumCallsInFlight: valibot.optional(
    integerBetween({ minimum: 1, maximum: 65_536 }),
    1_024,
  ),
  maximumAdministrationBodyBytes: valibot.optional(
    integerBetween({ minimum: KIBIBYTE, maximum: 16 * MEBIBYTE }),
    MEBIBYTE,
  ),
  /** How long a stopping daemon waits for calls in flight before it closes their connections. */
  drainMilliseconds: valibot.optional(
    integerBetween({ minimum: 0, maximum: 600_000 }),
    30_000,
  ),
  /** Number of events kept for `GET /events`; older ones are in the log file only. */
  retainedEvents: valibot.optional(
    integerBetween({ minimum: 0, maximum: 100_000 }),
    2_000,
  ),
});

export const daemonSettingsSchema = valibot.strictObject({
  host: nameSchema,
  failureDomain: nameSchema,
  /** The address that all ports listen on and that other hosts connect to. */
  address: addressSchema,
  proxyPort: valibot.optional(listenPortSchema, 7_100),
  administrationPort: valibot.optional(listenPortSchema, 7_101),
  linkPort: valibot.optional(listenPortSchema, 7_102),
  /** Daemons to contact first; they supply the addresses of the others. */
  seeds: valibot.optional(valibot.array(seedSchema), []),
  platform: valibot.strictObject({
    address: addressSchema,
    port: targetPortSchema,
  }),
  log: valibot.optional(logSchema, {}),
  tokens: valibot.optional(valibot.array(tokenSchema), []),
  limits: valibot.optional(limitsSchema, {}),
});

export type DaemonSettings = valibot.InferOutput<typeof daemonSettingsSchema>;
