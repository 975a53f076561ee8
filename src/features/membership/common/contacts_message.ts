/**
 * The message that tells a daemon of another failure domain which daemons of this one rank
 * first for it in rendezvous hashing. The summary lists the same few daemons for all, and without
 * contacts all would link to these.
 *
 * @module
 */

import type { FailureDomainName } from "../../../world/common/names.ts";
import type { LinkMessage, Peer } from "../../link/common/peer_network.ts";
import type { Member } from "./directory.ts";
import { pickByRendezvous } from "./domain_summary.ts";
import { decodeMember, encodeMember } from "./member_record.ts";

const CONTACTS_PER_MESSAGE = 3;

interface ContactsMessage extends LinkMessage {
  readonly members: readonly unknown[];
}

export const CONTACTS_KIND = "contacts";

export function encodeContacts(
  peer: Peer,
  members: readonly Member[],
): LinkMessage {
  const picked = pickByRendezvous(peer.process.host, members, {
    limit: CONTACTS_PER_MESSAGE,
    nameOf: ({ process }) => process.host,
  });
  const message: ContactsMessage = {
    kind: CONTACTS_KIND,
    members: picked.map((member) =>
      encodeMember({ ...member, incarnation: 0, upstreams: [] })
    ),
  };
  return message;
}

/** Decodes the contacts of a message; invalid ones are left out. */
export function decodeContacts(
  message: LinkMessage,
  failureDomain: FailureDomainName,
): Member[] {
  const { members } = message as ContactsMessage;
  return (Array.isArray(members) ? members : []).slice(0, CONTACTS_PER_MESSAGE)
    .map((wire) => decodeMember(wire, failureDomain))
    .filter((member) => member !== undefined);
}
