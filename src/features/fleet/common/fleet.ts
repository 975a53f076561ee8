/**
 * Tracks the other daemons: where they accept links, and the last status of each.
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
import type { NamedRateLimit } from "../../gate/common/named_rate_limit.ts";
import type { DepartedInstance } from "../../../world/common/mesh_instance.ts";
import type {
  LinkTarget,
  Peer,
  PeerNetwork,
} from "../../link/common/peer_network.ts";
import { chooseAnnouncementTargets } from "./announcement_choice.ts";
import {
  decodeRateLimit,
  decodeStatus,
  decodeTargets,
  encodeStatus,
  HOSTS_REQUEST_KIND,
  type HostStatus,
  RATE_LIMIT_KIND,
  type RateLimitMessage,
  STATUS_KIND,
  WELCOME_KIND,
  type WelcomeMessage,
} from "./fleet_messages.ts";

/** Minimum interval of regular status broadcasts; urgent changes are broadcast immediately. */
const STATUS_INTERVAL_MS: Milliseconds = 1_000;
/** Limits the cost of statuses in large fleets; loads are also sent with the outcomes of calls. */
const STATUS_INTERVAL_PER_MEMBER_MS: Milliseconds = 60;
/** Minimum interval of statuses to the evaluators while the daemon has evidence for a running rollout. */
const EVIDENCE_INTERVAL_MS: Milliseconds = 150;
/** Limits the cost of evidence in large fleets: each evaluator gets it from all others. */
const EVIDENCE_INTERVAL_PER_MEMBER_MS: Milliseconds = 6;
/** A daemon that has not read the hosts from the store asks a few peers, as one may know few hosts itself. */
const MAXIMUM_HOSTS_REQUESTS = 3;

/** The longest time between two statuses of a daemon to an evaluator while it has evidence. */
export function computeEvidenceInterval(members: number): Milliseconds {
  return EVIDENCE_INTERVAL_MS + EVIDENCE_INTERVAL_PER_MEMBER_MS * members;
}

/** Another daemon with an open link. */
export interface FleetMember {
  readonly host: HostName;
  readonly failureDomain: FailureDomainName;
  readonly status: HostStatus;
  /** The latest load, from a status or from the outcome of a call. */
  load: GateLoadReport;
  loadReceivedAt: Milliseconds;
  /** When the cold start of the instance ends. */
  readonly coldUntil: Milliseconds;
  readonly receivedAt: Milliseconds;
}

export interface Fleet extends Disposable {
  /** Daemons with an open link that have sent a status. */
  readonly members: readonly FleetMember[];
  readonly hosts: readonly LinkTarget[];
  /** Whether the hosts that the store lists have been added. */
  readonly hasListedHosts: boolean;
  readonly onStatusReceived: Event<{ peer: Peer; status: HostStatus }>;
  /** Fires when another daemon reports instances that have departed from the own host. */
  readonly onDepartedReported: Event<readonly DepartedInstance[]>;
  /** Fires when another daemon reports the rate limit that the instance on the own host has named. */
  readonly onRateLimitReported: Event<NamedRateLimit>;
  /** Adds the hosts that the store lists. */
  addListedHosts(targets: readonly LinkTarget[]): void;
  updateLoad(host: HostName, load: GateLoadReport): void;
  /** Sends the own status to all daemons immediately. */
  broadcastStatus(): void;
  /** Sends the own status to a few daemons of each failure domain immediately. */
  announceStatus(): void;
  /** Sends the rate limit of the own instance to all daemons. */
  broadcastRateLimit(limit: NamedRateLimit): void;
}

export interface FleetOptions {
  readonly self: LinkTarget;
  readonly failureDomain: FailureDomainName;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly network: PeerNetwork;
  readonly describeSelf: () => HostStatus;
  /** The daemons that evaluate the evidence of rollouts. */
  readonly evidenceRecipients: () => readonly HostName[];
}

function formatTarget({ host, address, port }: LinkTarget): string {
  return `${host}@${address}:${port}`;
}

