/**
 * The unit of all durations and instants. Names of durations end in `Milliseconds` or `_MS`. Names of instants end
 * in `At`; instants count from the Unix epoch.
 *
 * @module
 */

/** A duration, or an instant since the Unix epoch, in milliseconds. */
export type Milliseconds = number;

export const SECOND_MS: Milliseconds = 1_000;
export const MINUTE_MS: Milliseconds = 60 * SECOND_MS;
export const HOUR_MS: Milliseconds = 60 * MINUTE_MS;
