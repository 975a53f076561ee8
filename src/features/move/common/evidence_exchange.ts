/**
 * The exchange of evidence with linked peers: each peer gets the rows that it lacks, at a bounded
 * rate. All daemons relay, so evidence reaches daemons without a direct link.
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
 * Rows sent per tick over all peers and moves. At two ticks a second and about 70 bytes a row
 * this stays near 1.5 KB/s, a quarter of the control budget of a daemon.
 */
const ROWS_PER_TICK = 10;
/** A message without rows keeps the peer's view of the domains and the steps fresh. */
const KEEPALIVE_MS: Milliseconds = 2_000;
/** A failure domain that was not heard from, directly or through others, for this long is cut off. */
export const REACHABLE_MS: Milliseconds = 10_000;

interface PeerProgress {
  /** The revision of each row that the peer was sent or sent itself. */
  readonly sent: WeakMap<MoveState, Map<string, number>>;
  sentAt: Milliseconds;
}

export interface EvidenceExchange {
  /** Sends what is due to the peers. */
  tick(states: readonly MoveState[], now: Milliseconds): void;
  /** Takes a peer's message. */
  receive(peer: Peer, message: EvidenceMessage, context: {
    readonly findState: (move: string) => MoveState | undefined;
    readonly now: Milliseconds;
  }): void;
  /** Forgets what a peer was sent, since messages on the way may be lost with the link. */
  forget(peer: Peer): void;
  lastHeardAt(domain: FailureDomainName): Milliseconds | undefined;
}

export function createEvidenceExchange(options: {
  readonly self: HostIdentity;
  readonly network: PeerNetwork;
}): EvidenceExchange {
  const { self, network } = options;
  const progress = new Map<string, PeerProgress>();
  const heardAt = new Map<FailureDomainName, Milliseconds>();
  let nextPeer = 0;

  function progressOf(peer: Peer): PeerProgress {
    const name = formatProcess(peer.process);
    let known = progress.get(name);
    if (known === undefined) {
      known = { sent: new WeakMap(), sentAt: -Infinity };
      progress.set(name, known);
    }
    return known;
  }

  function send(
    peer: Peer,
    reports: readonly MoveReport[],
    now: Milliseconds,
  ): boolean {
    const domainAges: Record<FailureDomainName, Milliseconds> = {
      [self.failureDomain]: 0,
    };
    for (const [domain, at] of heardAt) {
      if (now - at < REACHABLE_MS && domain !== self.failureDomain) {
        domainAges[domain] = Math.round(now - at);
      }
    }
    const message: EvidenceMessage = { kind: "evidence", domainAges, reports };
    return network.send(peer.process.host, message);
  }

  function serve(
    peer: Peer,
    states: readonly MoveState[],
    { now, budget }: { readonly now: Milliseconds; readonly budget: number },
  ): number {
    const known = progressOf(peer);
    const chosen = choosePending(states, known, { self, budget });
    if (chosen.length === 0 && now - known.sentAt < KEEPALIVE_MS) {
      return 0;
    }
    const isKeepalive = now - known.sentAt >= KEEPALIVE_MS;
    const reports = states.flatMap((state) => {
      const rows = chosen.filter((item) => item.state === state);
      return rows.length === 0 && !isKeepalive ? [] : [{
        move: state.move.identity,
        step: state.step,
        enteredAt: state.stepEnteredAt,
        ...encodeRows(rows.map(({ row }) => row)),
      }];
    });
    if (send(peer, reports, now)) {
      known.sentAt = now;
      for (const { state, identity, row } of chosen) {
        sentOf(known, state).set(identity, row.revision);
      }
    }
    return chosen.length;
  }

  return {
    tick(open, now) {
      // A held daemon does not report, so that two of them do not release each other.
      const states = open.filter(({ heldUntil }) => now >= heldUntil);
      const peers = network.peers;
      let budget = ROWS_PER_TICK;
      for (let count = 0; count < peers.length; count += 1) {
        // A different peer comes first at each tick, so that the budget reaches all of them.
        const peer = peers[(nextPeer + count) % peers.length];
        budget -= serve(peer, states, { now, budget });
      }
      nextPeer += 1;
    },
    receive(peer, message, { findState, now }) {
      for (const [domain, age] of Object.entries(message.domainAges)) {
        const at = Math.min(now, now - age);
        heardAt.set(domain, Math.max(heardAt.get(domain) ?? -Infinity, at));
      }
      const known = progressOf(peer);
      for (const report of message.reports) {
        const state = findState(report.move);
        if (state !== undefined) {
          adoptStep(state, report, now);
          mergeReport(state, report, known);
        }
      }
    },
    forget(peer) {
      progress.delete(formatProcess(peer.process));
    },
    lastHeardAt: (domain) => heardAt.get(domain),
  };
}

function mergeReport(
  state: MoveState,
  report: MoveReport,
  known: PeerProgress,
): void {
  for (const { key, counters } of decodeRows(report)) {
    if (mergeRow(state.store, key, counters)) {
      const identity = identifyRow(key);
      const row = state.store.rows.get(identity)!;
      sentOf(known, state).set(identity, row.revision);
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
 * The rows to send first: those of the new version, which are few and decide, before those of the
 * replaced one, and own rows before relayed ones.
 */
function choosePending(
  states: readonly MoveState[],
  known: PeerProgress,
  { self, budget }: { readonly self: HostIdentity; readonly budget: number },
): PendingRow[] {
  if (budget <= 0) {
    return [];
  }
  const own = formatProcess(self.process);
  const pending: RankedRow[] = [];
  for (const state of states) {
    const sent = sentOf(known, state);
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

function sentOf(known: PeerProgress, state: MoveState): Map<string, number> {
  let sent = known.sent.get(state);
  if (sent === undefined) {
    sent = new Map();
    known.sent.set(state, sent);
  }
  return sent;
}
