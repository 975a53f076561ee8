/**
 * The settings of a mesh daemon.
 *
 * @module
 */

import * as valibot from "valibot";
import {
  integerBetween,
  numberBetween,
} from "../../world/common/value_schemas.ts";
import { targetPortSchema } from "./setting_schemas.ts";

const DAY_SECONDS = 86_400;

/** `ADDRESS:PORT`. */
const endpointSchema = valibot.pipe(
  valibot.string(),
  valibot.regex(/^[0-9.]+:\d{1,5}$/),
);

const secondsSchema = numberBetween({ minimum: 0, maximum: DAY_SECONDS });

export const meshSettingsSchema = valibot.object({
  host: valibot.pipe(valibot.string(), valibot.nonEmpty()),
  failureDomain: valibot.pipe(valibot.string(), valibot.nonEmpty()),
  address: valibot.pipe(valibot.string(), valibot.ip()),
  /** The service of the instance on this host; a header of each call names it. */
  service: valibot.optional(
    valibot.pipe(valibot.string(), valibot.regex(/^[\x21-\x7e]*$/)),
    "",
  ),
  listen: valibot.object({
    /** Calls of the clients and of the instance on this host. */
    calls: endpointSchema,
    /** Heartbeats of the instance on this host. */
    heartbeats: endpointSchema,
    readiness: endpointSchema,
  }),
  /** The first and last port of the range for links between daemons. */
  internalPorts: valibot.tuple([targetPortSchema, targetPortSchema]),
  /** The endpoint that other daemons connect to, when it differs from the one listened on. */
  announcedLink: valibot.optional(endpointSchema),
  /** The endpoint that serves metrics; without it, none are served. */
  metrics: valibot.optional(endpointSchema),
  store: endpointSchema,
  heartbeatSeconds: secondsSchema,
  /** The time between the stop request and the forced termination. */
  stopSeconds: secondsSchema,
  maximumHeaderBytes: valibot.optional(
    integerBetween({ minimum: 1_024, maximum: 1_048_576 }),
    65_536,
  ),
  logLevel: valibot.optional(
    valibot.picklist(["error", "warn", "info", "debug"]),
    "info",
  ),
});

export type MeshSettings = valibot.InferOutput<typeof meshSettingsSchema>;
