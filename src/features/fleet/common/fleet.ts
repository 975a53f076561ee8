/**
 * The daemons that this one knows: where they accept links, and what each last told.
 *
 * @module
 */

import type { Clock } from "../../../base/common/clock.ts";
import type { Disposable } from "../../../base/common/disposable.ts";
import { createEmitter, type Event } from "../../../base/common/emitter.ts";
import type { EventLog } from "../../../base/common/event_log.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type {
  FailureDomainName,
  HostName,
} from "../../../world/common/names.ts";
import type { GateLoadReport } from "../../gate/common/gate_call.ts";
import type { DepartedInstance } from "../../gate/common/instance_tracker.ts";
import type {
  LinkTarget,
  Peer,
  PeerNetwork,
} from "../../link/common/peer_network.ts";
import {
  decodeStatus,
  encodeStatus,
  type HostStatus,
  STATUS_KIND,
  WELCOME_KIND,
  type WelcomeMessage,
} from "./fleet_messages.ts";

/** How often a daemon tells its status when nothing urgent changes. */
const STATUS_INTERVAL_MS: Milliseconds = 1_000;
/** Limits what the statuses cost in large fleets; loads also come with the outcomes of calls. */
const STATUS_INTERVAL_PER_MEMBER_MS: Milliseconds = 60;
/** The same while a rollout is judged by what gates have seen. */
const EVIDENCE_INTERVAL_MS: Milliseconds = 150;
/** Limits what evidence costs in large fleets: each daemon tells all others. */
const EVIDENCE_INTERVAL_PER_MEMBER_MS: Milliseconds = 6;

/** Another daemon with an open link. */
export interface FleetMember {
  readonly host: HostName;
  readonly failureDomain: FailureDomainName;
  readonly status: HostStatus;
  /** The newest that was told, with a status or with the outcome of a call. */
  load: GateLoadReport;
  /** When the instance stops being slow after its start. */
  readonly coldUntil: Milliseconds;
}

export interface Fleet extends Disposable {
  /** Daemons with an open link that have told their status. */
  readonly members: readonly FleetMember[];
  readonly hosts: readonly LinkTarget[];
  readonly onStatusReceived: Event<{ peer: Peer; status: HostStatus }>;
  /** Another daemon remembers instances that left the own host. */
  readonly onDepartedReported: Event<readonly DepartedInstance[]>;
  addHosts(targets: readonly LinkTarget[]): void;
  updateLoad(host: HostName, load: GateLoadReport): void;
  /** Tells the own status to all daemons now. */
  broadcastStatus(): void;
}

export interface FleetOptions {
  readonly self: LinkTarget;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly network: PeerNetwork;
  readonly describeSelf: () => HostStatus;
}

function formatTarget({ host, address, port }: LinkTarget): string {
  return `${host}@${address}:${port}`;
}

