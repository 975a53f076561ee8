/**
 * The part of a limit that a daemon uses without its granter.
 *
 * Load pattern: a whole fleet loses its granters at once, by a restart or a cut between failure domains. No
 * daemon then knows what the others admit. Equal shares by the number of known hosts sum to at most the limit
 * on all sides of a cut together. The share of a small account is a fraction of a call a second, and most
 * accounts have few clients at a time: so some hosts, chosen by chance, begin with one whole call.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { AccountLimit } from "../../../world/common/client_account.ts";

/**
 * Whole calls with which all hosts together begin. With 5 times the usual of an account with a limit of 10/s, the
 * hosts that have a call within 3 s use some 27 of them; that limit may be exceeded by 25 calls within 5 s, and
 * begins at two thirds of it.
 */
const INITIAL_CALLS = 40;
/** Larger accounts begin with their burst and with three fifths of what their limit may be exceeded by within 5 s. */
const INITIAL_EXCESS_PART = 0.6;
/**
 * The same for hosts that start. Until a granter is known, no host learns what the others admit, and most accounts
 * have calls on a part of the hosts only.
 */
const STARTING_EXCESS_PART = 0.8;
/** Hosts that get their links late tell no granter what they began with, so it is bounded. */
const MAXIMUM_STARTING_CALLS = 2;
/** A granter is known after about this time. */
const STARTING_SECONDS = 2;
/** The largest sudden demand for which limits hold: 8 times five eighths of the limit. */
const SUDDEN_DEMAND_PART = 5;
const EXCESS_PART = 0.1;
const EXCESS_CALLS = 20;
const EXCESS_WINDOW_SECONDS = 5;
/**
 * A daemon that has just started may not know the other hosts yet. Taking the whole limit for itself would
 * multiply the limit by the number of daemons that start at once.
 */
const ASSUMED_HOSTS = 100;
/** Hosts come from the store or from a peer all at once, so a list that has not changed for this long is complete. */
const HOSTS_STABLE_MS: Milliseconds = 1_000;
/**
 * The same for a list of the store, if links to most of its hosts are open. Each link adds its host to a list that is
 * learnt from links, so links don't show that such a list is complete.
 */
const LINKED_HOSTS_STABLE_MS: Milliseconds = 300;
const LINKED_PART = 0.5;
/** A shorter list may be that of a fleet whose first hosts are still being added to the store. */
const MINIMUM_LINKED_LIST = 8;
/** The list of hosts comes within this time if the store or a peer can be reached. */
const HOSTS_UNKNOWN_MS: Milliseconds = 5_000;

/** Returns whether the list of known hosts can be taken for complete. */
export function isHostListComplete(
  knownHosts: number,
  { uptime, unchangedFor, isListed, countLinks }: {
    readonly uptime: Milliseconds;
    readonly unchangedFor: Milliseconds;
    /** Whether the store lists the hosts; they are learnt from links otherwise. */
    readonly isListed: boolean;
    readonly countLinks: () => number;
  },
): boolean {
  return uptime >= HOSTS_UNKNOWN_MS ||
    (knownHosts > 1 &&
      (unchangedFor >= HOSTS_STABLE_MS ||
        (isListed && unchangedFor >= LINKED_HOSTS_STABLE_MS &&
          knownHosts >= MINIMUM_LINKED_LIST &&
          countLinks() > (knownHosts - 1) * LINKED_PART)));
}

/** Returns among how many hosts a limit is divided. */
export function countSharingHosts(
  knownHosts: number,
  isComplete: boolean,
): number {
  return Math.max(isComplete ? 1 : ASSUMED_HOSTS, knownHosts);
}

/** Returns by how many calls a limit may be exceeded within 5 s. */
export function computeAllowedExcess(
  { requestsPerSecond, burst }: AccountLimit,
): number {
  return (requestsPerSecond * EXCESS_WINDOW_SECONDS + burst) * EXCESS_PART +
    EXCESS_CALLS;
}

/** Returns the calls per second that one of the hosts may admit without a granter. */
export function computeFallbackRate(
  { requestsPerSecond }: AccountLimit,
  hosts: number,
): number {
  return requestsPerSecond / hosts;
}

/**
 * Returns the calls with which each host begins after a restart of all hosts, on average. At the largest sudden
 * demand, the hosts that have a call before a granter is known use what the limit leaves for the time.
 */
function computeStartingCalls(limit: AccountLimit, hosts: number): number {
  const { requestsPerSecond, burst } = limit;
  const calls = burst + computeAllowedExcess(limit) * STARTING_EXCESS_PART;
  const demand = requestsPerSecond * SUDDEN_DEMAND_PART;
  const usedPart = 1 - Math.exp(-demand * STARTING_SECONDS / hosts);
  return Math.max(INITIAL_CALLS / hosts, calls / (hosts * usedPart));
}

/**
 * Returns the calls with which one of the hosts begins; `fraction` and `chance` are random, from 0 to 1. Random
 * fractions of a call keep the sum over many hosts exact on average.
 */
export function chooseInitialCalls(
  limit: AccountLimit,
  { hosts, isStarting, fraction, chance }: {
    readonly hosts: number;
    /** Whether the daemon has just started; it may have lost its granter instead. */
    readonly isStarting: boolean;
    readonly fraction: number;
    readonly chance: number;
  },
): number {
  const excess = computeAllowedExcess(limit) * INITIAL_EXCESS_PART;
  const calls = Math.max(INITIAL_CALLS, limit.burst + excess);
  const perHost = isStarting
    ? Math.min(MAXIMUM_STARTING_CALLS, computeStartingCalls(limit, hosts))
    : Math.min(1, calls / hosts);
  const whole = Math.floor(perHost);
  return fraction + whole + (chance < perHost - whole ? 1 : 0);
}
