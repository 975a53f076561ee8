/**
 * The members and upstreams that this daemon knows, as the other features see them.
 *
 * @module
 */

import type { Disposable } from "../../../base/common/disposable.ts";
import type { Event } from "../../../base/common/emitter.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type {
  HostAddresses,
  HostIdentity,
  ProcessIdentity,
} from "../../../world/common/host.ts";
import type {
  ConfigurationVersion,
  FailureDomainName,
  HostName,
} from "../../../world/common/names.ts";
import type {
  UpstreamAnnouncement,
  UpstreamInstance,
} from "../../../world/common/upstream_instance.ts";

export type MemberState = "alive" | "suspect" | "dead" | "left";

export interface Member {
  readonly process: ProcessIdentity;
  readonly failureDomain: FailureDomainName;
  readonly addresses: HostAddresses;
  /** Raised by the member itself to refute a false suspicion. */
  readonly incarnation: number;
  readonly state: MemberState;
  readonly appliedVersion: ConfigurationVersion;
  readonly upstreams: readonly UpstreamAnnouncement[];
}

/** A process that is no longer a member, kept while claims of its time may exist. */
export interface Departure {
  readonly process: ProcessIdentity;
  readonly failureDomain: FailureDomainName;
  readonly departedAt: Milliseconds;
  /** A process known only by suspicion may still run; `dead` when absent. */
  readonly cause?: "dead" | "left" | "replaced";
}

export interface Directory extends Disposable {
  readonly self: HostIdentity;
  /** Members of the own failure domain in the states `alive` and `suspect`, with this one. */
  readonly localMembers: readonly Member[];
  /** Known daemons of other failure domains. */
  readonly remoteMembers: readonly Member[];
  /** Processes of the own failure domain that departed within the claim retention. */
  readonly departures: readonly Departure[];
  /** Instances that may be given work: announced, not draining, on a live host. */
  readonly instances: readonly UpstreamInstance[];
  readonly onChanged: Event<void>;

  findMember(host: HostName): Member | undefined;
  /** Takes the announcement of an upstream on this host, or its renewal. */
  announce(announcement: UpstreamAnnouncement): void;
  /** Says that this daemon is leaving, so that others stop choosing it and its upstreams. */
  leave(): void;
}
