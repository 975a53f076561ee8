/**
 * Daemons of other failure domains that this one may link to.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { HostName } from "../../../world/common/names.ts";
import type { Member } from "./directory.ts";

/** A target without a link for this long is left out, so that the next one is tried. */
const LINK_PATIENCE_MS: Milliseconds = 10_000;

/** How long a daemon that could not be linked is left out. */
const AVOIDANCE_MS: Milliseconds = 60_000;

/** Bounds what faulty peers can make this daemon remember. */
const MAXIMUM_CONTACTS = 256;

export interface RemoteContacts {
  list(): Member[];
  /** Whether the daemon could not be linked and another one is tried. */
  isAvoided(host: HostName, now: Milliseconds): boolean;
  get(host: HostName): Member | undefined;
  add(member: Member): void;
  /** Notes whether a target has a link. */
  noteTarget(host: HostName, linked: boolean, now: Milliseconds): void;
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
      const present = contacts.get(host);
      if (present === undefined || present.process.startedAt <= startedAt) {
        // The least recently confirmed contact goes first.
        contacts.delete(host);
        contacts.set(host, member);
      }
      if (contacts.size > MAXIMUM_CONTACTS) {
        contacts.delete(contacts.keys().next().value!);
      }
    },
    noteTarget(host, linked, now) {
      if (linked) {
        unlinkedSince.delete(host);
        avoidedUntil.delete(host);
        return;
      }
      const since = unlinkedSince.get(host) ?? now;
      unlinkedSince.set(host, since);
      if (now - since >= LINK_PATIENCE_MS) {
        unlinkedSince.delete(host);
        avoidedUntil.set(host, now + AVOIDANCE_MS);
      }
    },
  };
}
