/**
 * How the body of a request is carried to the upstream.
 *
 * @module
 */

/** A body up to this size is kept in memory, so that an attempt can be repeated. */
export const MAXIMUM_REPLAYABLE_BYTES = 64 * 1_024;

/** Larger uploads are refused. A bundle of finish-line photos is the largest body today. */
export const MAXIMUM_BODY_BYTES = 64 * 1_024 * 1_024;

/**
 * `none`: there is no body. `replay`: read whole, then sent with every attempt. `stream`:
 * passed on as it arrives, so it can be sent once only. `refuse`: too large.
 */
export type BodyPlan = "none" | "replay" | "stream" | "refuse";

export interface BodyDescription {
  readonly contentLength: string | undefined;
  readonly transferEncoding: string | undefined;
}

/**
 * Every call class gains from a small body that can be sent again: `non-idempotent` calls too
 * are repeated when an upstream says that it did not run them.
 */
export function planBody(
  description: BodyDescription,
  maximumBytes: number = MAXIMUM_BODY_BYTES,
): BodyPlan {
  if (description.transferEncoding !== undefined) {
    return "stream";
  }
  const length = Number(description.contentLength ?? 0);
  if (length === 0) {
    return "none";
  }
  if (length > maximumBytes) {
    return "refuse";
  }
  return length <= MAXIMUM_REPLAYABLE_BYTES ? "replay" : "stream";
}
