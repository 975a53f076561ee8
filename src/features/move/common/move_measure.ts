/**
 * Runs one simulated move: the real traffic shifts of several daemons over an in-memory network
 * with a virtual clock, for a workload, a kind of new version, a fault and a seed.
 *
 * @module
 */

import { VirtualClock } from "../../../base/common/clock.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import { createRandomSource } from "../../../base/common/random_source.ts";
import type { Move } from "../../../world/common/move.ts";
import type { UpstreamInstance } from "../../../world/common/upstream_instance.ts";
import { createMemoryMesh, type Mesh, type MeshDaemon } from "./memory_mesh.ts";
import type { MoveFault, VersionKind } from "./move_cases.ts";
import {
  createCallModel,
  type ModelCall,
  type MoveWorkload,
} from "./move_model.ts";

const INTERVAL_MS: Milliseconds = 50;
const START_AT: Milliseconds = 1_000_000;
/** How long a run continues after the move was closed, or after the deadline if it is still open. */
const RUN_TAIL_MS: Milliseconds = 10_000;
/** The target: no call to a bad version later than this after sufficient evidence. */
const STOP_LIMIT_MS: Milliseconds = 3_000;

export interface MoveRunOptions {
  readonly workload: MoveWorkload;
  readonly kind: VersionKind;
  readonly fault: MoveFault;
  readonly seed: number;
  readonly deadlineMilliseconds: Milliseconds;
  readonly daemonsPerDomain: number;
}

export interface MoveRun {
  readonly workload: string;
  readonly kind: string;
  readonly isBad: boolean;
  readonly fault: string;
  readonly seed: number;
  readonly outcome: "open" | "done" | "taken-back";
  readonly reason: string;
  readonly isInTime: boolean;
  /** Whether a daemon found the version bad by its evidence, whether rightly or wrongly. */
  readonly wasFoundBad: boolean;
  readonly calls: number;
  /** Calls to a bad version since the first call that it failed or slowed. */
  readonly badCalls: number;
  /** `badCalls` as a fraction of all calls until the last call to the bad version. */
  readonly badCallShare: number;
  /** Calls to the bad version by reachable daemons later than 3 s after sufficient evidence. */
  readonly lateCalls: number;
  /** From the first call that the version failed or slowed to the last call to it. */
  readonly stopMilliseconds: Milliseconds | undefined;
  readonly bytesPerDaemonSecond: number;
  /** The distinct log events of the move, each at the time of its first occurrence. */
  readonly timeline: readonly string[];
}

interface CallCounts {
  calls: number;
  callsAtStop: number;
  candidateCalls: number;
  lateCalls: number;
  firstAffectedAt: Milliseconds | undefined;
  lastCandidateAt: Milliseconds | undefined;
  /** For each side of a partition, when one of its daemons first had a bad verdict. */
  readonly foundBadAt: Map<string, Milliseconds>;
  /** Whether a daemon found the version bad by its evidence and not because of the deadline. */
  wasFoundBad: boolean;
}

/** Runs one move to its end. */
export async function runMove(options: MoveRunOptions): Promise<MoveRun> {
  const clock = new VirtualClock(START_AT);
  const { workload, kind, fault } = options;
  const move = moveOf(options);
  const instances = createInstances(workload);
  const mesh = createMemoryMesh({
    clock,
    seed: options.seed,
    failureDomains: workload.failureDomains,
    daemonsPerDomain: options.daemonsPerDomain,
    latencyMilliseconds: workload.latencyMilliseconds,
    instances,
    move,
  });
  for (const { at, act } of fault.events) {
    clock.schedule(at * options.deadlineMilliseconds, () => act(mesh));
  }
  const broken = mesh.daemons[0].self.process.host;
  const model = createCallModel({
    workload,
    instances,
    candidateVersion: move.toVersion,
    stable: kind.stable ?? (() => ({})),
    candidate: kind.candidate,
    random: createRandomSource(options.seed),
    stableSlowdown: kind.stableSlowdown ?? 1,
    brokenDaemons: new Map([[broken, fault.brokenDaemon ?? {}]]),
  });
  const counts = createCallCounts();
  while (!isOver(mesh, move, clock.now())) {
    clock.advance(INTERVAL_MS);
    // Lets the continuations of append promises run before the next interval.
    await new Promise((resolve) => setImmediate(resolve));
    observeVerdicts(mesh, counts, clock.now());
    const progress = (clock.now() - move.startedAt) /
      options.deadlineMilliseconds;
    model.step(
      mesh.daemons,
      { interval: INTERVAL_MS, progress },
      (call) => countCall(call, { counts, mesh, now: clock.now() }),
    );
  }
  const run = summarize(options, { mesh, move, counts, endedAt: clock.now() });
  mesh.dispose();
  return run;
}

function moveOf(options: MoveRunOptions): Move {
  return {
    identity: `move-${options.seed}`,
    service: options.workload.service,
    fromVersion: "1",
    toVersion: "2",
    startedAt: START_AT,
    deadlineAt: START_AT + options.deadlineMilliseconds,
    outcome: "open",
    reason: "",
  };
}

