import assert from "node:assert/strict";
import { test } from "node:test";
import { compareWithGoldenFile } from "../../../base/node/golden_file.ts";
import { MOVE_FAULTS, MOVE_WORKLOADS, VERSION_KINDS } from "./move_cases.ts";
import { type MoveRun, runMove } from "./move_measure.ts";

const GOLDEN_FOLDER = "src/features/move/common/golden";

/** The targets of section 1.3 of the design. */
const LARGEST_BAD_SHARE = 0.05;
const LARGEST_BYTES_PER_SECOND = 6_000;

function run(
  workload: string,
  kind: string,
  fault: string,
): Promise<MoveRun> {
  return runMove({
    workload: MOVE_WORKLOADS.find(({ name }) => name === workload)!,
    kind: VERSION_KINDS.find(({ name }) => name === kind)!,
    fault: MOVE_FAULTS.find(({ name }) => name === fault)!,
    seed: 1,
    deadlineMilliseconds: 300_000,
    daemonsPerDomain: 3,
  });
}

const GOLDEN_RUNS = [
  ["hollister", "good", "none"],
  ["mto-pamoja", "good", "partition"],
  ["hollister", "bad-fails-under-load", "none"],
  ["mto-pamoja", "bad-fails-later", "platform-down"],
  ["hollister", "bad-slow", "half-restart"],
] as const;

for (const [workload, kind, fault] of GOLDEN_RUNS) {
  test(`the timeline of a move matches its golden file: ${kind} under ${fault}`, async () => {
    const { timeline } = await run(workload, kind, fault);
    compareWithGoldenFile(`${GOLDEN_FOLDER}/${kind}_${fault}.txt`, timeline);
  });
}

// Each kind runs with one fault, and each fault is used; the measurement runs all combinations.
VERSION_KINDS.forEach((kind, index) => {
  const fault = MOVE_FAULTS[index % MOVE_FAULTS.length];
  const workload = MOVE_WORKLOADS[index % MOVE_WORKLOADS.length];
  test(`a move meets its targets: ${workload.name}, ${kind.name} under ${fault.name}`, async () => {
    const result = await run(workload.name, kind.name, fault.name);
    assert.ok(result.bytesPerDaemonSecond < LARGEST_BYTES_PER_SECOND);
    if (kind.isBad) {
      assert.equal(result.outcome, "taken-back", result.reason);
      assert.ok(result.badCallShare < LARGEST_BAD_SHARE);
      assert.equal(result.lateCalls, 0);
    } else {
      assert.ok(result.isInTime, result.reason);
      assert.ok(!result.wasFoundBad);
    }
  });
});
