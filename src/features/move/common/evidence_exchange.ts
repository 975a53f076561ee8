/**
 * Exchanges evidence with linked peers. Each peer is sent the rows that it lacks, at a limited rate.
 * All daemons relay rows, so evidence also reaches daemons without a direct link.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import {
  formatProcess,
  type HostIdentity,
} from "../../../world/common/host.ts";
import type { FailureDomainName } from "../../../world/common/names.ts";
import type { Peer, PeerNetwork } from "../../link/common/peer_network.ts";
import { type EvidenceRow, identifyRow, mergeRow } from "./evidence.ts";
import {
  decodeRows,
  encodeRows,
  type EvidenceMessage,
  type MoveReport,
} from "./move_messages.ts";
import { adoptStep, type MoveState } from "./move_state.ts";

/**
 * The maximum number of rows sent per tick, over all peers and moves. At two ticks per second and
 * about 70 bytes per row this is near 1.5 KB/s, a quarter of a daemon's budget for control traffic.
 */
const ROWS_PER_TICK = 10;
/** The interval of messages without rows, which keep the peer's domain ages and steps current. */
const KEEPALIVE_MS: Milliseconds = 2_000;
/** A failure domain that was not heard from for this long, directly or by relay, is unreachable. */
export const REACHABLE_MS: Milliseconds = 10_000;

interface PeerProgress {
  /** For each row, the last revision that was sent to the peer or received from it. */
  readonly knownRevisions: WeakMap<MoveState, Map<string, number>>;
  sentAt: Milliseconds;
}

export interface EvidenceExchange {
  /** Sends pending rows and keepalives to the peers. */
  tick(states: readonly MoveState[], now: Milliseconds): void;
  /** Applies a peer's message to the moves that it reports. */
  receive(peer: Peer, message: EvidenceMessage, context: {
    readonly findState: (move: string) => MoveState | undefined;
    readonly now: Milliseconds;
  }): void;
  /** Discards the record of what was sent to a peer, since messages in transit are lost with the link. */
  removePeer(peer: Peer): void;
  lastHeardAt(domain: FailureDomainName): Milliseconds | undefined;
}

