/**
 * The schema of log records. An invalid record is refused with the field and the reason.
 *
 * @module
 */

import * as valibot from "valibot";
import { Err, Ok, type Result } from "../../../base/common/result.ts";
import {
  decodeMessage,
  encodeMessage,
} from "../../../base/common/message_codec.ts";
import {
  type LogRecord,
  RECORD_SCHEMA_VERSION,
} from "../../../world/common/log_record.ts";

const MAXIMUM_NAME_LENGTH = 128;

const NAME = valibot.pipe(
  valibot.string(),
  valibot.regex(/^[^\s\p{C}](.*[^\s\p{C}])?$/u, "is not a name"),
  valibot.maxLength(MAXIMUM_NAME_LENGTH),
);
const REASON = valibot.pipe(valibot.string(), valibot.maxLength(1_000));
const TIMESTAMP = valibot.pipe(valibot.number(), valibot.finite());
const NON_NEGATIVE_NUMBER = valibot.pipe(
  valibot.number(),
  valibot.finite(),
  valibot.minValue(0),
);
const COUNT = valibot.pipe(NON_NEGATIVE_NUMBER, valibot.integer());
const VERSION = valibot.pipe(
  valibot.number(),
  valibot.integer(),
  valibot.minValue(-1),
);
const PATH = valibot.pipe(
  valibot.string(),
  // Dot segments, empty segments and percent escapes would give one resource several paths.
  valibot.regex(
    /^\/$|^(\/(?!\.{1,2}(\/|$))[^\s/?#%]+)+\/?$/,
    "is not a plain path",
  ),
);

export const SERVICE = valibot.strictObject({ name: NAME, version: NAME });
export const ROUTE = valibot.strictObject({
  name: NAME,
  service: NAME,
  method: valibot.pipe(
    valibot.string(),
    valibot.regex(/^[A-Z]+$/, "is not an HTTP method in capital letters"),
  ),
  pathPrefix: PATH,
  callClass: valibot.picklist(["read", "idempotent", "non-idempotent"]),
  stalenessMilliseconds: NON_NEGATIVE_NUMBER,
  deadlineMilliseconds: NON_NEGATIVE_NUMBER,
});
export const CONTRACT = valibot.strictObject({
  customer: NAME,
  routes: valibot.array(NAME),
  limits: valibot.strictObject({
    requestsPerSecond: NON_NEGATIVE_NUMBER,
    concurrency: COUNT,
    retryShare: valibot.pipe(NON_NEGATIVE_NUMBER, valibot.maxValue(1)),
  }),
});
export const MOVE = valibot.strictObject({
  identity: NAME,
  service: NAME,
  fromVersion: NAME,
  toVersion: NAME,
  startedAt: TIMESTAMP,
  deadlineAt: TIMESTAMP,
  outcome: valibot.picklist(["open", "done", "taken-back"]),
  reason: valibot.string(),
});

export const EVACUATION = valibot.strictObject({
  failureDomain: NAME,
  startedAt: TIMESTAMP,
  author: NAME,
});

const NAMES = valibot.optional(valibot.array(NAME));
const SCHEMA = valibot.literal(RECORD_SCHEMA_VERSION);
const RECORD = valibot.variant("kind", [
  valibot.strictObject({
    schema: SCHEMA,
    kind: valibot.literal("change"),
    identity: NAME,
    baseVersion: VERSION,
    author: NAME,
    upsert: valibot.strictObject({
      failureDomains: NAMES,
      services: valibot.optional(valibot.array(SERVICE)),
      routes: valibot.optional(valibot.array(ROUTE)),
      contracts: valibot.optional(valibot.array(CONTRACT)),
    }),
    remove: valibot.strictObject({
      failureDomains: NAMES,
      services: NAMES,
      routes: NAMES,
      contracts: NAMES,
    }),
  }),
  valibot.strictObject({
    schema: SCHEMA,
    kind: valibot.literal("move"),
    identity: NAME,
    baseVersion: VERSION,
    author: NAME,
    service: NAME,
    toVersion: NAME,
    deadlineAt: TIMESTAMP,
  }),
  valibot.strictObject({
    schema: SCHEMA,
    kind: valibot.literal("verdict"),
    move: NAME,
    outcome: valibot.picklist(["done", "taken-back"]),
    reason: REASON,
    author: NAME,
  }),
  valibot.strictObject({
    schema: SCHEMA,
    kind: valibot.literal("evacuation"),
    identity: NAME,
    baseVersion: VERSION,
    author: NAME,
    failureDomain: NAME,
    action: valibot.picklist(["evacuate", "restore"]),
  }),
]);

/** Encodes a record or a snapshot as msgpack. */
export function encodeRecord(record: unknown): Uint8Array {
  return encodeMessage(record);
}

export function decodeRecord(bytes: Uint8Array): Result<unknown, string> {
  return decodeMessage(bytes, "fold.decode").mapErr((error) =>
    `record: is not valid msgpack: ${error.message}`
  );
}

/** Validates a decoded record against the schema; the error names the field and the reason. */
export function parseRecord(value: unknown): Result<LogRecord, string> {
  const schema = (value as { schema?: unknown } | null)?.schema;
  if (schema !== RECORD_SCHEMA_VERSION) {
    return Err(`schema: ${String(schema)} is not known`);
  }
  const checked = valibot.safeParse(RECORD, value);
  if (checked.success) {
    return Ok(checked.output);
  }
  const [issue] = checked.issues;
  const fieldPath = valibot.getDotPath(issue) ?? "record";
  return Err(`${fieldPath}: ${issue.message}`);
}
