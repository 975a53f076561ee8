/**
 * The exit codes of `guavarun`.
 *
 * @module
 */

/** Done, accepted, or still in progress without an error. */
export const EXIT_SUCCESS = 0;
/** Refused, taken back (rolled back), or a check failed. */
export const EXIT_REFUSED = 1;
/** The outcome is unknown; a retry with the same identity is safe. */
export const EXIT_UNKNOWN = 2;
/** Nothing was done, because a process could not be reached or is not ready. */
export const EXIT_NOT_RUN = 3;
/** The command line is invalid. */
export const EXIT_USAGE = 64;

export const EXIT_CODES_HELP =
  "Exit codes: 0 done or accepted, 1 refused, taken back or check failed, " +
  "2 outcome unknown, 3 nothing was done, 64 wrong usage.";
