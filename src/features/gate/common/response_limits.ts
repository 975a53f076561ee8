/**
 * Limits on what an instance may send for one request.
 *
 * @module
 */

export const MAXIMUM_RESPONSE_HEADER_BYTES = 64 * 1024;
/**
 * The body with its chunk lines and trailers. With its header section it fits into one message of a
 * link (4 MiB), without which only callers on the same host could receive it.
 */
export const MAXIMUM_RESPONSE_BODY_BYTES = (4 * 1024 - 256) * 1024;
/** Servers send one or two before the final response (100, 103). */
export const MAXIMUM_INTERIM_RESPONSES = 16;
/** An instance may answer each of the earlier requests of a connection once more. */
export const MAXIMUM_FOREIGN_RESPONSES = 16;
