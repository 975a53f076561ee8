/**
 * Compression of values that are sent between processes.
 *
 * @module
 */

import { deflateRawSync, inflateRawSync } from "node:zlib";
import { Err, Ok, type Result } from "../common/result.ts";
import { StepError } from "../common/step_error.ts";

/** Limits the memory that one value from a faulty peer can use. */
const MAXIMUM_DECOMPRESSED_BYTES = 16 * 1024 * 1024;
/** A higher level takes several times as long and saves a tenth of the size. */
const LEVEL = 1;

export function compress(value: Uint8Array): Uint8Array {
  return deflateRawSync(value, { level: LEVEL });
}

export function decompress(value: Uint8Array): Result<Uint8Array, StepError> {
  try {
    return Ok(
      inflateRawSync(value, { maxOutputLength: MAXIMUM_DECOMPRESSED_BYTES }),
    );
  } catch (error) {
    return Err(
      new StepError("compression.expand", "Cannot decompress a value", {
        cause: error,
      }),
    );
  }
}
