/**
 * The directory that the membership feature creates, and its options.
 *
 * @module
 */

import type { Clock } from "../../../base/common/clock.ts";
import type { Event } from "../../../base/common/emitter.ts";
import type { EventLog } from "../../../base/common/event_log.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { RandomSource } from "../../../base/common/random_source.ts";
import type { HostIdentity } from "../../../world/common/host.ts";
import type { ConfigurationVersion } from "../../../world/common/names.ts";
import type {
  LinkTarget,
  Peer,
  PeerNetwork,
} from "../../link/common/peer_network.ts";
import type { Directory } from "./directory.ts";
import type { AppliedConfiguration } from "./heartbeat_message.ts";

/** The configuration state that a linked peer reported in a heartbeat. */
export interface PeerHeartbeat extends AppliedConfiguration {
  readonly peer: Peer;
}

/** Extends the directory with the data that claims and distribution need. */
export interface MembershipDirectory extends Directory {
  /**
   * The time since which all others have continuously counted this process as a member: when it had
   * met more than half of its seeds, when its last pause ended, when it last refuted a suspicion,
   * or when the other side of a network partition last returned, whichever was last.
   */
  readonly presentSince: Milliseconds;
  /** The highest version that any known member has applied. No version floor is above it. */
  readonly highestVersion: ConfigurationVersion;
  readonly onHeartbeat: Event<PeerHeartbeat>;
}

export interface DirectoryOptions {
  readonly self: HostIdentity;
  readonly network: PeerNetwork;
  /** Daemons of any failure domain that are contacted first. */
  readonly seeds: readonly LinkTarget[];
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  /** Returns the configuration state that heartbeats report. */
  readonly readConfiguration?: () => AppliedConfiguration;
}
