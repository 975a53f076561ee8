/**
 * The msgpack codec for records, link messages and stored state.
 *
 * @module
 */

// The main entry looks for a native addon, which takes longer than it saves in a daemon's life.
import { Packr } from "msgpackr/pack";
import { Err, Ok, type Result } from "./result.ts";
import { describeError, StepError } from "./step_error.ts";

// Plain msgpack maps keep messages readable for other implementations and other releases.
const packr = new Packr({ useRecords: false, mapsAsObjects: true });

/** What the library returns for 0xc1, a byte that msgpack never uses. */
const UNUSED_BYTE: unknown = packr.unpack(Buffer.from([0xc1]));

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
