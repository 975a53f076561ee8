/**
 * Creates the directory of a daemon, which owns the member state and keeps it current over a peer
 * network. The network delivers one message at a time, and each is handled synchronously.
 *
 * @module
 */

import { createDisposableStore } from "../../../base/common/disposable.ts";
import { createEmitter } from "../../../base/common/emitter.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import { formatProcess } from "../../../world/common/host.ts";
import {
  type ConfigurationVersion,
  type HostName,
  NO_VERSION,
} from "../../../world/common/names.ts";
import type {
  LinkMessage,
  LinkTarget,
  Peer,
} from "../../link/common/peer_network.ts";
import { createAnnouncementList } from "./announcement_list.ts";
import {
  CONTACTS_KIND,
  decodeContacts,
  encodeContacts,
} from "./contacts_message.ts";
import type { Member } from "./directory.ts";
import { createDirectoryView } from "./directory_view.ts";
import { SUMMARY_RECORD, type SummaryRecord } from "./domain_summary.ts";
import { PAUSE_THRESHOLD_MS } from "./failure_detector.ts";
import { createGossip } from "./gossip.ts";
import {
  type AppliedConfiguration,
  decodeHeartbeat,
  encodeHeartbeat,
  HEARTBEAT_KIND,
} from "./heartbeat_message.ts";
import { toLinkTarget } from "./link_choice.ts";
import { createLivenessMonitor } from "./liveness_monitor.ts";
import { createMemberProbe } from "./member_probe.ts";
import type {
  DirectoryOptions,
  MembershipDirectory,
  PeerHeartbeat,
} from "./membership_directory.ts";
import { createMemberState } from "./member_state.ts";
import { createRecordStore } from "./record_store.ts";
import { createRemoteContacts } from "./remote_contacts.ts";
import { createSeedQuorum } from "./seed_quorum.ts";
import { createSummaryWriter } from "./summary_writer.ts";
import { createTargetPlanner, type KnownDaemons } from "./target_planner.ts";

export const HEARTBEAT_INTERVAL_MS: Milliseconds = 1_000;

/** The longest delay of expiry and suspicion, small compared to their timeouts of 3 s. */
const CHECK_INTERVAL_MS: Milliseconds = 250;

/** Contacts are sent to daemons of other failure domains at every tenth heartbeat. */
const HEARTBEATS_PER_CONTACTS = 10;

const NO_CONFIGURATION: AppliedConfiguration = {
  logPosition: NO_VERSION,
  appliedVersion: NO_VERSION,
};

