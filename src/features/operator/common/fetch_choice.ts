/**
 * Chooses the daemon from which missing records are fetched, and the delay between retries.
 *
 * Load pattern: one daemon of a large fleet has read a new version, and the store answers the others late.
 * If all others fetch from that daemon, and retry while its answers are in flight, its link carries
 * nothing else for minutes. Instead, each fetches from any daemon that has the version, preferably one that
 * is heard from in time and in its own failure domain, with growing retry delays, so that the version spreads
 * in a few rounds.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { RandomSource } from "../../../base/common/random_source.ts";
import type {
  FailureDomainName,
  HostName,
} from "../../../world/common/names.ts";

/** A daemon that has reported a later position. */
export interface FetchSource {
  readonly host: HostName;
  readonly failureDomain: FailureDomainName | undefined;
  /** Whether its next heartbeat is overdue, so that it may not answer. */
  readonly isOverdue: boolean;
}

/** An answer takes a round trip and the transmission time of some 10 kB on a link. */
const INITIAL_RETRY_DELAY_MS: Milliseconds = 250;
/** Lets a record take effect within some seconds even if several daemons in turn do not answer. */
const MAXIMUM_RETRY_DELAY_MS: Milliseconds = 1_000;

export function chooseFetchSource<T extends FetchSource>(
  sources: readonly T[],
  { ownFailureDomain, lastSource }: {
    readonly ownFailureDomain: FailureDomainName;
    readonly lastSource: HostName | undefined;
  },
  random: RandomSource,
): T | undefined {
  const others = sources.filter(({ host }) => host !== lastSource);
  const untried = others.length > 0 ? others : sources;
  const responsive = untried.filter(({ isOverdue }) => !isOverdue);
  const eligible = responsive.length > 0 ? responsive : untried;
  const inOwnDomain = eligible.filter(({ failureDomain }) =>
    failureDomain === ownFailureDomain
  );
  const preferred = inOwnDomain.length > 0 ? inOwnDomain : eligible;
  return preferred.length === 0
    ? undefined
    : preferred[random.nextInteger(preferred.length)];
}

/** Computes the delay in milliseconds until the next request, after `requests` requests. */
export function computeFetchRetryDelay(requests: number): Milliseconds {
  return Math.min(
    MAXIMUM_RETRY_DELAY_MS,
    INITIAL_RETRY_DELAY_MS * 2 ** (requests - 1),
  );
}
