/**
 * Daemons of other failure domains that this daemon may link to.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { HostName } from "../../../world/common/names.ts";
import type { Member } from "./directory.ts";

/** A target without a link for this long is avoided, so that another one is tried. */
const LINK_TIMEOUT_MS: Milliseconds = 10_000;

/** How long a daemon that could not be linked is avoided. */
const AVOID_DURATION_MS: Milliseconds = 60_000;

/** Bounds the memory that contacts of faulty peers can take. */
const MAXIMUM_CONTACTS = 256;

export interface RemoteContacts {
  list(): Member[];
  /** Whether the daemon could not be linked recently and another one is to be tried. */
  isAvoided(host: HostName, now: Milliseconds): boolean;
  get(host: HostName): Member | undefined;
  add(member: Member): void;
  /** Records whether a target has a link. */
  recordLinkState(host: HostName, linked: boolean, now: Milliseconds): void;
}

export function createRemoteContacts(): RemoteContacts {
  const contacts = new Map<HostName, Member>();
  const unlinkedSince = new Map<HostName, Milliseconds>();
  const avoidedUntil = new Map<HostName, Milliseconds>();
  return {
    list: () => [...contacts.values()],
    isAvoided: (host, now) => (avoidedUntil.get(host) ?? -Infinity) > now,
    get: (host) => contacts.get(host),
    add(member) {
      const { host, startedAt } = member.process;
      const existing = contacts.get(host);
      if (existing === undefined || existing.process.startedAt <= startedAt) {
        // Moves the contact to the end: the least recently confirmed one is evicted first.
        contacts.delete(host);
        contacts.set(host, member);
      }
      if (contacts.size > MAXIMUM_CONTACTS) {
        contacts.delete(contacts.keys().next().value!);
      }
    },
    recordLinkState(host, linked, now) {
      if (linked) {
        unlinkedSince.delete(host);
        avoidedUntil.delete(host);
        return;
      }
      const since = unlinkedSince.get(host) ?? now;
      unlinkedSince.set(host, since);
      if (now - since >= LINK_TIMEOUT_MS) {
        unlinkedSince.delete(host);
        avoidedUntil.set(host, now + AVOID_DURATION_MS);
      }
    },
  };
}
