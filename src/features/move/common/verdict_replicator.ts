/**
 * Replicates verdicts between daemons without the platform. A new verdict is sent to all peers
 * immediately and resent to each peer until it has acknowledged the verdict or sent it itself.
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

/** Long enough that a peer receives the verdict after a partition of several minutes. */
const RETENTION_MS: Milliseconds = 10 * 60_000;
const MAXIMUM_VERDICTS = 1_000;

interface Entry {
  verdicts: VerdictSet;
  /** Peers that are known to have the effective verdict. */
  readonly knownBy: Set<string>;
  readonly addedAt: Milliseconds;
}

export interface VerdictReplicator {
  verdictsOf(move: ChangeIdentity): VerdictSet;
  /** Adds a verdict of this daemon and sends it to all peers. Returns false if it was already known. */
  add(verdict: Verdict, now: Milliseconds): boolean;
  /** Handles a peer's message and returns the verdicts that were not known before. */
  receive(peer: Peer, message: VerdictMessage, now: Milliseconds): Verdict[];
  /** Sends each peer the verdicts that it is not known to have. */
  sendMissing(): void;
  /** Removes expired entries, except those of open moves. */
  prune(isOpen: (move: ChangeIdentity) => boolean, now: Milliseconds): void;
}

export function createVerdictReplicator(
  network: PeerNetwork,
): VerdictReplicator {
  const entries = new Map<ChangeIdentity, Entry>();

  function merge(verdict: Verdict, now: Milliseconds): boolean {
    let entry = entries.get(verdict.move);
    if (entry === undefined) {
      if (entries.size >= MAXIMUM_VERDICTS) {
        return false;
      }
      entry = { verdicts: NO_VERDICTS, knownBy: new Set(), addedAt: now };
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

  function sendMissingTo(peer: Peer): void {
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

  function sendMissing(): void {
    network.peers.forEach(sendMissingTo);
  }

  return {
    verdictsOf: (move) => entries.get(move)?.verdicts ?? NO_VERDICTS,
    add(verdict, now) {
      const isNew = merge(verdict, now);
      if (isNew) {
        sendMissing();
      }
      return isNew;
    },
    receive(peer, message, now) {
      const newVerdicts = message.verdicts.filter((verdict) =>
        merge(verdict, now)
      );
      const name = formatProcess(peer.process);
      const knownVerdicts: Verdict[] = [];
      for (const { move, outcome } of message.verdicts) {
        const entry = entries.get(move);
        const known = entry && effectiveVerdict(entry.verdicts)!;
        if (entry !== undefined && known?.outcome === outcome) {
          entry.knownBy.add(name);
        }
        if (known !== undefined) {
          knownVerdicts.push(known);
        }
      }
      if (!message.isAcknowledgement && knownVerdicts.length > 0) {
        sendTo(peer, { verdicts: knownVerdicts, isAcknowledgement: true });
      }
      if (newVerdicts.length > 0) {
        sendMissing();
      }
      return newVerdicts;
    },
    sendMissing,
    prune(isOpen, now) {
      for (const [move, { addedAt }] of entries) {
        if (now - addedAt > RETENTION_MS && !isOpen(move)) {
          entries.delete(move);
        }
      }
    },
  };
}
