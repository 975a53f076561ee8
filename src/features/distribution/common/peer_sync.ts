/**
 * Exchange of positions, log entries and whole states with peers.
 *
 * @module
 */

import { computeBackoff } from "../../../base/common/backoff.ts";
import type { Clock } from "../../../base/common/clock.ts";
import {
  createDisposableStore,
  type Disposable,
} from "../../../base/common/disposable.ts";
import type { EventLog } from "../../../base/common/event_log.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { RandomSource } from "../../../base/common/random_source.ts";
import type { HostIdentity } from "../../../world/common/host.ts";
import type { LogEntry } from "../../../world/common/log_record.ts";
import type {
  ConfigurationVersion,
  HostName,
} from "../../../world/common/names.ts";
import { NO_VERSION } from "../../../world/common/names.ts";
import type { FoldState } from "../../fold/common/fold.ts";
import {
  decodeSnapshot,
  encodeSnapshot,
} from "../../fold/common/state_codec.ts";
import type {
  LinkMessage,
  PeerNetwork,
} from "../../link/common/peer_network.ts";
import { createAnswerLimit } from "./answer_limit.ts";
import {
  listPeersAhead,
  MESSAGE_ENTRIES,
  planAnnouncement,
  planPush,
} from "./distribution_rules.ts";
import {
  parseEntries,
  parseEntriesRequest,
  parsePosition,
  parseState,
  type PositionMessage,
} from "./messages.ts";
import { listEntries, type Replica } from "./replica.ts";

export const POSITION_INTERVAL_MS: Milliseconds = 1_000;
/** Every fifth tick sends the position also to peers that it was already sent to. */
const TICKS_PER_FULL_ANNOUNCEMENT = 5;
/** At least this time between two ticks means that the process was paused. */
const PAUSE_THRESHOLD_MS: Milliseconds = 3_000;
/** Requests wait up to this time, within which pushed entries usually arrive. */
const MAXIMUM_REPAIR_DELAY_MS: Milliseconds = 100;
const REQUEST_TIMEOUT_MS: Milliseconds = 2_000;
/**
 * Maximum states that a daemon sends per window. Without it, many daemons that restart together
 * would saturate its links with states; those that got a state can serve the others.
 */
export const STATE_ANSWERS_PER_WINDOW = 4;
export const STATE_WINDOW_MS: Milliseconds = 500;
const REPAIR_BACKOFF = { baseMilliseconds: 100, capMilliseconds: 2_000 };

export interface PeerSyncOptions {
  readonly self: HostIdentity;
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  getReplica(): Replica;
  applyEntries(entries: readonly LogEntry[]): void;
  adoptState(state: FoldState): void;
}

export interface PeerSync extends Disposable {
  /** Sends peers what they lack of a replica that is about to come into force. */
  announce(next: Replica): void;
  /** The highest version that a host is known to have had in force. */
  findVersion(host: HostName): ConfigurationVersion;
  /** Whether a linked peer other than the host was heard from and no higher version is known. */
  isCurrentWithPeersExcept(host: HostName): boolean;
}

