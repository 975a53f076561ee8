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
import type { FloorMessage } from "./messages.ts";
import { listEntries, type Replica } from "./replica.ts";

/** Daemons of a failure domain that read the platform. */
export const DOMAIN_READERS = 2;
const SNAPSHOT_RECORDS = 200;
const SNAPSHOT_RETENTION_SHARE = 0.25;

/** The place of a host in the order in which the domain's members become readers, from 0. */
export function rankReader(
  host: HostName,
  domain: FailureDomainName,
  members: readonly HostName[],
): number {
  const candidates = new Set([...members, host]);
  return rankByRendezvous(`reader|${domain}`, candidates).indexOf(host);
}

export function isReader(rank: number): boolean {
  return rank < DOMAIN_READERS;
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

/** The entries that a peer at a position lacks; undefined when it must ask for the state. */
export function planPush(
  replica: Replica,
  peerPosition: number | undefined,
): readonly LogEntry[] | undefined {
  return peerPosition === undefined
    ? undefined
    : listEntries(replica, peerPosition);
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
