/**
 * Repeats a write to the store only after it has been read whether the store has it: a write whose response was lost may
 * have been done.
 *
 * @module
 */

import { Ok, type Result } from "../../base/common/result.ts";
import type { StepError } from "../../base/common/step_error.ts";

export interface ConfirmedWriteOptions {
  readonly write: () => Promise<Result<void, StepError>>;
  /** Reads whether the store has what is written. */
  readonly isStored: () => Promise<Result<boolean, StepError>>;
}

/** Returns a function that makes one attempt; it must be called again while it fails. */
export function createConfirmedWrite(
  { write, isStored }: ConfirmedWriteOptions,
): () => Promise<Result<void, StepError>> {
  let isUnknown = false;

  /** Resolves with whether the store has the write, or with the error of the read. */
  async function lookUp(): Promise<Result<boolean, StepError>> {
    const found = await isStored();
    isUnknown = found.err;
    return found;
  }

  return async () => {
    if (isUnknown) {
      const found = await lookUp();
      if (found.err) {
        return found;
      }
      if (found.val) {
        return Ok(undefined);
      }
    }
    const written = await write();
    if (written.ok || written.val.outcome === "not-run") {
      return written;
    }
    const found = await lookUp();
    return found.ok && found.val ? Ok(undefined) : written;
  };
}