export function createFleet(options: FleetOptions): Fleet {
  const { clock, log, network, self } = options;
  const targets = new Map<HostName, LinkTarget>([[self.host, self]]);
  /** Targets (`host@address:port`) whose address now belongs to another host; they are not added again. */
  const retiredTargets = new Set<string>();
  const members = new Map<HostName, FleetMember>();
  let lastBroadcastAt = -Infinity;
  let lastEvidenceAt = -Infinity;
  let hasListedHosts = false;
  let hostsRequests = 0;
  /** Cached values of `members`, which every call reads and which change rarely. */
  let memberList: readonly FleetMember[] = [];
  const departedByHost = new Map<HostName, readonly DepartedInstance[]>();
  const statusReceived = createEmitter<{ peer: Peer; status: HostStatus }>();
  const departedReported = createEmitter<readonly DepartedInstance[]>();
  const rateLimitByHost = new Map<HostName, NamedRateLimit>();
  const rateLimitReported = createEmitter<NamedRateLimit>();

  function addHosts(added: readonly LinkTarget[]): void {
    let isChanged = false;
    for (const target of added) {
      const known = targets.get(target.host);
      if (
        target.host !== self.host &&
        !retiredTargets.has(formatTarget(target)) &&
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

  /** Keeps one host for each address: a stale target would be dialled repeatedly. */
  function retireTarget(target: LinkTarget): void {
    retiredTargets.add(formatTarget(target));
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
        retireTarget(other);
      }
    }
  }

  function sendWelcome(
    { process: { host } }: Peer,
    hosts: readonly LinkTarget[],
  ): void {
    const welcome: WelcomeMessage = {
      kind: WELCOME_KIND,
      hosts,
      departed: departedByHost.get(host) ?? [],
      rateLimit: rateLimitByHost.get(host),
    };
    network.send(host, welcome);
  }

  function handleLinkOpened(peer: Peer): void {
    const { host } = peer.process;
    log.write("info", "fleet.link-opened", { peer: host });
    sendWelcome(peer, [self]);
    network.send(host, encodeStatus(options.describeSelf()));
    if (!hasListedHosts && hostsRequests < MAXIMUM_HOSTS_REQUESTS) {
      hostsRequests += 1;
      network.send(host, { kind: HOSTS_REQUEST_KIND });
    }
  }

  function applyStatus(peer: Peer, status: HostStatus): void {
    const { host } = peer.process;
    const now = clock.now();
    members.set(host, {
      host,
      failureDomain: peer.failureDomain,
      status,
      load: status.load,
      loadReceivedAt: now,
      coldUntil: now + (status.instance?.coldForMilliseconds ?? 0),
      receivedAt: now,
    });
    memberList = [...members.values()];
    if (status.departed.length > 0) {
      departedByHost.set(host, status.departed);
    }
    statusReceived.fire({ peer, status });
  }

  const registrations = [
    network.onLinkOpened(handleLinkOpened),
    network.onMessage(
      HOSTS_REQUEST_KIND,
      (peer) => sendWelcome(peer, [...targets.values()]),
    ),
    network.onLinkClosed((peer) => {
      log.write("info", "fleet.link-closed", { peer: peer.process.host });
      members.delete(peer.process.host);
      memberList = [...members.values()];
    }),
    network.onTargetReplaced(retireTarget),
    network.onMessage(WELCOME_KIND, (peer, message) => {
      const { departed, rateLimit, ...welcome } = message as WelcomeMessage;
      const hosts = decodeTargets(welcome.hosts);
      const own = hosts.find(({ host }) => host === peer.process.host);
      if (own !== undefined) {
        retireOthersAt(own);
      }
      addHosts(hosts);
      if (departed.length > 0) {
        departedReported.fire(departed);
      }
      const ownRateLimit = decodeRateLimit(rateLimit);
      if (ownRateLimit !== undefined) {
        rateLimitReported.fire(ownRateLimit);
      }
    }),
    network.onMessage(RATE_LIMIT_KIND, (peer, message) => {
      const rateLimit = decodeRateLimit(
        (message as RateLimitMessage).rateLimit,
      );
      if (rateLimit !== undefined) {
        rateLimitByHost.set(peer.process.host, rateLimit);
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
        applyStatus(peer, status);
      },
    ),
    clock.repeat(STATUS_INTERVAL_MS, () => {
      const interval = STATUS_INTERVAL_PER_MEMBER_MS * members.size;
      if (clock.now() - lastBroadcastAt >= interval - STATUS_INTERVAL_MS / 2) {
        broadcastStatus();
      }
    }),
    clock.repeat(EVIDENCE_INTERVAL_MS, () => {
      const interval = EVIDENCE_INTERVAL_PER_MEMBER_MS * members.size;
      const now = clock.now();
      if (now - Math.max(lastBroadcastAt, lastEvidenceAt) >= interval) {
        sendEvidence(now);
      }
    }),
  ];

  function listPeerHosts(): readonly HostName[] {
    return network.peers.map(({ process }) => process.host);
  }

  function broadcastStatus(): void {
    lastBroadcastAt = clock.now();
    network.sendToAll(listPeerHosts(), encodeStatus(options.describeSelf()));
  }

  function announceStatus(): void {
    const linked = network.peers.map(({ process, failureDomain }) => ({
      host: process.host,
      failureDomain,
    }));
    network.sendToAll(
      chooseAnnouncementTargets({
        host: self.host,
        failureDomain: options.failureDomain,
      }, linked),
      encodeStatus(options.describeSelf()),
    );
  }

  function sendEvidence(now: Milliseconds): void {
    const status = options.describeSelf();
    if (status.evidence.length > 0) {
      lastEvidenceAt = now;
      network.sendToAll(options.evidenceRecipients(), encodeStatus(status));
    }
  }

  return {
    get members() {
      return memberList;
    },
    get hosts() {
      return [...targets.values()];
    },
    get hasListedHosts() {
      return hasListedHosts;
    },
    onStatusReceived: statusReceived.event,
    onDepartedReported: departedReported.event,
    onRateLimitReported: rateLimitReported.event,
    addListedHosts(listed) {
      hasListedHosts = true;
      addHosts(listed);
    },
    updateLoad(host, load) {
      const member = members.get(host);
      if (member !== undefined) {
        member.load = load;
        member.loadReceivedAt = clock.now();
      }
    },
    broadcastStatus,
    announceStatus,
    broadcastRateLimit(rateLimit) {
      const message: RateLimitMessage = { kind: RATE_LIMIT_KIND, rateLimit };
      network.sendToAll(listPeerHosts(), message);
    },
    dispose() {
      for (const registration of registrations) {
        registration.dispose();
      }
      statusReceived.dispose();
      departedReported.dispose();
      rateLimitReported.dispose();
    },
  };
}
