/**
 * The traffic shifts of one daemon. Divides calls between the versions of a move, counts evidence,
 * exchanges evidence and verdicts with peers, and appends verdicts to the platform log.
 *
 * @module
 */

import type { Clock } from "../../../base/common/clock.ts";
import { createDisposableStore } from "../../../base/common/disposable.ts";
import type { EventLog } from "../../../base/common/event_log.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { RandomSource } from "../../../base/common/random_source.ts";
import type { Configuration } from "../../../world/common/configuration.ts";
import {
  formatProcess,
  type HostIdentity,
} from "../../../world/common/host.ts";
import type { Move } from "../../../world/common/move.ts";
import type {
  ChangeIdentity,
  FailureDomainName,
  ServiceName,
} from "../../../world/common/names.ts";
import type { ConfigurationSource } from "../../distribution/common/configuration_source.ts";
import type { Peer, PeerNetwork } from "../../link/common/peer_network.ts";
import type { LogClient } from "../../log/common/log_client.ts";
import type { Directory } from "../../membership/common/directory.ts";
import { planConcentration } from "./concentration.ts";
import { recordSample } from "./evidence.ts";
import { createEvidenceExchange, REACHABLE_MS } from "./evidence_exchange.ts";
import { parseEvidence, parseVerdicts } from "./move_messages.ts";
import {
  advanceMove,
  createMoveState,
  effectiveShare,
  effectiveVerdict,
  mergeVerdicts,
  type MeshView,
  type MoveState,
  type Verdict,
} from "./move_state.ts";
import type {
  AttemptSample,
  TrafficShift,
  VersionSplit,
} from "./traffic_shift.ts";
import { createVerdictReplicator } from "./verdict_replicator.ts";
import { createVerdictWriter } from "./verdict_writer.ts";

/** The interval of evaluations, steps and the exchange of evidence. */
const TICK_MS: Milliseconds = 500;
/** The lifetime of a cached split; short, so that bursts begin and end on time. */
const SPLIT_CACHE_MS: Milliseconds = 20;

export interface TrafficShiftOptions {
  readonly self: HostIdentity;
  readonly directory: Pick<
    Directory,
    "localMembers" | "instances" | "onChanged"
  >;
  readonly network: PeerNetwork;
  readonly configuration: ConfigurationSource;
  readonly logClient: LogClient;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
}

/** The status of an open move at this daemon, for operators. */
export interface MoveStatus {
  readonly move: Move;
  /** The share over all daemons that this daemon applies now. */
  readonly share: number;
  /** The verdict known to this daemon, which may not be in the log yet. */
  readonly verdict: Verdict | undefined;
  readonly evidenceRows: number;
}

export interface MonitoredTrafficShift extends TrafficShift {
  readonly openMoves: readonly MoveStatus[];
}

interface CachedSplit {
  readonly split: VersionSplit;
  readonly validUntil: Milliseconds;
}

