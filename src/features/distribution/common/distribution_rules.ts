/**
 * Decision rules of distribution: which daemons read the platform, when to write a snapshot, what
 * to send to which peer, and what the version floor is.
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

/** Daemons per failure domain that read the platform's log. */
export const DOMAIN_READERS = 2;
/** Further daemons per failure domain that read the log while no reader of the domain does. */
const STANDBY_READERS = 2;
/** The longest wait of a poll. A reader's view of the end of the log is at most this old. */
export const POLL_WAIT_MS: Milliseconds = 5_000;
const MAXIMUM_LOG_END_AGE_MS = POLL_WAIT_MS + 1_000;
/** The time of two consecutive checks of each reader without an answer. */
const READER_TIMEOUT_MS: Milliseconds = 1_000;
/** Maximum entries of a message; more would block a link for other messages. */
export const MESSAGE_ENTRIES = 200;
const PUSHED_PEERS = 2;
const MINIMUM_INFORMED_PEERS = 2;
const RECORDS_PER_SNAPSHOT = 200;
const SNAPSHOT_RETENTION_SHARE = 0.25;

/** Ranks the members of a failure domain as readers, first the ones that read. */
export function rankReaders(
  domain: FailureDomainName,
  members: readonly HostName[],
): HostName[] {
  return rankByRendezvous(`reader|${domain}`, new Set(members));
}

/** Whether the member with this rank, from 0, reads the platform's log. */
export function isReader(rank: number): boolean {
  return rank >= 0 && rank < DOMAIN_READERS;
}

/** Whether the member with this rank checks the readers and takes over if none is healthy. */
export function isStandbyReader(rank: number): boolean {
  return rank >= DOMAIN_READERS && rank < DOMAIN_READERS + STANDBY_READERS;
}

/** A reader that can reach the platform sees the end of the log at least once per poll. */
export function isHealthyReader(
  logEndAge: Milliseconds | undefined,
): boolean {
  return logEndAge !== undefined && logEndAge <= MAXIMUM_LOG_END_AGE_MS;
}

export function isStandbyNeeded(
  lastHealthyAt: Milliseconds,
  now: Milliseconds,
): boolean {
  return now - lastHealthyAt > READER_TIMEOUT_MS;
}

export interface LastSnapshot {
  readonly position: number;
  readonly at: Milliseconds;
}

export interface SnapshotConditions {
  readonly position: number;
  readonly now: Milliseconds;
  readonly retentionMilliseconds: Milliseconds;
}

/** Whether the newest snapshot is too far behind the log or too close to its expiry. */
export function isSnapshotDue(
  last: LastSnapshot | undefined,
  { position, now, retentionMilliseconds }: SnapshotConditions,
): boolean {
  if (position === 0) {
    return false;
  }
  const from = last?.position ?? 0;
  return position - from >= RECORDS_PER_SNAPSHOT ||
    (last !== undefined &&
      now - last.at >= retentionMilliseconds * SNAPSHOT_RETENTION_SHARE);
}

/**
 * Returns the entries that a peer at a position lacks; undefined when they are not retained or too
 * many for one message, and the peer must request them.
 */
export function planPush(
  replica: Replica,
  peerPosition: number,
): readonly LogEntry[] | undefined {
  const entries = listEntries(replica, peerPosition);
  return entries === undefined || entries.length > MESSAGE_ENTRIES
    ? undefined
    : entries;
}

export interface AnnouncementPlan {
  /** Peers that get the entries, or the position when the entries cannot be sent. */
  readonly push: readonly HostName[];
  /** Peers that get the position and request the entries if no other peer sends them. */
  readonly notify: readonly HostName[];
}

/**
 * Plans which peers to inform of a new position. Entries are pushed to few peers, since a peer that
 * lacks them usually gets them from several others. At least two peers are informed of the version,
 * so that one of them knows the floor of this host.
 */
export function planAnnouncement(
  peers: readonly Peer[],
  positions: ReadonlyMap<HostName, number>,
  options: {
    readonly ownDomain: FailureDomainName;
    readonly position: number;
  },
): AnnouncementPlan {
  const hostOf = (peer: Peer) => peer.process.host;
  const lacking = peers.filter((peer) =>
    (positions.get(hostOf(peer)) ?? -1) < options.position
  );
  const push = lacking.filter((peer) =>
    peer.failureDomain === options.ownDomain && positions.has(hostOf(peer))
  ).slice(0, PUSHED_PEERS).map(hostOf);
  const notify = lacking.map(hostOf).filter((host) => !push.includes(host));
  const informedCount = push.length + notify.length;
  const others = peers.filter((peer) => !lacking.includes(peer)).map(hostOf);
  return {
    push,
    notify: [
      ...notify,
      ...others.slice(0, Math.max(0, MINIMUM_INFORMED_PEERS - informedCount)),
    ],
  };
}

/** Returns the peers that are ahead of a position. */
export function listPeersAhead(
  positions: ReadonlyMap<HostName, number>,
  position: number,
): HostName[] {
  return [...positions].filter(([, other]) => other > position)
    .map(([host]) => host);
}

/**
 * Returns the version that a restarted daemon must reach, or undefined while no ready peer has
 * answered. The own version of a ready peer counts too, in case the previous process of the host
 * died before its last position reached any peer.
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
 * Whether a ready daemon may confirm the version floor of a host. A daemon that is partitioned or
 * was paused may be behind the version that the host had in force, so it must be in contact with
 * the platform or with another daemon, unless it and the host are the only daemons.
 */
export function canConfirmFloor(contact: {
  readonly logEndAge: Milliseconds | undefined;
  readonly isCurrentWithPeers: boolean;
  readonly hasOtherDaemons: boolean;
}): boolean {
  return isHealthyReader(contact.logEndAge) || contact.isCurrentWithPeers ||
    !contact.hasOtherDaemons;
}
