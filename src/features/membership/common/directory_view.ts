/**
 * Cached lists of members and instances, recomputed on the first read after a change.
 *
 * @module
 */

import type { HostIdentity } from "../../../world/common/host.ts";
import type { HostName } from "../../../world/common/names.ts";
import {
  formatInstanceIdentity,
  type UpstreamInstance,
} from "../../../world/common/upstream_instance.ts";
import type { Member } from "./directory.ts";
import type { SummaryRecord } from "./domain_summary.ts";
import { isActiveMember } from "./member_record.ts";
import type { RecordStore } from "./record_store.ts";
import type { RemoteContacts } from "./remote_contacts.ts";

export interface DirectoryViewOptions {
  readonly self: HostIdentity;
  readonly members: RecordStore<Member>;
  readonly summaries: RecordStore<SummaryRecord>;
  readonly contacts: RemoteContacts;
}

export interface DirectoryView {
  readonly localMembers: readonly Member[];
  readonly remoteMembers: readonly Member[];
  readonly localInstances: readonly UpstreamInstance[];
  readonly instances: readonly UpstreamInstance[];
  invalidate(): void;
}

/** The instances of a member that calls may be routed to. */
export function listUsableInstances(member: Member): UpstreamInstance[] {
  // A suspect may be dead. The announcements in its record would then never expire.
  if (member.state !== "alive") {
    return [];
  }
  const { host } = member.process;
  return member.upstreams.filter(({ state }) => state !== "draining")
    .map((upstream) => ({
      ...upstream,
      identity: formatInstanceIdentity(host, upstream),
      host,
      failureDomain: member.failureDomain,
    }));
}

export function createDirectoryView(
  options: DirectoryViewOptions,
): DirectoryView {
  const { self, members, summaries, contacts } = options;
  let localMembers: readonly Member[] | undefined;
  let localInstances: readonly UpstreamInstance[] | undefined;
  let instances: readonly UpstreamInstance[] | undefined;

  function listRemoteSummaries(): SummaryRecord[] {
    return [...summaries.values()].filter(({ failureDomain }) =>
      failureDomain !== self.failureDomain
    );
  }

  const view: DirectoryView = {
    get localMembers() {
      return localMembers ??= [...members.values()].filter(isActiveMember);
    },
    get remoteMembers() {
      const found = new Map<HostName, Member>();
      const daemons = listRemoteSummaries().flatMap(({ daemons }) => daemons);
      for (const member of [...daemons, ...contacts.list()]) {
        found.set(member.process.host, member);
      }
      return [...found.values()];
    },
    get localInstances() {
      return localInstances ??= view.localMembers.flatMap(listUsableInstances);
    },
    get instances() {
      return instances ??= [
        ...view.localInstances,
        ...listRemoteSummaries().flatMap(({ endpoints }) => endpoints),
      ];
    },
    invalidate() {
      localMembers = undefined;
      localInstances = undefined;
      instances = undefined;
    },
  };
  return view;
}
