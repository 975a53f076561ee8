/**
 * The msgpack form of a verdict record. It equals that of `base/node/message_codec.ts`, which
 * pure code may not import.
 *
 * @module
 */

import { Packr } from "msgpackr";
import type { VerdictRecord } from "../../../world/common/log_record.ts";

const packr = new Packr({ useRecords: false, mapsAsObjects: true });

export function encodeRecord(record: VerdictRecord): Uint8Array {
  return packr.pack(record);
}

/** Decodes what {@linkcode encodeRecord} made. */
export function decodeRecord(bytes: Uint8Array): VerdictRecord {
  return packr.unpack(bytes) as VerdictRecord;
}

/** The bytes of a link message, for the count of control bytes in measurements. */
export function measureMessage(message: object): number {
  return packr.pack(message).length;
}