function createInstances(workload: MoveWorkload): UpstreamInstance[] {
  const domains = workload.failureDomains;
  return ["1", "2"].flatMap((version) =>
    Array.from({ length: workload.instances }, (_, index) => {
      const failureDomain = domains[index % domains.length];
      const host = `${failureDomain}-v${version}-${index}`;
      return {
        identity: `${host}/:0`,
        host,
        failureDomain,
        service: workload.service,
        version,
        address: "",
        port: 0,
        slots: workload.slots,
        state: "ready" as const,
      };
    })
  );
}

function createCallCounts(): CallCounts {
  return {
    calls: 0,
    callsAtStop: 0,
    candidateCalls: 0,
    lateCalls: 0,
    firstAffectedAt: undefined,
    lastCandidateAt: undefined,
    foundBadAt: new Map(),
    wasFoundBad: false,
  };
}

function isOver(mesh: Mesh, move: Move, now: Milliseconds): boolean {
  const closedAt = mesh.records[0]?.appendedAt ?? move.deadlineAt + RUN_TAIL_MS;
  const isAnyDomainCutOff = mesh.daemons.some(({ self }) =>
    mesh.isCutOff(self.failureDomain)
  );
  return now >= closedAt + RUN_TAIL_MS &&
    (!isAnyDomainCutOff || now >= move.deadlineAt);
}

/** The partition of a daemon. The model cuts off whole failure domains only. */
function partitionOf(mesh: Mesh, daemon: MeshDaemon): string {
  const domain = daemon.self.failureDomain;
  return mesh.isCutOff(domain) ? domain : "";
}

function observeVerdicts(
  mesh: Mesh,
  counts: CallCounts,
  now: Milliseconds,
): void {
  for (const daemon of mesh.daemons) {
    const verdict = daemon.shift.openMoves[0]?.verdict;
    const side = partitionOf(mesh, daemon);
    if (verdict?.outcome === "bad") {
      counts.foundBadAt.set(side, counts.foundBadAt.get(side) ?? now);
      counts.wasFoundBad ||= !verdict.reason.startsWith("The deadline");
    }
  }
}

function countCall(call: ModelCall, { counts, mesh, now }: {
  readonly counts: CallCounts;
  readonly mesh: Mesh;
  readonly now: Milliseconds;
}): void {
  counts.calls += 1;
  if (!call.isCandidate) {
    return;
  }
  if (call.isAffected) {
    counts.firstAffectedAt ??= now;
  }
  if (counts.firstAffectedAt !== undefined) {
    counts.candidateCalls += 1;
    counts.lastCandidateAt = now;
    counts.callsAtStop = counts.calls;
  }
  const foundAt = counts.foundBadAt.get(partitionOf(mesh, call.daemon));
  // For a daemon that was cut off at that time, the limit begins when the partition ends.
  if (
    foundAt !== undefined &&
    now > Math.max(foundAt, mesh.lastRejoinAt) + STOP_LIMIT_MS
  ) {
    counts.lateCalls += 1;
  }
}

function summarize(options: MoveRunOptions, { mesh, move, counts, endedAt }: {
  readonly mesh: Mesh;
  readonly move: Move;
  readonly counts: CallCounts;
  readonly endedAt: Milliseconds;
}): MoveRun {
  const record = mesh.records[0];
  const { kind } = options;
  const seconds = (endedAt - move.startedAt) / 1_000;
  return {
    workload: options.workload.name,
    kind: kind.name,
    isBad: kind.isBad,
    fault: options.fault.name,
    seed: options.seed,
    outcome: record?.outcome ?? "open",
    reason: record?.reason ?? "",
    isInTime: record?.outcome === "done" &&
      record.appendedAt <= move.deadlineAt,
    wasFoundBad: counts.wasFoundBad,
    calls: counts.calls,
    badCalls: kind.isBad ? counts.candidateCalls : 0,
    badCallShare: kind.isBad && counts.callsAtStop > 0
      ? counts.candidateCalls / counts.callsAtStop
      : 0,
    lateCalls: kind.isBad ? counts.lateCalls : 0,
    stopMilliseconds: kind.isBad && counts.firstAffectedAt !== undefined
      ? counts.lastCandidateAt! - counts.firstAffectedAt
      : undefined,
    bytesPerDaemonSecond: mesh.sentBytes / mesh.daemons.length / seconds,
    timeline: timelineOf(mesh, move),
  };
}

function timelineOf(mesh: Mesh, move: Move): string[] {
  const firstAt = new Map<string, Milliseconds>();
  for (
    const { at, event, fields } of mesh.daemons.flatMap((item) => item.events)
  ) {
    const detail = fields.share ?? fields.outcome;
    const text = [event, detail, fields.reason].filter((part) =>
      part !== undefined && part !== ""
    ).join(" ");
    firstAt.set(text, Math.min(firstAt.get(text) ?? Infinity, at));
  }
  return [...firstAt].sort(([, left], [, right]) => left - right).map((
    [text, at],
  ) => `${((at - move.startedAt) / 1_000).toFixed(1)} s ${text}`);
}
