/**
 * Schemas of the documents that operators and upstreams send. The bounds reject values that no deployment needs, so
 * that a typing error in a file does not reach every proxy.
 *
 * @module
 */

import * as valibot from "valibot";
import { Err, Ok, type Result } from "../../../base/common/result.ts";
import {
  addressSchema,
  identitySchema,
  integerBetween,
  nameSchema,
  numberBetween,
} from "../../../world/common/value_schemas.ts";
import { NO_VERSION } from "../../../world/common/names.ts";

const DAY_MS = 86_400_000;
const MAXIMUM_OBJECTS = 10_000;
const METHOD_PATTERN = /^[A-Z]{1,20}$/;
/** An absolute path without query, fragment, empty segments or dot segments. */
const PATH_PATTERN = /^\/$|^(\/(?!\.{1,2}(\/|$))[A-Za-z0-9._~%-]+)+\/?$/;

const serviceSchema = valibot.strictObject({
  name: nameSchema,
  version: nameSchema,
});

const routeSchema = valibot.strictObject({
  name: nameSchema,
  service: nameSchema,
  method: valibot.pipe(valibot.string(), valibot.regex(METHOD_PATTERN)),
  pathPrefix: valibot.pipe(valibot.string(), valibot.regex(PATH_PATTERN)),
  callClass: valibot.picklist(["read", "idempotent", "non-idempotent"]),
  stalenessMilliseconds: valibot.optional(
    integerBetween({ minimum: 0, maximum: DAY_MS }),
    0,
  ),
  deadlineMilliseconds: integerBetween({ minimum: 1, maximum: 600_000 }),
});

const contractSchema = valibot.strictObject({
  customer: nameSchema,
  routes: listOf(nameSchema),
  limits: valibot.strictObject({
    requestsPerSecond: numberBetween({ minimum: 0, maximum: 10_000_000 }),
    concurrency: integerBetween({ minimum: 0, maximum: 10_000_000 }),
    retryShare: numberBetween({ minimum: 0, maximum: 1 }),
  }),
});

const baseVersionSchema = valibot.optional(
  integerBetween({ minimum: NO_VERSION, maximum: Number.MAX_SAFE_INTEGER }),
);

/** The document of `POST /changes` and of `guavarun publish`. */
export const changeDocumentSchema = valibot.pipe(
  valibot.strictObject({
    /** Chosen by the author. Publishing again with the same identity has no further effect. */
    identity: valibot.optional(identitySchema),
    /** The configuration version on which the change is based. Default: the daemon's current version. */
    baseVersion: baseVersionSchema,
    upsert: valibot.optional(
      valibot.strictObject({
        failureDomains: optionalList(nameSchema),
        services: optionalList(serviceSchema),
        routes: optionalList(routeSchema),
        contracts: optionalList(contractSchema),
      }),
      {},
    ),
    remove: valibot.optional(
      valibot.strictObject({
        failureDomains: optionalList(nameSchema),
        services: optionalList(nameSchema),
        routes: optionalList(nameSchema),
        contracts: optionalList(nameSchema),
      }),
      {},
    ),
  }),
  valibot.check((change) => hasObjects(change), "the document changes nothing"),
);

export type ChangeDocument = valibot.InferOutput<typeof changeDocumentSchema>;

/** The document of `POST /moves`. */
export const moveDocumentSchema = valibot.pipe(
  valibot.strictObject({
    identity: valibot.optional(identitySchema),
    baseVersion: baseVersionSchema,
    service: nameSchema,
    toVersion: nameSchema,
    /** The time until the deadline, counted from the arrival of the request at the daemon. */
    withinMilliseconds: valibot.optional(
      integerBetween({ minimum: 1, maximum: 7 * DAY_MS }),
    ),
    deadlineAt: valibot.optional(
      integerBetween({ minimum: 0, maximum: Number.MAX_SAFE_INTEGER }),
    ),
  }),
  valibot.check(
    (move) =>
      (move.withinMilliseconds === undefined) !==
        (move.deadlineAt === undefined),
    "exactly one of withinMilliseconds and deadlineAt is required",
  ),
);

export type MoveDocument = valibot.InferOutput<typeof moveDocumentSchema>;

/** The document of `POST /evacuations`. */
export const evacuationDocumentSchema = valibot.strictObject({
  identity: valibot.optional(identitySchema),
  baseVersion: baseVersionSchema,
  failureDomain: nameSchema,
  action: valibot.picklist(["evacuate", "restore"]),
});

/** The document of `POST /announcements`. */
export const announcementSchema = valibot.strictObject({
  service: nameSchema,
  version: nameSchema,
  address: addressSchema,
  port: integerBetween({ minimum: 1, maximum: 65_535 }),
  slots: integerBetween({ minimum: 1, maximum: 10_000 }),
  state: valibot.picklist(["starting", "ready", "draining"]),
});

/** Parses and validates the body of a request. The error names each invalid key. */
export function parseDocument<const Schema extends valibot.GenericSchema>(
  schema: Schema,
  body: Uint8Array,
): Result<valibot.InferOutput<Schema>, string> {
  let value: unknown;
  try {
    value = JSON.parse(new TextDecoder("utf-8", { fatal: true }).decode(body));
  } catch {
    return Err("the body is not JSON in UTF-8");
  }
  const checked = valibot.safeParse(schema, value);
  return checked.success
    ? Ok(checked.output)
    : Err(checked.issues.map(describeIssue).join("; "));
}

function describeIssue(issue: valibot.BaseIssue<unknown>): string {
  const path = (issue.path ?? []).map((item) => String(item.key)).join(".");
  return `key ${path === "" ? "(root)" : path}: ${issue.message}`;
}

function hasObjects(
  { upsert, remove }: Record<"upsert" | "remove", object>,
): boolean {
  return [...Object.values(upsert), ...Object.values(remove)].some((list) =>
    list.length > 0
  );
}

function listOf<const Item extends valibot.GenericSchema>(item: Item) {
  return valibot.pipe(
    valibot.array(item),
    valibot.maxLength(MAXIMUM_OBJECTS),
  );
}

function optionalList<const Item extends valibot.GenericSchema>(item: Item) {
  return valibot.optional(listOf(item), []);
}
