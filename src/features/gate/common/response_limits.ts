/**
 * Limits on the bytes and responses that an instance may send for one request.
 *
 * @module
 */

export const MAXIMUM_RESPONSE_HEADER_BYTES = 64 * 1024;
/**
 * Includes chunk lines and trailers. Together with its header section, a response must fit into one link
 * message (4 MiB); otherwise only callers on the same host could receive it.
 */
export const MAXIMUM_RESPONSE_BODY_BYTES = (4 * 1024 - 256) * 1024;
/** Servers usually send one or two interim responses (100, 103) before the final one. */
export const MAXIMUM_INTERIM_RESPONSES = 16;
/** A faulty instance may respond a second time to each earlier request of a connection. */
export const MAXIMUM_UNMATCHED_RESPONSES = 16;
