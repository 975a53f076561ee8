/**
 * The msgpack codec for records, link messages and stored state.
 *
 * @module
 */

import { Packr } from "msgpackr";
import { Err, Ok, type Result } from "../common/result.ts";
import { describeError, StepError } from "../common/step_error.ts";

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
    return Ok(packr.unpack(bytes));
  } catch (error) {
    return Err(
      new StepError(step, `Cannot decode a message: ${describeError(error)}`, {
        cause: error,
      }),
    );
  }
}
