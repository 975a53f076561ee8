/**
 * Decides how the body of a request is sent to the upstream.
 *
 * @module
 */

/** The maximum size of a body that is kept in memory so that an attempt can be retried. */
export const MAXIMUM_REPLAYABLE_BYTES = 64 * 1_024;

/** Larger uploads are refused. The largest body in use is a bundle of finish-line photos. */
export const MAXIMUM_BODY_BYTES = 64 * 1_024 * 1_024;

/**
 * `none`: there is no body. `replay`: buffered, then sent with every attempt. `stream`: forwarded as
 * it arrives, so it can be sent only once. `refuse`: too large.
 */
export type BodyPlan = "none" | "replay" | "stream" | "refuse";

export interface BodyDescription {
  readonly contentLength: string | undefined;
  readonly transferEncoding: string | undefined;
}

/**
 * Chooses the plan by size. Small bodies are replayable in every call class, because `non-idempotent`
 * calls are retried too if an upstream says that it did not run them.
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
