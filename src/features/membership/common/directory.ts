/**
 * Interface through which other features read the known members and upstream instances.
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
  /** Raised only by the member itself, to refute a false suspicion. */
  readonly incarnation: number;
  readonly state: MemberState;
  readonly appliedVersion: ConfigurationVersion;
  readonly upstreams: readonly UpstreamAnnouncement[];
}

/** A process that is no longer a member, kept as long as claims from its lifetime may exist. */
export interface Departure {
  readonly process: ProcessIdentity;
  readonly failureDomain: FailureDomainName;
  readonly departedAt: Milliseconds;
  /** A process that was declared `dead` may still run; absent means `dead`. */
  readonly cause?: "dead" | "left" | "replaced";
}

export interface Directory extends Disposable {
  readonly self: HostIdentity;
  /** Members of the own failure domain that are `alive` or `suspect`, including this one. */
  readonly localMembers: readonly Member[];
  /** The known daemons of other failure domains. */
  readonly remoteMembers: readonly Member[];
  /** Processes of the own failure domain that departed within the retention time of claims. */
  readonly departures: readonly Departure[];
  /** Instances that calls may be routed to: announced, not draining, on a host that is alive. */
  readonly instances: readonly UpstreamInstance[];
  readonly onChanged: Event<void>;

  findMember(host: HostName): Member | undefined;
  /** Adds or renews the announcement of an upstream on this host. */
  announce(announcement: UpstreamAnnouncement): void;
  /** Announces that this daemon leaves, so that others stop using it and its upstreams. */
  leave(): void;
}
