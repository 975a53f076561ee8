/**
 * The directory as the membership feature creates it, and what it is created from.
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

/** A heartbeat of a linked peer. */
export interface PeerHeartbeat extends AppliedConfiguration {
  readonly peer: Peer;
}

/** The directory with what claims and distribution need beyond the common interface. */
export interface MembershipDirectory extends Directory {
  /**
   * Since when all others have counted this process as a member without a break: the time at
   * which it had met more than half of its seeds, the end of its last pause, the time at which it
   * last refuted a suspicion, or the time at which the other side of a cut last returned.
   */
  readonly presentSince: Milliseconds;
  /** The highest version that any known member has applied; an upper limit of every floor. */
  readonly highestVersion: ConfigurationVersion;
  readonly onHeartbeat: Event<PeerHeartbeat>;
}

export interface DirectoryOptions {
  readonly self: HostIdentity;
  readonly network: PeerNetwork;
  /** Daemons that are asked first; those of any failure domain may be among them. */
  readonly seeds: readonly LinkTarget[];
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  /** What the heartbeats say of the configuration of this daemon. */
  readonly readConfiguration?: () => AppliedConfiguration;
}