export function createFleet(options: FleetOptions): Fleet {
  const { clock, log, network, self } = options;
  const targets = new Map<HostName, LinkTarget>([[self.host, self]]);
  /** Hosts whose address belongs to another host now; their names are not used again. */
  const retired = new Set<string>();
  const members = new Map<HostName, FleetMember>();
  let notifiedAt = -Infinity;
  /** The values of `members`; each call asks for them, and they change seldom. */
  let memberList: readonly FleetMember[] = [];
  const departedByHost = new Map<HostName, readonly DepartedInstance[]>();
  const statusTold = createEmitter<{ peer: Peer; status: HostStatus }>();
  const recalled = createEmitter<readonly DepartedInstance[]>();

  function addHosts(added: readonly LinkTarget[]): void {
    let isChanged = false;
    for (const target of added) {
      const known = targets.get(target.host);
      if (
        target.host !== self.host && !retired.has(formatTarget(target)) &&
        (known?.address !== target.address || known.port !== target.port)
      ) {
        targets.set(target.host, target);
        isChanged = true;
      }
    }
    if (isChanged) {
      log.write("info", "fleet.hosts-changed", { count: targets.size });
      network.setTargets([...targets.values()]);
    }
  }

  /** Keeps one host for each address: a stale target would be dialled again and again. */
  function retire(target: LinkTarget): void {
    retired.add(formatTarget(target));
    if (targets.delete(target.host)) {
      log.write("info", "fleet.host-retired", { peer: target.host });
      network.setTargets([...targets.values()]);
    }
  }

  function retireOthersAt(target: LinkTarget): void {
    for (const other of [...targets.values()]) {
      if (
        other.host !== target.host && other.address === target.address &&
        other.port === target.port
      ) {
        retire(other);
      }
    }
  }

  function greet(peer: Peer): void {
    const { host } = peer.process;
    log.write("info", "fleet.link-opened", { peer: host });
    const welcome: WelcomeMessage = {
      kind: WELCOME_KIND,
      hosts: [...targets.values()],
      departed: departedByHost.get(host) ?? [],
    };
    network.send(host, welcome);
    network.send(host, encodeStatus(options.describeSelf()));
  }

  function takeStatus(peer: Peer, status: HostStatus): void {
    const { host } = peer.process;
    const now = clock.now();
    members.set(host, {
      host,
      failureDomain: peer.failureDomain,
      status,
      load: status.load,
      coldUntil: now + (status.instance?.coldForMilliseconds ?? 0),
    });
    memberList = [...members.values()];
    if (status.departed.length > 0) {
      departedByHost.set(host, status.departed);
    }
    statusTold.fire({ peer, status });
  }

  const registrations = [
    network.onLinkOpened(greet),
    network.onLinkClosed((peer) => {
      log.write("info", "fleet.link-closed", { peer: peer.process.host });
      members.delete(peer.process.host);
      memberList = [...members.values()];
    }),
    network.onTargetReplaced(retire),
    network.onMessage(WELCOME_KIND, (peer, message) => {
      const { hosts, departed } = message as WelcomeMessage;
      const own = hosts.find(({ host }) => host === peer.process.host);
      if (own !== undefined) {
        retireOthersAt(own);
      }
      addHosts(hosts);
      if (departed.length > 0) {
        recalled.fire(departed);
      }
    }),
    network.onMessage(
      STATUS_KIND,
      (peer, message) => {
        const status = decodeStatus(message);
        if (status === undefined) {
          log.write("error", "fleet.status-unreadable", {
            peer: peer.process.host,
          });
          return;
        }
        takeStatus(peer, status);
      },
    ),
    clock.repeat(STATUS_INTERVAL_MS, () => {
      const interval = STATUS_INTERVAL_PER_MEMBER_MS * members.size;
      if (clock.now() - notifiedAt >= interval - STATUS_INTERVAL_MS / 2) {
        notify();
      }
    }),
    clock.repeat(EVIDENCE_INTERVAL_MS, () => {
      const interval = EVIDENCE_INTERVAL_PER_MEMBER_MS * members.size;
      if (
        clock.now() - notifiedAt >= interval &&
        options.describeSelf().evidence.length > 0
      ) {
        notify();
      }
    }),
  ];

  function notify(): void {
    notifiedAt = clock.now();
    const status = encodeStatus(options.describeSelf());
    for (const peer of network.peers) {
      network.send(peer.process.host, status);
    }
  }

  return {
    get members() {
      return memberList;
    },
    get hosts() {
      return [...targets.values()];
    },
    onStatusReceived: statusTold.event,
    onDepartedReported: recalled.event,
    addHosts,
    updateLoad(host, load) {
      const member = members.get(host);
      if (member !== undefined) {
        member.load = load;
      }
    },
    broadcastStatus: notify,
    dispose() {
      for (const registration of registrations) {
        registration.dispose();
      }
      statusTold.dispose();
      recalled.dispose();
    },
  };
}