export function createPeerSync(options: PeerSyncOptions): PeerSync {
  const { network, clock, random, log } = options;
  const owned = createDisposableStore();
  const positions = new Map<HostName, number>();
  const versions = new Map<HostName, ConfigurationVersion>();
  /** Peers heard from since their link opened and since the last pause of this process. */
  const heardPeers = new Set<HostName>();
  let cachedSnapshot: { position: number; bytes: Uint8Array } | undefined;
  let repair: Disposable | undefined;
  let failures = 0;
  let isDisposed = false;
  let lastTickAt = clock.now();
  let tickCount = 0;
  const sentPositions = new Map<HostName, number>();
  const stateAnswerLimit = createAnswerLimit({
    maximumAnswers: STATE_ANSWERS_PER_WINDOW,
    windowMilliseconds: STATE_WINDOW_MS,
  });

  const getPosition = () => options.getReplica().fold.position;

  function createPosition({ fold }: Replica): PositionMessage {
    return {
      kind: "configuration-position",
      position: fold.position,
      version: fold.configuration.version,
    };
  }

  function announce(next: Replica): void {
    const message = createPosition(next);
    const hosts = planAnnouncement(network.peers, positions, {
      ownDomain: options.self.failureDomain,
      position: message.position,
    });
    for (const host of hosts.push) {
      const entries = planPush(next, positions.get(host) ?? 0);
      if (entries === undefined || !sendEntries(host, message, entries)) {
        sendPosition(host, message);
      }
    }
    hosts.notify.forEach((host) => sendPosition(host, message));
  }

  function sendEntries(
    host: HostName,
    { position, version }: PositionMessage,
    entries: readonly LogEntry[],
  ): boolean {
    const message = { kind: "entries", version, entries } as LinkMessage;
    const isSent = network.send(host, message);
    if (isSent) {
      positions.set(host, position);
      sentPositions.set(host, position);
    }
    return isSent;
  }

  function sendPosition(
    host: HostName,
    message = createPosition(options.getReplica()),
  ): void {
    if (network.send(host, message)) {
      sentPositions.set(host, message.position);
    }
  }

  /**
   * Sends the position to peers that it was not sent to, and periodically to all, in case one has
   * lost it.
   */
  function sendPositions(): void {
    const message = createPosition(options.getReplica());
    const includesAll = tickCount % TICKS_PER_FULL_ANNOUNCEMENT === 0;
    for (const { process: { host } } of network.peers) {
      if (includesAll || sentPositions.get(host) !== message.position) {
        sendPosition(host, message);
      }
    }
  }

  function tick(): void {
    tickCount += 1;
    const elapsed = clock.now() - lastTickAt;
    lastTickAt = clock.now();
    if (elapsed >= PAUSE_THRESHOLD_MS) {
      log.write("warn", "distribution.resumed", {
        pausedMilliseconds: elapsed,
      });
      positions.clear();
      heardPeers.clear();
      sentPositions.clear();
    }
    sendPositions();
  }

  function recordPosition(
    host: HostName,
    at: { readonly position: number; readonly version: number },
  ): void {
    heardPeers.add(host);
    positions.set(host, at.position);
    versions.set(
      host,
      Math.max(versions.get(host) ?? NO_VERSION, at.version),
    );
  }

  function scheduleRepair(): void {
    if (
      repair !== undefined || isDisposed ||
      listPeersAhead(positions, getPosition()).length === 0
    ) {
      return;
    }
    const delay = failures === 0
      ? random.nextFraction() * MAXIMUM_REPAIR_DELAY_MS
      : computeBackoff(failures, random, REPAIR_BACKOFF);
    repair = clock.schedule(delay, () => {
      runRepair().catch((error) =>
        log.write("error", "task.failed", { reason: String(error) })
      ).finally(() => {
        repair = undefined;
        scheduleRepair();
      });
    });
  }

  /** Requests entries from a random peer that is ahead, so that requests spread over the peers. */
  async function runRepair(): Promise<void> {
    const ahead = listPeersAhead(positions, getPosition());
    if (ahead.length === 0 || isDisposed) {
      return;
    }
    const host = ahead[random.nextInteger(ahead.length)];
    const from = getPosition();
    const answer = await ask(
      host,
      { kind: "entries-request", from } as LinkMessage,
    );
    const entries = answer && parseEntries(answer);
    if (entries !== undefined) {
      options.applyEntries(entries.entries);
    }
    const isBusy = answer?.kind === "state-needed" &&
      await fetchState(host) === "busy";
    if (getPosition() > from) {
      failures = 0;
    } else if (isBusy) {
      // The peer stays a candidate; the next random choice is likely to be another one.
      failures += 1;
    } else {
      failures += 1;
      // The peer's next position message makes it a candidate again.
      positions.delete(host);
    }
  }

  async function fetchState(host: HostName): Promise<"answered" | "busy"> {
    const answer = await ask(host, { kind: "state-request" });
    if (answer?.kind === "state-refused") {
      return "busy";
    }
    const message = answer && parseState(answer);
    const state = message && decodeSnapshot(message.snapshot);
    if (state?.ok) {
      options.adoptState(state.val);
    } else {
      log.write("warn", "state.refused", { peer: host, reason: state?.val });
    }
    return "answered";
  }

  async function ask(host: HostName, message: LinkMessage) {
    const answer = await network.request(host, message, {
      timeoutMilliseconds: REQUEST_TIMEOUT_MS,
    });
    return answer.ok && !isDisposed ? answer.val : undefined;
  }

  function answerEntries(message: LinkMessage): LinkMessage {
    const replica = options.getReplica();
    const request = parseEntriesRequest(message);
    const entries = request && listEntries(replica, request.from);
    if (entries === undefined) {
      return { kind: "state-needed" };
    }
    return {
      kind: "entries",
      version: replica.fold.configuration.version,
      entries: entries.slice(0, MESSAGE_ENTRIES),
    } as LinkMessage;
  }

  function answerState(): LinkMessage {
    if (!stateAnswerLimit.tryAcquire(clock.now())) {
      return { kind: "state-refused" };
    }
    const { fold } = options.getReplica();
    if (cachedSnapshot?.position !== fold.position) {
      cachedSnapshot = { position: fold.position, bytes: encodeSnapshot(fold) };
    }
    return { kind: "state", snapshot: cachedSnapshot.bytes } as LinkMessage;
  }

  owned.add(network.onMessage("configuration-position", (peer, message) => {
    const position = parsePosition(message);
    if (position !== undefined) {
      const { host } = peer.process;
      recordPosition(host, position);
      if (position.position < getPosition()) {
        sendPosition(host);
      }
      scheduleRepair();
    }
  }));
  owned.add(network.onMessage("entries", (peer, message) => {
    const parsed = parseEntries(message);
    const last = parsed?.entries.at(-1);
    if (parsed !== undefined && last !== undefined) {
      recordPosition(peer.process.host, {
        position: last.offset + 1,
        version: parsed.version,
      });
      options.applyEntries(parsed.entries);
      scheduleRepair();
    }
  }));
  owned.add(
    network.onRequest(
      "entries-request",
      (_, message) => answerEntries(message),
    ),
  );
  owned.add(network.onRequest("state-request", answerState));
  owned.add(
    network.onLinkOpened((peer) => sendPosition(peer.process.host)),
  );
  owned.add(
    network.onLinkClosed(({ process: { host } }) => {
      heardPeers.delete(host);
      positions.delete(host);
      sentPositions.delete(host);
    }),
  );
  owned.add(clock.repeat(POSITION_INTERVAL_MS, tick));
  sendPositions();

  return {
    announce,
    findVersion: (host) => versions.get(host) ?? NO_VERSION,
    isCurrentWithPeersExcept: (host) =>
      [...heardPeers].some((other) => other !== host) &&
      Math.max(...versions.values()) <=
        options.getReplica().fold.configuration.version,
    dispose() {
      isDisposed = true;
      repair?.dispose();
      owned.dispose();
    },
  };
}
