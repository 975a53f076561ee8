/**
 * The unit of every duration and instant. Names of durations end in `Milliseconds` or
 * `_MS`; names of instants end in `At` and count from the Unix epoch.
 *
 * @module
 */

/** A duration, or an instant since the Unix epoch, in milliseconds. */
export type Milliseconds = number;

export const SECOND_MS: Milliseconds = 1_000;
export const MINUTE_MS: Milliseconds = 60 * SECOND_MS;
export const HOUR_MS: Milliseconds = 60 * MINUTE_MS;