export function createTrafficShift(
  options: TrafficShiftOptions,
): MonitoredTrafficShift {
  const { self, directory, network, configuration, clock, log } = options;
  const owned = createDisposableStore();
  const states = new Map<ChangeIdentity, MoveState>();
  const byService = new Map<ServiceName, MoveState>();
  const splits = new Map<ServiceName, CachedSplit>();
  const exchange = createEvidenceExchange({ self, network });
  const replicator = createVerdictReplicator(network);
  const writer = createVerdictWriter(options);
  const reportedOverruled = new Set<ChangeIdentity>();

  const isOpen = (move: ChangeIdentity) => states.has(move);

  function applyConfiguration(current: Configuration): void {
    splits.clear();
    for (const move of current.moves.values()) {
      const state = states.get(move.identity);
      if (move.outcome === "open" && state === undefined) {
        openMove(move);
      } else if (move.outcome !== "open" && state !== undefined) {
        closeMove(move);
      }
    }
    for (const [identity, { move }] of states) {
      if (!current.moves.has(identity)) {
        removeMove(move);
      }
    }
    writer.cancelClosed(isOpen);
  }

  function openMove(move: Move): void {
    const state = createMoveState(move, clock.now());
    state.verdicts = replicator.verdictsOf(move.identity);
    states.set(move.identity, state);
    byService.set(move.service, state);
    log.write("info", "move.opened", {
      move: move.identity,
      service: move.service,
      toVersion: move.toVersion,
    });
  }

  function closeMove(move: Move): void {
    removeMove(move);
    log.write("info", "move.closed", {
      move: move.identity,
      outcome: move.outcome,
      reason: move.reason,
    });
    reportOverruled(move);
  }

  function removeMove(move: Move): void {
    states.delete(move.identity);
    if (byService.get(move.service)?.move.identity === move.identity) {
      byService.delete(move.service);
    }
  }

  /** Logs a bad verdict that came too late, because the log already holds the result `done`. */
  function reportOverruled(move: Move): void {
    const { bad } = replicator.verdictsOf(move.identity);
    if (
      bad !== undefined && move.outcome === "done" &&
      !reportedOverruled.has(move.identity)
    ) {
      reportedOverruled.add(move.identity);
      log.write("warn", "move.verdict-overruled", {
        move: move.identity,
        reason: bad.reason,
        author: bad.author,
      });
    }
  }

  function applyVerdicts(verdicts: readonly Verdict[]): void {
    for (const { move, outcome, reason, author } of verdicts) {
      log.write("info", "move.verdict", { move, outcome, reason, author });
      const state = states.get(move);
      const closed = configuration.current.moves.get(move);
      if (state !== undefined) {
        state.verdicts = mergeVerdicts(
          state.verdicts,
          replicator.verdictsOf(move),
        );
        splits.delete(state.move.service);
      } else if (closed !== undefined) {
        reportOverruled(closed);
      }
    }
  }

  function advance(state: MoveState, now: Milliseconds): void {
    for (const effect of advanceMove(state, buildMeshView(state, now), now)) {
      if (effect.kind === "step") {
        splits.delete(state.move.service);
        log.write("info", "move.share", {
          move: state.move.identity,
          share: effect.share,
        });
        continue;
      }
      const verdict: Verdict = {
        move: state.move.identity,
        outcome: effect.outcome,
        reason: effect.reason,
        author: formatProcess(self.process),
      };
      replicator.add(verdict, now);
      applyVerdicts([verdict]);
    }
    const verdict = effectiveVerdict(state.verdicts);
    if (verdict !== undefined) {
      writer.write(verdict);
    }
  }

  function buildMeshView(
    state: MoveState,
    now: Milliseconds,
  ): MeshView {
    const reachableDomains = new Set([self.failureDomain]);
    const domains = new Set<FailureDomainName>(
      configuration.current.failureDomains,
    );
    for (const domain of domains) {
      const heardAt = exchange.lastHeardAt(domain) ?? state.move.startedAt;
      if (now - heardAt < REACHABLE_MS) {
        reachableDomains.add(domain);
      }
    }
    const hosts = candidatesOf(state).map(({ host }) => host);
    return {
      candidateHosts: new Set(hosts).size,
      reachableDomains,
      areAllDomainsReachable: [...domains].every((domain) =>
        reachableDomains.has(domain)
      ),
    };
  }

  function candidatesOf({ move }: MoveState) {
    return directory.instances.filter((instance) =>
      instance.service === move.service && instance.version === move.toVersion
    );
  }

  function computeSplit(
    service: ServiceName,
    now: Milliseconds,
  ): VersionSplit | undefined {
    const state = byService.get(service);
    if (state === undefined) {
      const known = configuration.current.services.get(service);
      return known && createStableSplit(known.version);
    }
    if (state.verdicts.bad !== undefined) {
      return createStableSplit(state.move.fromVersion);
    }
    const candidates = candidatesOf(state);
    const { reachableDomains } = buildMeshView(state, now);
    return {
      stableVersion: state.move.fromVersion,
      candidateVersion: state.move.toVersion,
      ...planConcentration(state.move, {
        share: effectiveShare(state, now),
        now,
        ownDomain: self.failureDomain,
        candidateDomains: [
          ...new Set(candidates.map(({ failureDomain }) => failureDomain)),
        ].filter((domain) => reachableDomains.has(domain)).sort(),
        localInstances: candidates.filter(({ failureDomain }) =>
          failureDomain === self.failureDomain
        ).length,
      }),
    };
  }

  function tick(): void {
    const now = clock.now();
    for (const state of [...states.values()]) {
      advance(state, now);
    }
    if (states.size > 0) {
      exchange.tick([...states.values()], now);
    }
    replicator.sendMissing();
    replicator.prune(isOpen, now);
    for (const move of reportedOverruled) {
      if (replicator.verdictsOf(move).bad === undefined) {
        reportedOverruled.delete(move);
      }
    }
  }

  function receiveEvidence(peer: Peer, message: unknown): void {
    const evidence = parseEvidence(message);
    if (evidence === undefined) {
      log.write("warn", "move.malformed-evidence", { peer: peer.process.host });
      return;
    }
    exchange.receive(peer, evidence, {
      findState: (move) => states.get(move),
      now: clock.now(),
    });
  }

  function receiveVerdicts(peer: Peer, message: unknown): void {
    const verdicts = parseVerdicts(message);
    if (verdicts === undefined) {
      log.write("warn", "move.malformed-verdict", { peer: peer.process.host });
      return;
    }
    applyVerdicts(replicator.receive(peer, verdicts, clock.now()));
  }

  owned.add(configuration.onChanged(applyConfiguration));
  owned.add(directory.onChanged(() => splits.clear()));
  owned.add(network.onMessage("evidence", receiveEvidence));
  owned.add(network.onMessage("verdict", receiveVerdicts));
  owned.add(network.onLinkOpened(() => replicator.sendMissing()));
  owned.add(network.onLinkClosed((peer) => exchange.removePeer(peer)));
  owned.add(clock.repeat(TICK_MS, tick));
  applyConfiguration(configuration.current);

  return {
    get openMoves() {
      return [...states.values()].map((state) => ({
        move: state.move,
        share: effectiveShare(state, clock.now()),
        verdict: effectiveVerdict(state.verdicts),
        evidenceRows: state.store.rows.size,
      }));
    },
    splitOf(service) {
      const now = clock.now();
      const cached = splits.get(service);
      if (cached !== undefined && now < cached.validUntil) {
        return cached.split;
      }
      const split = computeSplit(service, now);
      if (split !== undefined) {
        splits.set(service, { split, validUntil: now + SPLIT_CACHE_MS });
      }
      return split;
    },
    record(sample: AttemptSample) {
      const state = byService.get(sample.service);
      if (state === undefined) {
        return;
      }
      const { fromVersion, toVersion } = state.move;
      if (sample.version === fromVersion || sample.version === toVersion) {
        recordSample(state.store, sample, {
          side: sample.version === toVersion ? "candidate" : "stable",
          observer: self,
          now: clock.now(),
        });
      }
    },
    dispose: () => owned.dispose(),
  };
}

function createStableSplit(stableVersion: string): VersionSplit {
  return {
    stableVersion,
    candidateVersion: undefined,
    candidateShare: 0,
    candidateInstances: 0,
  };
}
