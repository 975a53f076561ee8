/**
 * Messages by which daemons exchange log entries, states, version floors and reader status.
 *
 * @module
 */

import * as valibot from "valibot";
import type { LinkMessage } from "../../link/common/peer_network.ts";

const OFFSET = valibot.pipe(valibot.number(), valibot.integer());
const ENTRY = valibot.object({
  offset: OFFSET,
  appendedAt: valibot.number(),
  record: valibot.instance(Uint8Array),
});

const POSITION = valibot.object({
  kind: valibot.literal("configuration-position"),
  position: OFFSET,
  /** The version that is in force at the sender or comes into force next. */
  version: OFFSET,
});
const ENTRIES = valibot.object({
  kind: valibot.literal("entries"),
  version: OFFSET,
  entries: valibot.array(ENTRY),
});
const ENTRIES_REQUEST = valibot.object({
  kind: valibot.literal("entries-request"),
  from: OFFSET,
});
const STATE = valibot.object({
  kind: valibot.literal("state"),
  snapshot: valibot.instance(Uint8Array),
});
const FLOOR = valibot.object({
  kind: valibot.literal("floor"),
  /** The highest version that the asking host is known to have had in force. */
  hostVersion: OFFSET,
  version: OFFSET,
  isReady: valibot.boolean(),
});

const READER_STATUS = valibot.object({
  kind: valibot.literal("reader-status"),
  /** How long ago the reader saw the end of the log. */
  logEndAge: valibot.optional(valibot.number()),
});

export type PositionMessage = valibot.InferOutput<typeof POSITION>;
export type EntriesMessage = valibot.InferOutput<typeof ENTRIES>;
export type FloorMessage = valibot.InferOutput<typeof FLOOR>;

function createParser<T>(schema: valibot.GenericSchema<unknown, T>) {
  return (message: LinkMessage): T | undefined => {
    const checked = valibot.safeParse(schema, message);
    return checked.success ? checked.output : undefined;
  };
}

/** Each parser returns undefined for a message that does not match its schema. */
export const parsePosition = createParser(POSITION);
export const parseEntries = createParser(ENTRIES);
export const parseEntriesRequest = createParser(ENTRIES_REQUEST);
export const parseState = createParser(STATE);
export const parseFloor = createParser(FLOOR);
export const parseReaderStatus = createParser(READER_STATUS);
