/**
 * What an instance says of itself in a response.
 *
 * @module
 */

export interface InstanceNotices {
  /**
   * The requests per second that the instance takes from all callers together, `none` if it names no limit,
   * or `unknown` if it names one that cannot be used.
   */
  readonly rateLimit: number | "none" | "unknown";
  /** How long work takes on the instance's host at this moment, relative to usual. */
  readonly currentServiceTime?: number;
  /** Whether the instance is about to leave and takes no new requests. */
  readonly isLeaving: boolean;
  /** Why a notice cannot be used. */
  readonly problem: string | undefined;
}

export const NO_NOTICES: InstanceNotices = {
  rateLimit: "none",
  isLeaving: false,
  problem: undefined,
};
