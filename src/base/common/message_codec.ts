/**
 * The msgpack codec for records, link messages and stored state.
 *
 * @module
 */

// The package's main entry looks for a native addon, which takes longer than the addon saves over a daemon's lifetime.
import { Packr } from "msgpackr/pack";
import { Err, Ok, type Result } from "./result.ts";
import { describeError, StepError } from "./step_error.ts";

// Plain msgpack maps can be read by other implementations and other releases.
const packr = new Packr({ useRecords: false, mapsAsObjects: true });

/** The value that msgpackr returns for 0xc1, a byte that msgpack does not use. */
const UNUSED_BYTE: unknown = packr.unpack(Buffer.from([0xc1]));

export function encodeMessage(value: unknown): Buffer {
  return packr.pack(value);
}

/** Decodes msgpack. `step` names the step at which the bytes were received, for the error. */
export function decodeMessage(
  bytes: Uint8Array,
  step: string,
): Result<unknown, StepError> {
  try {
    const value = packr.unpack(bytes);
    return value === UNUSED_BYTE
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
