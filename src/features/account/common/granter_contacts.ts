/**
 * Chooses the granter of each account and tracks which granters respond.
 *
 * Load pattern: a granter is killed, paused or cut off, or is of a release that knows no account messages. Its link
 * may stay open for seconds. A daemon counts it as silent from 0.5 s after a report without a response, and chooses
 * the next in rendezvous order after 1 s, until it is heard from again or has a new link.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { AccountName, HostName } from "../../../world/common/names.ts";
import type { GrantingHosts } from "./account_ledger.ts";
import { SILENT_MS } from "./silence.ts";
import { countSharingHosts, isHostListComplete } from "./fallback_share.ts";
import { chooseGrantingHosts } from "./granter_choice.ts";
import { createGranterRanking } from "./granter_ranking.ts";

const EXCLUDED_MS: Milliseconds = 1_000;
/** A granter that does not respond to this many reports is silent anyway. */
const MAXIMUM_UNANSWERED = 16;
const UPDATE_MS: Milliseconds = 100;
/** The list of a fleet in which nothing changes is read less often: it is as long as the fleet. */
const SETTLED_UPDATE_MS: Milliseconds = 1_000;
/** After a change of the hosts, or of a link, further ones are likely for this long. */
const UNSETTLED_MS: Milliseconds = 3_000;
/** A report without a response for this long may be the first sign of a cut. */
const SUSPICIOUS_MS: Milliseconds = 250;
const PROBE_MS: Milliseconds = 2_000;
/** A daemon that has just started is a granter within a second or two. */
const STARTING_PROBE_MS: Milliseconds = 300;
/**
 * A host that has been unreachable for this long is down, not cut off: cuts end sooner. It then holds no share of a
 * limit, since hosts that are listed but gone for good would take their shares from the others for ever. In a longer
 * cut, each side uses the whole limit.
 */
const GONE_MS: Milliseconds = 30_000;
/** What happened to a host is not known if the hosts were not read for this long; an idle daemon does not read them. */
const UNOBSERVED_MS: Milliseconds = 5_000;

/** With each further response, a slow one counts for this part. */
const RESPONSE_DECAY = 0.9;

export interface KnownHost {
  readonly host: HostName;
  readonly isReachable: boolean;
}

interface Contact {
  /** When reports without a response were sent, by sequence number. */
  readonly unanswered: Map<number, Milliseconds>;
  silentSince: Milliseconds | undefined;
  isExcluded: boolean;
  hasResponded: boolean;
  probedAt: Milliseconds;
  isStarting: boolean;
}

export interface GranterContacts {
  /**
   * Reads the list of hosts again; called before reports are sent or handled. The granter of a limited account needs
   * the present list, since it divides the limit among the hosts.
   */
  update(now: Milliseconds, isForLimited?: boolean): void;
  /** Whether the list of hosts can be taken for complete; a daemon is no granter before. */
  readonly isComplete: boolean;
  /** Among how many hosts limits are divided without a granter. */
  readonly sharingHosts: number;
  readonly hosts: GrantingHosts;
  find(account: AccountName): HostName;
  recordSent(host: HostName, sequence: number, now: Milliseconds): void;
  recordUnsent(host: HostName, now: Milliseconds): void;
  /** Returns when the report was sent; undefined if it is not known. */
  recordResponse(
    host: HostName,
    sequence: number,
    now: Milliseconds,
  ): Milliseconds | undefined;
  /** How long responses took lately, the slow ones of the last dozen above all; 0 before the first. */
  readonly responseTime: Milliseconds;
  isSilent(host: HostName, now: Milliseconds): boolean;
  /** Passes a host over that is not ready, until it is asked again. */
  exclude(host: HostName): void;
  /** Asks passed-over hosts again soon, as another daemon takes one of them for a granter. */
  hastenProbes(): void;
  /** Returns the reachable hosts that were passed over and that are to be asked again now. */
  takeDueProbes(now: Milliseconds): readonly HostName[];
  /** Forgets what is known of a host that has a new link or has lost its link. */
  reset(host: HostName): void;
}