export function createEvidenceExchange(options: {
  readonly self: HostIdentity;
  readonly network: PeerNetwork;
}): EvidenceExchange {
  const { self, network } = options;
  const progressByPeer = new Map<string, PeerProgress>();
  const lastHeard = new Map<FailureDomainName, Milliseconds>();
  let nextPeerIndex = 0;

  function progressOf(peer: Peer): PeerProgress {
    const name = formatProcess(peer.process);
    let peerProgress = progressByPeer.get(name);
    if (peerProgress === undefined) {
      peerProgress = { knownRevisions: new WeakMap(), sentAt: -Infinity };
      progressByPeer.set(name, peerProgress);
    }
    return peerProgress;
  }

  function send(
    peer: Peer,
    reports: readonly MoveReport[],
    now: Milliseconds,
  ): boolean {
    const domainAges: Record<FailureDomainName, Milliseconds> = {
      [self.failureDomain]: 0,
    };
    for (const [domain, at] of lastHeard) {
      if (now - at < REACHABLE_MS && domain !== self.failureDomain) {
        domainAges[domain] = Math.round(now - at);
      }
    }
    const message: EvidenceMessage = { kind: "evidence", domainAges, reports };
    return network.send(peer.process.host, message);
  }

  function sendToPeer(
    peer: Peer,
    states: readonly MoveState[],
    { now, budget }: { readonly now: Milliseconds; readonly budget: number },
  ): number {
    const peerProgress = progressOf(peer);
    const pendingRows = choosePendingRows(states, peerProgress, {
      self,
      budget,
    });
    if (pendingRows.length === 0 && now - peerProgress.sentAt < KEEPALIVE_MS) {
      return 0;
    }
    const isKeepalive = now - peerProgress.sentAt >= KEEPALIVE_MS;
    const reports = states.flatMap((state) => {
      const rows = pendingRows.filter((item) => item.state === state);
      return rows.length === 0 && !isKeepalive ? [] : [{
        move: state.move.identity,
        step: state.step,
        enteredAt: state.stepEnteredAt,
        ...encodeRows(rows.map(({ row }) => row)),
      }];
    });
    if (send(peer, reports, now)) {
      peerProgress.sentAt = now;
      for (const { state, identity, row } of pendingRows) {
        knownRevisionsOf(peerProgress, state).set(identity, row.revision);
      }
    }
    return pendingRows.length;
  }

  return {
    tick(open, now) {
      // A held daemon does not report, so that two held daemons do not release each other.
      const states = open.filter(({ heldUntil }) => now >= heldUntil);
      const peers = network.peers;
      let budget = ROWS_PER_TICK;
      for (let count = 0; count < peers.length; count += 1) {
        // Round-robin: a different peer comes first at each tick, so that each gets a part of the budget.
        const peer = peers[(nextPeerIndex + count) % peers.length];
        budget -= sendToPeer(peer, states, { now, budget });
      }
      nextPeerIndex += 1;
    },
    receive(peer, message, { findState, now }) {
      for (const [domain, age] of Object.entries(message.domainAges)) {
        const at = Math.min(now, now - age);
        lastHeard.set(domain, Math.max(lastHeard.get(domain) ?? -Infinity, at));
      }
      const peerProgress = progressOf(peer);
      for (const report of message.reports) {
        const state = findState(report.move);
        if (state !== undefined) {
          adoptStep(state, report, now);
          mergeReport(state, report, peerProgress);
        }
      }
    },
    removePeer(peer) {
      progressByPeer.delete(formatProcess(peer.process));
    },
    lastHeardAt: (domain) => lastHeard.get(domain),
  };
}

function mergeReport(
  state: MoveState,
  report: MoveReport,
  peerProgress: PeerProgress,
): void {
  for (const { key, counters } of decodeRows(report)) {
    if (mergeRow(state.store, key, counters)) {
      const identity = identifyRow(key);
      const row = state.store.rows.get(identity)!;
      knownRevisionsOf(peerProgress, state).set(identity, row.revision);
    }
  }
}

interface PendingRow {
  readonly state: MoveState;
  readonly identity: string;
  readonly row: EvidenceRow;
}

interface RankedRow extends PendingRow {
  readonly rank: number;
  readonly sentRevision: number;
}

/**
 * Chooses the rows to send within the budget: rows of the new version, which are few and decisive,
 * before rows of the replaced one, and this daemon's rows before relayed ones.
 */
function choosePendingRows(
  states: readonly MoveState[],
  peerProgress: PeerProgress,
  { self, budget }: { readonly self: HostIdentity; readonly budget: number },
): PendingRow[] {
  if (budget <= 0) {
    return [];
  }
  const own = formatProcess(self.process);
  const pending: RankedRow[] = [];
  for (const state of states) {
    const sent = knownRevisionsOf(peerProgress, state);
    for (const [identity, row] of state.store.rows) {
      const sentRevision = sent.get(identity) ?? -1;
      if (sentRevision < row.revision) {
        const rank = (row.side === "candidate" ? 0 : 2) +
          (row.observer === own ? 0 : 1);
        pending.push({ state, identity, row, rank, sentRevision });
      }
    }
  }
  pending.sort((left, right) =>
    left.rank - right.rank || left.sentRevision - right.sentRevision
  );
  return pending.slice(0, budget);
}

function knownRevisionsOf(
  peerProgress: PeerProgress,
  state: MoveState,
): Map<string, number> {
  let sent = peerProgress.knownRevisions.get(state);
  if (sent === undefined) {
    sent = new Map();
    peerProgress.knownRevisions.set(state, sent);
  }
  return sent;
}
