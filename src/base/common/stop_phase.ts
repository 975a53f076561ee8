/**
 * The phases of a graceful stop of a server.
 *
 * @module
 */

/**
 * `serving`: the server is not stopping. `leaving`: requests are still served, and each connection is closed after its
 * last response. `finishing`: only requests in flight are completed.
 */
export type StopPhase = "serving" | "leaving" | "finishing";

/**
 * Returns whether the connection is closed after a response. Pipelined requests that were read after it are already
 * being handled, so only the response to the last request that was read closes the connection.
 */
export function closesConnection(
  phase: StopPhase,
  { isLastRead }: { readonly isLastRead: boolean },
): boolean {
  return phase !== "serving" && isLastRead;
}
