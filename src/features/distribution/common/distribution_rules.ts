/**
 * The decisions of distribution: who reads the platform, when to write a snapshot, what to
 * send to which peer and when the version floor is known.
 *
 * @module
 */

import { rankByRendezvous } from "../../../base/common/hashing.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { LogEntry } from "../../../world/common/log_record.ts";
import type {
  ConfigurationVersion,
  FailureDomainName,
  HostName,
} from "../../../world/common/names.ts";
import { NO_VERSION } from "../../../world/common/names.ts";
import type { Peer } from "../../link/common/peer_network.ts";
import type { FloorMessage } from "./messages.ts";
import { listEntries, type Replica } from "./replica.ts";

/** Daemons of a failure domain that read the platform. */
export const DOMAIN_READERS = 2;
/** Further daemons that read while no reader of their domain does. */
const STANDBY_READERS = 2;
/** The longest wait of a poll; a reader's view of the log's end is no older. */
export const POLL_WAIT_MS: Milliseconds = 5_000;
const HEALTHY_LOG_END_MS = POLL_WAIT_MS + 1_000;
/** Two checks of each reader in a row without an answer. */
const READER_SILENCE_MS: Milliseconds = 1_000;
/** A longer list of entries would block a link for other messages. */
export const MESSAGE_ENTRIES = 200;
const PUSHED_PEERS = 2;
const FLOOR_PEERS = 2;
const SNAPSHOT_RECORDS = 200;
const SNAPSHOT_RETENTION_SHARE = 0.25;

/** The order in which the members of a domain become readers. */
export function rankReaders(
  domain: FailureDomainName,
  members: readonly HostName[],
): HostName[] {
  return rankByRendezvous(`reader|${domain}`, new Set(members));
}

/** Whether the member at a place in the order of readers, from 0, reads the platform. */
export function isReader(rank: number): boolean {
  return rank >= 0 && rank < DOMAIN_READERS;
}

/** Whether the member at a place checks the readers and replaces them. */
export function isStandbyReader(rank: number): boolean {
  return rank >= DOMAIN_READERS && rank < DOMAIN_READERS + STANDBY_READERS;
}

/** A reader with a working platform sees the end of the log at least once per poll. */
export function isHealthyReader(
  logEndAge: Milliseconds | undefined,
): boolean {
  return logEndAge !== undefined && logEndAge <= HEALTHY_LOG_END_MS;
}

export function isStandbyNeeded(
  healthyAt: Milliseconds,
  now: Milliseconds,
): boolean {
  return now - healthyAt > READER_SILENCE_MS;
}

export interface SnapshotMark {
  readonly position: number;
  readonly at: Milliseconds;
}

export interface SnapshotQuestion {
  readonly position: number;
  readonly now: Milliseconds;
  readonly retentionMilliseconds: Milliseconds;
}

/** Whether the newest snapshot is too far behind the log or too close to its expiry. */
export function isSnapshotDue(
  last: SnapshotMark | undefined,
  { position, now, retentionMilliseconds }: SnapshotQuestion,
): boolean {
  if (position === 0) {
    return false;
  }
  const from = last?.position ?? 0;
  return position - from >= SNAPSHOT_RECORDS ||
    (last !== undefined &&
      now - last.at >= retentionMilliseconds * SNAPSHOT_RETENTION_SHARE);
}

/** The entries that a peer at a position lacks; undefined when it must ask for them itself. */
export function planPush(
  replica: Replica,
  peerPosition: number,
): readonly LogEntry[] | undefined {
  const entries = listEntries(replica, peerPosition);
  return entries === undefined || entries.length > MESSAGE_ENTRIES
    ? undefined
    : entries;
}

export interface Announcement {
  /** Peers that get the entries, or the position when the entries cannot be sent. */
  readonly push: readonly HostName[];
  /** Peers that get the position and ask for the entries if no one else sends them. */
  readonly notify: readonly HostName[];
}

/**
 * Entries go to few peers, since a peer that lacks them usually gets them from several sides.
 * At least two peers learn the version, so that one of them knows the floor of this host.
 */
export function planAnnouncement(
  peers: readonly Peer[],
  positions: ReadonlyMap<HostName, number>,
  options: {
    readonly ownDomain: FailureDomainName;
    readonly position: number;
  },
): Announcement {
  const hostOf = (peer: Peer) => peer.process.host;
  const lacking = peers.filter((peer) =>
    (positions.get(hostOf(peer)) ?? -1) < options.position
  );
  const push = lacking.filter((peer) =>
    peer.failureDomain === options.ownDomain && positions.has(hostOf(peer))
  ).slice(0, PUSHED_PEERS).map(hostOf);
  const notify = lacking.map(hostOf).filter((host) => !push.includes(host));
  const told = push.length + notify.length;
  const others = peers.filter((peer) => !lacking.includes(peer)).map(hostOf);
  return {
    push,
    notify: [...notify, ...others.slice(0, Math.max(0, FLOOR_PEERS - told))],
  };
}

/** Peers that are ahead of a position. */
export function listPeersAhead(
  positions: ReadonlyMap<HostName, number>,
  position: number,
): HostName[] {
  return [...positions].filter(([, other]) => other > position)
    .map(([host]) => host);
}

/**
 * The version that a restarted daemon must reach, or undefined while no ready peer has
 * answered. A ready peer's own version counts too: it covers an old process that died before
 * its last position arrived anywhere.
 */
export function decideFloor(
  answers: readonly FloorMessage[],
): ConfigurationVersion | undefined {
  if (!answers.some(({ isReady }) => isReady)) {
    return undefined;
  }
  return answers.reduce(
    (floor, { hostVersion, version, isReady }) =>
      Math.max(floor, hostVersion, isReady ? version : NO_VERSION),
    NO_VERSION,
  );
}

/**
 * Whether a ready daemon may vouch for the floor of a host. One that is cut off or that woke
 * from a pause may be older than the host was, so it must be in touch with the platform or
 * with another daemon, unless the two are the only ones.
 */
export function canVouch(contact: {
  readonly logEndAge: Milliseconds | undefined;
  readonly isCurrentWithPeers: boolean;
  readonly knowsOthers: boolean;
}): boolean {
  return isHealthyReader(contact.logEndAge) || contact.isCurrentWithPeers ||
    !contact.knowsOthers;
}
