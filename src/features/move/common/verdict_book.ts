/**
 * The verdicts that this daemon knows and which peers know them too. A verdict goes to all peers
 * at once and is repeated to each until the peer is known to have it. It needs no platform.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import { formatProcess } from "../../../world/common/host.ts";
import type { ChangeIdentity } from "../../../world/common/names.ts";
import type { Peer, PeerNetwork } from "../../link/common/peer_network.ts";
import type { VerdictMessage } from "./move_messages.ts";
import {
  effectiveVerdict,
  mergeVerdicts,
  NO_VERDICTS,
  type Verdict,
  type VerdictSet,
} from "./move_state.ts";

/** A peer that was cut off for minutes still learns of a verdict when it returns. */
const RETENTION_MS: Milliseconds = 10 * 60_000;
const MAXIMUM_VERDICTS = 1_000;

interface Entry {
  verdicts: VerdictSet;
  /** Peers that are known to have the effective verdict. */
  readonly knownBy: Set<string>;
  readonly learntAt: Milliseconds;
}

export interface VerdictBook {
  verdictsOf(move: ChangeIdentity): VerdictSet;
  /** Adds a verdict of this daemon and sends it to all peers. Returns false when it is known. */
  add(verdict: Verdict, now: Milliseconds): boolean;
  /** Takes a peer's message and returns the verdicts that were news. */
  receive(peer: Peer, message: VerdictMessage, now: Milliseconds): Verdict[];
  /** Sends each peer the verdicts that it is not known to have. */
  spread(): void;
  /** Removes entries past their retention; those of open moves stay. */
  prune(isOpen: (move: ChangeIdentity) => boolean, now: Milliseconds): void;
}

export function createVerdictBook(network: PeerNetwork): VerdictBook {
  const entries = new Map<ChangeIdentity, Entry>();

  function merge(verdict: Verdict, now: Milliseconds): boolean {
    let entry = entries.get(verdict.move);
    if (entry === undefined) {
      if (entries.size >= MAXIMUM_VERDICTS) {
        return false;
      }
      entry = { verdicts: NO_VERDICTS, knownBy: new Set(), learntAt: now };
      entries.set(verdict.move, entry);
    }
    const before = effectiveVerdict(entry.verdicts)?.outcome;
    const isNew = entry.verdicts[verdict.outcome] === undefined;
    entry.verdicts = mergeVerdicts(entry.verdicts, {
      ...NO_VERDICTS,
      [verdict.outcome]: verdict,
    });
    if (effectiveVerdict(entry.verdicts)?.outcome !== before) {
      entry.knownBy.clear();
    }
    return isNew;
  }

  function sendUnknown(peer: Peer): void {
    const name = formatProcess(peer.process);
    const verdicts = [...entries.values()]
      .filter((entry) => !entry.knownBy.has(name))
      .map((entry) => effectiveVerdict(entry.verdicts)!);
    if (verdicts.length > 0) {
      sendTo(peer, { verdicts, isAcknowledgement: false });
    }
  }

  function sendTo(
    peer: Peer,
    content: Omit<VerdictMessage, "kind">,
  ): void {
    network.send(peer.process.host, { kind: "verdict", ...content });
  }

  function spread(): void {
    network.peers.forEach(sendUnknown);
  }

  return {
    verdictsOf: (move) => entries.get(move)?.verdicts ?? NO_VERDICTS,
    add(verdict, now) {
      const isNew = merge(verdict, now);
      if (isNew) {
        spread();
      }
      return isNew;
    },
    receive(peer, message, now) {
      const news = message.verdicts.filter((verdict) => merge(verdict, now));
      const name = formatProcess(peer.process);
      const answer: Verdict[] = [];
      for (const { move, outcome } of message.verdicts) {
        const entry = entries.get(move);
        const known = entry && effectiveVerdict(entry.verdicts)!;
        if (entry !== undefined && known?.outcome === outcome) {
          entry.knownBy.add(name);
        }
        if (known !== undefined) {
          answer.push(known);
        }
      }
      if (!message.isAcknowledgement && answer.length > 0) {
        sendTo(peer, { verdicts: answer, isAcknowledgement: true });
      }
      if (news.length > 0) {
        spread();
      }
      return news;
    },
    spread,
    prune(isOpen, now) {
      for (const [move, { learntAt }] of entries) {
        if (now - learntAt > RETENTION_MS && !isOpen(move)) {
          entries.delete(move);
        }
      }
    },
  };
}