export function createGranterContacts(
  { self, startedAt, listHosts, areHostsListed, countLinks }: {
    readonly self: HostName;
    readonly startedAt: Milliseconds;
    readonly listHosts: () => readonly KnownHost[];
    /** Whether the list of the store has been read. */
    readonly areHostsListed: () => boolean;
    readonly countLinks: () => number;
  },
): GranterContacts {
  const contacts = new Map<HostName, Contact>();
  const ranking = createGranterRanking();
  let unreachableSince: ReadonlyMap<HostName, Milliseconds> = new Map();
  let candidates: readonly HostName[] = [self];
  ranking.setCandidates(candidates);
  let hosts: GrantingHosts = { known: 1, unreachable: new Set() };
  let updatedAt = -Infinity;
  let isUpdateDue = true;
  let listedHosts = 1;
  let changedAt = startedAt;
  let unsettledUntil = -Infinity;
  let hasLinkChanged = false;
  let isComplete = false;
  let responseTime: Milliseconds = 0;

  function getContact(host: HostName): Contact {
    let contact = contacts.get(host);
    if (contact === undefined) {
      contact = {
        unanswered: new Map(),
        silentSince: undefined,
        isExcluded: false,
        hasResponded: false,
        probedAt: -Infinity,
        isStarting: false,
      };
      contacts.set(host, contact);
    }
    return contact;
  }

  /** Returns for how long the list that was read last is taken for the present one. */
  function chooseUpdateInterval(now: Milliseconds): Milliseconds {
    if (!isComplete || hasLinkChanged || now < unsettledUntil) {
      return UPDATE_MS;
    }
    for (const { isExcluded, silentSince } of contacts.values()) {
      const silence = silentSince === undefined ? 0 : now - silentSince;
      if (!isExcluded && silence >= SUSPICIOUS_MS) {
        return UPDATE_MS;
      }
    }
    return SETTLED_UPDATE_MS;
  }

  /** Returns the hosts that are unreachable, but may still use their shares. */
  function trackUnreachable(
    listed: readonly KnownHost[],
    now: Milliseconds,
  ): ReadonlySet<HostName> {
    const lost = listed.filter(({ host, isReachable }) =>
      !isReachable && host !== self
    ).map(({ host }) => host);
    const before = now - updatedAt < UNOBSERVED_MS
      ? unreachableSince
      : new Map<HostName, Milliseconds>();
    unreachableSince = new Map(
      lost.map((host) => [host, before.get(host) ?? now]),
    );
    return new Set(
      lost.filter((host) => now - unreachableSince.get(host)! < GONE_MS),
    );
  }

  function update(now: Milliseconds, isForLimited = false): void {
    const elapsed = now - updatedAt;
    const interval = isForLimited || elapsed < UPDATE_MS
      ? UPDATE_MS
      : chooseUpdateInterval(now);
    if (!isUpdateDue && elapsed < interval) {
      return;
    }
    isUpdateDue = false;
    const listed = listHosts();
    changedAt = listed.length === listedHosts ? changedAt : now;
    const lostBefore = unreachableSince.size;
    listedHosts = listed.length;
    isComplete = isHostListComplete(listed.length, {
      uptime: now - startedAt,
      unchangedFor: now - changedAt,
      isListed: areHostsListed(),
      countLinks,
    });
    const unreachable = trackUnreachable(listed, now);
    if (
      changedAt === now || unreachableSince.size !== lostBefore ||
      hasLinkChanged
    ) {
      unsettledUntil = now + UNSETTLED_MS;
    }
    hasLinkChanged = false;
    updatedAt = now;
    let known = listed.length;
    const next: HostName[] = [];
    for (const { host, isReachable } of listed) {
      const contact = contacts.get(host);
      if (contact !== undefined && !contact.isExcluded) {
        // One that has never responded may be of an older release.
        const patience = contact.hasResponded ? EXCLUDED_MS : SILENT_MS;
        contact.isExcluded = contact.silentSince !== undefined &&
          now - contact.silentSince >= patience;
      }
      if (!isReachable && host !== self) {
        known -= unreachable.has(host) ? 0 : 1;
        // A host that can be reached again is asked again.
        contacts.delete(host);
      } else if (contact?.isExcluded !== true) {
        next.push(host);
      }
    }
    hosts = { known, unreachable };
    if (
      next.length !== candidates.length ||
      next.some((host, index) => host !== candidates[index])
    ) {
      candidates = next;
      unsettledUntil = now + UNSETTLED_MS;
      ranking.setCandidates(chooseGrantingHosts(next));
    }
  }

  return {
    update,
    get hosts() {
      return hosts;
    },
    get isComplete() {
      return isComplete;
    },
    get sharingHosts() {
      return countSharingHosts(hosts.known, isComplete);
    },
    find: (account) => ranking.find(account) ?? self,
    recordSent(host, sequence, now) {
      const contact = getContact(host);
      contact.silentSince ??= now;
      if (contact.unanswered.size < MAXIMUM_UNANSWERED) {
        contact.unanswered.set(sequence, now);
      }
    },
    recordUnsent(host, now) {
      getContact(host).silentSince ??= now - SILENT_MS;
    },
    get responseTime() {
      return responseTime;
    },
    recordResponse(host, sequence, now) {
      const contact = getContact(host);
      const sentAt = contact.unanswered.get(sequence);
      if (sentAt !== undefined) {
        responseTime = Math.max(now - sentAt, responseTime * RESPONSE_DECAY);
      }
      for (const number of [...contact.unanswered.keys()]) {
        if (number <= sequence) {
          contact.unanswered.delete(number);
        }
      }
      const [oldest] = contact.unanswered.values();
      contact.silentSince = oldest;
      contact.isExcluded = false;
      contact.hasResponded = true;
      contact.isStarting = false;
      return sentAt;
    },
    isSilent(host, now) {
      const silentSince = contacts.get(host)?.silentSince;
      return silentSince !== undefined && now - silentSince >= SILENT_MS;
    },
    exclude(host) {
      const contact = getContact(host);
      contact.isExcluded = host !== self;
      contact.isStarting = true;
      isUpdateDue = true;
    },
    hastenProbes() {
      for (const contact of contacts.values()) {
        contact.isStarting ||= contact.isExcluded;
      }
    },
    takeDueProbes(now) {
      const due: HostName[] = [];
      for (const [host, contact] of contacts) {
        const interval = contact.isStarting ? STARTING_PROBE_MS : PROBE_MS;
        if (
          contact.isExcluded && now - contact.probedAt >= interval &&
          !hosts.unreachable.has(host)
        ) {
          contact.probedAt = now;
          due.push(host);
        }
      }
      return due;
    },
    reset(host) {
      contacts.delete(host);
      hasLinkChanged = true;
    },
  };
}
