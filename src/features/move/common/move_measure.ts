/**
 * The measurement of moves: a table of workloads, kinds of new version, faults and seeds, each run
 * with the real traffic shifts over the memory exchange under a virtual clock.
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

const STEP_MS: Milliseconds = 50;
const START_AT: Milliseconds = 1_000_000;
/** How long a run goes on after the move was closed, or after its deadline when it was not. */
const TAIL_MS: Milliseconds = 10_000;
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
  /** Whether a daemon found the version bad by its evidence, right or wrong. */
  readonly wasFoundBad: boolean;
  readonly calls: number;
  /** Calls to the new version since it was bad, and their part of all calls until the stop. */
  readonly badCalls: number;
  readonly badCallShare: number;
  /** Calls to the bad version by reachable daemons later than 3 s after sufficient evidence. */
  readonly lateCalls: number;
  /** From the first call that the version failed or slowed to the last call to it. */
  readonly stopMilliseconds: Milliseconds | undefined;
  readonly bytesPerDaemonSecond: number;
  /** The events of the move, each when the first daemon wrote it. */
  readonly timeline: readonly string[];
}

interface Tally {
  calls: number;
  callsAtStop: number;
  candidateCalls: number;
  lateCalls: number;
  firstAffectedAt: Milliseconds | undefined;
  lastCandidateAt: Milliseconds | undefined;
  /** When a daemon of each side of a partition first had a bad verdict. */
  readonly foundBadAt: Map<string, Milliseconds>;
  /** Whether a daemon found the version bad by its evidence, not by the deadline. */
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
  const tally = createTally();
  while (!isOver(mesh, move, clock.now())) {
    clock.advance(STEP_MS);
    // Appends are promises; this lets their continuations run before the next interval.
    await new Promise((resolve) => setImmediate(resolve));
    observeVerdicts(mesh, tally, clock.now());
    const progress = (clock.now() - move.startedAt) /
      options.deadlineMilliseconds;
    model.step(
      mesh.daemons,
      { interval: STEP_MS, progress },
      (call) => count(call, { tally, mesh, now: clock.now() }),
    );
  }
  const run = summarize(options, { mesh, move, tally, endedAt: clock.now() });
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

function createTally(): Tally {
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
  const closedAt = mesh.records[0]?.appendedAt ?? move.deadlineAt + TAIL_MS;
  const isAnyoneCutOff = mesh.daemons.some(({ self }) =>
    mesh.isCutOff(self.failureDomain)
  );
  return now >= closedAt + TAIL_MS &&
    (!isAnyoneCutOff || now >= move.deadlineAt);
}

/** Daemons that can reach each other; the partitions of the model cut off whole domains. */
function sideOf(mesh: Mesh, daemon: MeshDaemon): string {
  const domain = daemon.self.failureDomain;
  return mesh.isCutOff(domain) ? domain : "";
}

function observeVerdicts(mesh: Mesh, tally: Tally, now: Milliseconds): void {
  for (const daemon of mesh.daemons) {
    const verdict = daemon.shift.openMoves[0]?.verdict;
    const side = sideOf(mesh, daemon);
    if (verdict?.outcome === "bad") {
      tally.foundBadAt.set(side, tally.foundBadAt.get(side) ?? now);
      tally.wasFoundBad ||= !verdict.reason.startsWith("The deadline");
    }
  }
}

function count(call: ModelCall, { tally, mesh, now }: {
  readonly tally: Tally;
  readonly mesh: Mesh;
  readonly now: Milliseconds;
}): void {
  tally.calls += 1;
  if (!call.isCandidate) {
    return;
  }
  if (call.isAffected) {
    tally.firstAffectedAt ??= now;
  }
  if (tally.firstAffectedAt !== undefined) {
    tally.candidateCalls += 1;
    tally.lastCandidateAt = now;
    tally.callsAtStop = tally.calls;
  }
  const foundAt = tally.foundBadAt.get(sideOf(mesh, call.daemon));
  // A daemon that was cut off when the evidence sufficed is reachable since the partition ended.
  if (
    foundAt !== undefined &&
    now > Math.max(foundAt, mesh.lastRejoinAt) + STOP_LIMIT_MS
  ) {
    tally.lateCalls += 1;
  }
}

function summarize(options: MoveRunOptions, { mesh, move, tally, endedAt }: {
  readonly mesh: Mesh;
  readonly move: Move;
  readonly tally: Tally;
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
    wasFoundBad: tally.wasFoundBad,
    calls: tally.calls,
    badCalls: kind.isBad ? tally.candidateCalls : 0,
    badCallShare: kind.isBad && tally.callsAtStop > 0
      ? tally.candidateCalls / tally.callsAtStop
      : 0,
    lateCalls: kind.isBad ? tally.lateCalls : 0,
    stopMilliseconds: kind.isBad && tally.firstAffectedAt !== undefined
      ? tally.lastCandidateAt! - tally.firstAffectedAt
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
