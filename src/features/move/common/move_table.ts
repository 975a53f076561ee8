/**
 * The result tables of the measurement of moves.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import { MOVE_FAULTS, MOVE_WORKLOADS, VERSION_KINDS } from "./move_cases.ts";
import { type MoveRun, runMove } from "./move_measure.ts";

const DEADLINE_MS: Milliseconds = 300_000;
const DAEMONS_PER_DOMAIN = 3;

export interface MoveTableOptions {
  readonly seeds: number;
  readonly firstSeed: number;
  /** Only cases whose `workload/kind/fault` contains this text. */
  readonly filter: string;
}

type Row = Readonly<Record<string, string | number>>;

/** Runs every case with every seed. */
export async function runMoveCases(
  options: MoveTableOptions,
): Promise<MoveRun[]> {
  const runs: MoveRun[] = [];
  for (const workload of MOVE_WORKLOADS) {
    for (const kind of VERSION_KINDS) {
      for (const fault of MOVE_FAULTS) {
        const name = `${workload.name}/${kind.name}/${fault.name}`;
        for (let index = 0; index < options.seeds; index += 1) {
          if (name.includes(options.filter)) {
            runs.push(
              await runMove({
                workload,
                kind,
                fault,
                seed: options.firstSeed + index,
                deadlineMilliseconds: DEADLINE_MS,
                daemonsPerDomain: DAEMONS_PER_DOMAIN,
              }),
            );
          }
        }
      }
    }
  }
  return runs;
}

/** Result tables for display: by kind, fault and workload, the totals, and runs that miss a target. */
export async function measureMoves(options: MoveTableOptions) {
  const runs = await runMoveCases(options);
  return [
    { title: "moves by kind of version", rows: groupRows(runs, "kind") },
    { title: "moves by fault", rows: groupRows(runs, "fault") },
    { title: "moves by workload", rows: groupRows(runs, "workload") },
    {
      title: "all moves",
      rows: [{ runs: runs.length, ...summarizeRuns(runs) }],
    },
    {
      title: "runs with a wrong result",
      rows: runs.filter(missesTarget).map(formatMissedTarget),
    },
  ];
}

function groupRows(
  runs: readonly MoveRun[],
  key: "kind" | "fault" | "workload",
): Row[] {
  const names = [...new Set(runs.map((run) => run[key]))];
  return names.map((name) => {
    const group = runs.filter((run) => run[key] === name);
    return { [key]: name, runs: group.length, ...summarizeRuns(group) };
  });
}

function summarizeRuns(runs: readonly MoveRun[]): Row {
  const good = runs.filter(({ isBad }) => !isBad);
  const bad = runs.filter(({ isBad }) => isBad);
  const stops = bad.flatMap(({ stopMilliseconds }) =>
    stopMilliseconds === undefined ? [] : [stopMilliseconds]
  ).sort((left, right) => left - right);
  const percent = (part: number, whole: number) =>
    whole === 0 ? "" : `${(100 * part / whole).toFixed(1)}%`;
  const count = (items: readonly MoveRun[], test: (run: MoveRun) => boolean) =>
    percent(items.filter(test).length, items.length);
  return {
    "good in time": count(good, ({ isInTime }) => isInTime),
    "false alarms": count(good, ({ wasFoundBad }) => wasFoundBad),
    "bad taken back": count(bad, ({ outcome }) => outcome === "taken-back"),
    "bad calls max": percent(
      Math.max(0, ...bad.map(({ badCallShare }) => badCallShare)),
      bad.length === 0 ? 0 : 1,
    ),
    "late calls": bad.reduce((sum, { lateCalls }) => sum + lateCalls, 0),
    "stop median s": formatSeconds(stops[Math.floor(stops.length / 2)]),
    "stop max s": formatSeconds(stops[stops.length - 1]),
    "bytes/daemon/s max": Math.round(
      Math.max(...runs.map(({ bytesPerDaemonSecond }) => bytesPerDaemonSecond)),
    ),
  };
}

function formatSeconds(duration: Milliseconds | undefined): string {
  return duration === undefined ? "" : (duration / 1_000).toFixed(1);
}

/** Whether a run misses a target of section 1.3 of the design. */
function missesTarget(run: MoveRun): boolean {
  return run.isBad
    ? run.outcome !== "taken-back" || run.badCallShare >= 0.05 ||
      run.lateCalls > 0
    : !run.isInTime;
}

function formatMissedTarget(run: MoveRun): Row {
  return {
    case: `${run.workload}/${run.kind}/${run.fault}`,
    seed: run.seed,
    outcome: run.outcome,
    "bad calls": run.badCallShare.toFixed(3),
    "late calls": run.lateCalls,
    reason: run.reason,
  };
}
