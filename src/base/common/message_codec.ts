/**
 * The msgpack codec for records, link messages and stored state.
 *
 * @module
 */

import { C1, Packr } from "msgpackr";
import { Err, Ok, type Result } from "./result.ts";
import { describeError, StepError } from "./step_error.ts";

// Plain msgpack maps keep messages readable for other implementations and other releases.
const packr = new Packr({ useRecords: false, mapsAsObjects: true });

export function encodeMessage(value: unknown): Buffer {
  return packr.pack(value);
}

/** Decodes msgpack; the step names the place at which the bytes arrived. */
export function decodeMessage(
  bytes: Uint8Array,
  step: string,
): Result<unknown, StepError> {
  try {
    const value = packr.unpack(bytes);
    // The library returns this constant for 0xc1, a byte that msgpack never uses.
    return value === C1
      ? Err(new StepError(step, "Cannot decode a message: unused byte 0xc1"))
      : Ok(value);
  } catch (error) {
    return Err(
      new StepError(step, `Cannot decode a message: ${describeError(error)}`, {
        cause: error,
      }),
    );
  }
}