export function createDirectory(
  options: DirectoryOptions,
): MembershipDirectory {
  const { self, network, clock, random, log } = options;
  const ownHost = self.process.host;
  const state = createMemberState(self);
  const { members } = state;
  const summaries = createRecordStore<SummaryRecord>(SUMMARY_RECORD);
  const announcements = createAnnouncementList();
  const contacts = createRemoteContacts();
  const seedQuorum = createSeedQuorum(self.process, options.seeds);
  const planner = createTargetPlanner(ownHost, options.seeds, random);
  const view = createDirectoryView({ self, members, summaries, contacts });
  const changed = createEmitter<void>();
  const heartbeats = createEmitter<PeerHeartbeat>();
  const owned = createDisposableStore();
  let targets: readonly LinkTarget[] = [];
  let areTargetsStale = true;
  let lastCheckAt = clock.now();
  let sequence = 0;
  let highestVersion = NO_VERSION;

  const gossip = owned.add(createGossip({
    network,
    clock,
    failureDomain: self.failureDomain,
    members,
    summaries,
    acceptMember,
    acceptSummary: (record) => summaries.merge(record),
    onRecordsAccepted: handleChange,
  }));
  const summaryWriter = owned.add(createSummaryWriter({
    state,
    view,
    summaries,
    clock,
    publish: (key) => gossip.publish("summaries", key),
  }));
  const probe = owned.add(createMemberProbe(self, network, random));
  const livenessMonitor = createLivenessMonitor({
    ownHost,
    state,
    view,
    network,
    probe,
    log,
    readTimeAndDetectPause,
    listTargets: () => targets,
    onSuspect(host) {
      gossip.publish("members", host);
      handleChange();
    },
  });
  const { detector } = livenessMonitor;

  function acceptMember(record: Member): boolean {
    const outcome = state.accept(record, readTimeAndDetectPause());
    const member = formatProcess(record.process);
    if (outcome === "accepted" && record.state !== "alive") {
      log.write("info", `membership.${record.state}`, { member });
      if (record.state !== "suspect") {
        detector.unwatch(record.process.host);
      }
    } else if (outcome === "refuted") {
      log.write("warn", "membership.refuted", {
        incarnation: state.own.incarnation,
      });
      publishOwn();
    } else if (outcome === "replaced") {
      log.write("error", "membership.replaced", { member });
    }
    return outcome === "accepted";
  }

  function publishOwn(): void {
    gossip.publish("members", ownHost);
    gossip.flush();
    handleChange();
  }

  function handleChange(): void {
    view.invalidate();
    areTargetsStale = true;
    summaryWriter.schedule();
    changed.fire();
  }

  /** Returns the current time. A gap since the last check means that this process was paused. */
  function readTimeAndDetectPause(): Milliseconds {
    const now = clock.now();
    if (now - lastCheckAt >= PAUSE_THRESHOLD_MS) {
      log.write("warn", "membership.paused", {
        milliseconds: now - lastCheckAt,
      });
      lastCheckAt = now;
      detector.unwatchAll();
      announcements.restartLifetimes(now);
      state.rejoin(now);
      publishOwn();
    }
    return now;
  }

  function listKnownDaemons(): KnownDaemons {
    const now = clock.now();
    return {
      local: view.localMembers.filter(({ process }) =>
        process.host !== ownHost
      ),
      remote: view.remoteMembers.filter(({ process }) =>
        !contacts.isAvoided(process.host, now)
      ),
      dead: [...members.values()].filter((member) => member.state === "dead"),
    };
  }

  function updateTargets(): void {
    const now = clock.now();
    const next = planner.plan(listKnownDaemons(), now);
    areTargetsStale = false;
    if (describeTargets(next) !== describeTargets(targets)) {
      targets = next;
      network.setTargets(next);
    }
    for (const { host } of targets) {
      if (members.get(host)?.state === "alive") {
        detector.watch(host, now);
      }
    }
  }

  function sendHeartbeat(peer: Peer): void {
    const configuration = options.readConfiguration?.() ?? NO_CONFIGURATION;
    recordVersion(ownHost, configuration.appliedVersion);
    network.send(
      peer.process.host,
      encodeHeartbeat({
        ...configuration,
        sequence,
        highestVersion,
        memberDigest: isLocal(peer) ? members.digest : 0,
        summaryDigest: summaries.digest,
      }),
    );
  }

  function handleHeartbeat(peer: Peer, message: LinkMessage): void {
    const heartbeat = decodeHeartbeat(message);
    if (heartbeat === undefined) {
      return;
    }
    const now = readTimeAndDetectPause();
    highestVersion = Math.max(highestVersion, heartbeat.highestVersion);
    if (isLocal(peer)) {
      detector.recordHeard(peer.process.host, now);
      recordVersion(peer.process.host, heartbeat.appliedVersion);
    }
    gossip.compareDigests(
      peer,
      heartbeat.memberDigest,
      heartbeat.summaryDigest,
    );
    const { logPosition, appliedVersion } = heartbeat;
    heartbeats.fire({ peer, logPosition, appliedVersion });
  }

  function recordVersion(host: HostName, version: ConfigurationVersion): void {
    highestVersion = Math.max(highestVersion, version);
    if (state.updateAppliedVersion(host, version)) {
      view.invalidate();
    }
  }

  function isLocal(peer: Peer): boolean {
    return peer.failureDomain === self.failureDomain;
  }

  function sendContacts(peer: Peer): void {
    network.send(peer.process.host, encodeContacts(peer, view.localMembers));
  }

  function handleContacts(peer: Peer, message: LinkMessage): void {
    if (!isLocal(peer)) {
      decodeContacts(message, peer.failureDomain).forEach(contacts.add);
      areTargetsStale = true;
    }
  }

  function runHeartbeat(): void {
    const now = readTimeAndDetectPause();
    sequence += 1;
    const { peers } = network;
    for (const peer of peers) {
      sendHeartbeat(peer);
      if (!isLocal(peer) && sequence % HEARTBEATS_PER_CONTACTS === 0) {
        sendContacts(peer);
      }
    }
    const linked = new Set(peers.map(({ process }) => process.host));
    for (const { host } of targets) {
      if (members.get(host) === undefined) {
        contacts.recordLinkState(host, linked.has(host), now);
      }
    }
    state.expire(now);
    // This daemon may have become the summary writer without a change of the members.
    summaryWriter.schedule();
    livenessMonitor.watchUnwatched(now);
    searchLostMember(now);
    updateTargets();
  }

  async function searchLostMember(now: Milliseconds): Promise<void> {
    const target = planner.takeSearchTarget(listKnownDaemons(), now);
    if (target !== undefined) {
      const result = await network.request(
        target.host,
        { kind: "member-ping" },
        { timeoutMilliseconds: HEARTBEAT_INTERVAL_MS },
      );
      if (result.ok) {
        planner.keepRediscovered(target, clock.now());
        areTargetsStale = true;
      }
    }
  }

  function check(): void {
    const now = readTimeAndDetectPause();
    lastCheckAt = now;
    if (announcements.expire(now)) {
      state.setUpstreams(announcements.upstreams);
      publishOwn();
    }
    for (const host of state.expireSuspicions(now)) {
      log.write("info", "membership.dead", { member: host });
      detector.unwatch(host);
      gossip.publish("members", host);
      handleChange();
    }
    livenessMonitor.probeSilentMembers(now);
    seedQuorum.check(isKnown, now);
    if (areTargetsStale) {
      updateTargets();
    }
  }

  function findMember(host: HostName): Member | undefined {
    return members.get(host) ?? contacts.get(host) ??
      view.remoteMembers.find(({ process }) => process.host === host);
  }

  function isKnown(host: HostName): boolean {
    return findMember(host) !== undefined ||
      network.peers.some(({ process }) => process.host === host);
  }

  owned.add(network.onMessage(HEARTBEAT_KIND, handleHeartbeat));
  owned.add(network.onMessage(CONTACTS_KIND, handleContacts));
  owned.add(network.onLinkOpened((peer) => {
    if (isLocal(peer)) {
      detector.recordHeard(peer.process.host, clock.now());
    } else {
      sendContacts(peer);
    }
    sendHeartbeat(peer);
  }));
  network.setAddressResolver((host) => {
    const member = findMember(host);
    return member === undefined
      ? options.seeds.find((seed) => seed.host === host)
      : toLinkTarget(member);
  });
  owned.add(clock.repeat(CHECK_INTERVAL_MS, check));
  // A random phase keeps daemons that start together from sending heartbeats together.
  const phase = random.nextFraction() * HEARTBEAT_INTERVAL_MS;
  owned.add(clock.schedule(phase, () => {
    owned.add(clock.repeat(HEARTBEAT_INTERVAL_MS, runHeartbeat));
    runHeartbeat();
  }));
  updateTargets();

  return {
    self,
    get localMembers() {
      return view.localMembers;
    },
    get remoteMembers() {
      return view.remoteMembers;
    },
    get instances() {
      return view.instances;
    },
    get departures() {
      return state.departures;
    },
    get presentSince() {
      const now = readTimeAndDetectPause();
      return Math.max(seedQuorum.joinedAt ?? now, state.presentSince);
    },
    get highestVersion() {
      return highestVersion;
    },
    onChanged: changed.event,
    onHeartbeat: heartbeats.event,
    findMember,
    announce(announcement) {
      if (announcements.renew(announcement, readTimeAndDetectPause())) {
        state.setUpstreams(announcements.upstreams);
        publishOwn();
      }
    },
    leave() {
      state.leave();
      log.write("info", "membership.leave");
      publishOwn();
    },
    dispose() {
      owned.dispose();
      changed.dispose();
      heartbeats.dispose();
    },
  };
}

function describeTargets(targets: readonly LinkTarget[]): string {
  return targets.map(({ host, address, port }) => `${host} ${address} ${port}`)
    .sort().join("|");
}
