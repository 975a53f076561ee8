import assert from "node:assert/strict";
import { test } from "node:test";
import { compareWithGoldenFile } from "../../../base/node/golden_file.ts";
import {
  type AdmissionScenario,
  type AdmissionStep,
  runAdmissionScenario,
  SCENARIO_CONTRACT,
} from "./admission_scenario.ts";

const GOLDEN_FOLDER = "src/features/admission/common/golden";
const TACOMA = "tacoma-1 tacoma-2 tacoma-3";
const FLEET: readonly AdmissionStep[] = [
  [0, `start ${TACOMA} salem-1 salem-2`],
  [0, `demand 40 ${TACOMA} salem-1 salem-2`],
];

const SCENARIOS: Record<string, AdmissionScenario> = {
  demand: {
    name: "leases follow the demand from one daemon to another",
    steps: [
      ...FLEET,
      [10, "demand 300 tacoma-1"],
      [5, "demand 300 tacoma-2"],
      [5, "demand 0 tacoma-1 tacoma-3"],
      [5, "wait"],
    ],
  },
  "coordinator-replaced": {
    name: "the lease coordinator is killed, and another host replaces it",
    steps: [
      ...FLEET,
      [10, `demand 200 ${TACOMA}`],
      [5, "kill tacoma-1"],
      [2, "start tacoma-4"],
      [0, "demand 200 tacoma-4"],
      [12, "kill tacoma-2"],
      [12, "start tacoma-2"],
      [12, "wait"],
    ],
  },
  "coordinator-restarted": {
    name: "the lease coordinator restarts before the others detect it",
    steps: [
      ...FLEET,
      [10, `demand 200 ${TACOMA}`],
      [5, "kill tacoma-2"],
      [0, "start tacoma-2"],
      [12, "wait"],
    ],
  },
  "coordinator-paused": {
    name: "each daemon is paused in turn, including the lease coordinator",
    steps: [
      ...FLEET,
      [10, `demand 200 ${TACOMA}`],
      [5, "pause 3000 tacoma-1"],
      [6, "pause 3000 tacoma-2"],
      [6, "pause 3000 tacoma-3"],
      [8, "wait"],
    ],
  },
  partition: {
    name: "the failure domains are disconnected from each other",
    steps: [
      ...FLEET,
      [10, `demand 300 ${TACOMA} salem-1 salem-2`],
      [5, "split"],
      [10, "demand 10 salem-1"],
      [5, "wait"],
    ],
  },
  "partition-and-pause": {
    name: "a daemon is isolated from its domain while another is paused",
    steps: [
      ...FLEET,
      [10, `demand 200 ${TACOMA}`],
      [5, "isolate tacoma-1"],
      [1, "pause 5000 tacoma-2"],
      [10, "rejoin tacoma-1"],
      [10, "wait"],
    ],
  },
};

for (const [file, scenario] of Object.entries(SCENARIOS)) {
  test(`the sum of all limits stays within the contract: ${scenario.name}`, async () => {
    const { lines, ...maximum } = await runAdmissionScenario(scenario);
    compareWithGoldenFile(`${GOLDEN_FOLDER}/${file}.txt`, lines);
    const { requestsPerSecond, concurrency } = SCENARIO_CONTRACT.limits;
    assert.ok(
      maximum.maximumLimit <= requestsPerSecond + 1e-6,
      `limits of ${maximum.maximumLimit} calls/s together`,
    );
    assert.ok(
      maximum.maximumInFlight <= concurrency,
      `${maximum.maximumInFlight} calls in flight`,
    );
    assert.ok(maximum.excess <= 0, `${maximum.excess} calls too many`);
  });
}
