import assert from "node:assert/strict";
import { test } from "node:test";
import { compareWithGoldenFile } from "../../../base/node/golden_file.ts";
import {
  type AdmissionCase,
  type AdmissionStep,
  runAdmissionCase,
  SESSION_CONTRACT,
} from "./admission_session.ts";

const GOLDEN_FOLDER = "src/features/admission/common/golden";
const TACOMA = "tacoma-1 tacoma-2 tacoma-3";
const FLEET: readonly AdmissionStep[] = [
  [0, `start ${TACOMA} salem-1 salem-2`],
  [0, `demand 40 ${TACOMA} salem-1 salem-2`],
];

const CASES: Record<string, AdmissionCase> = {
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
  "holder-replaced": {
    name: "the lease holder dies, and another host takes its place",
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
  "holder-restarted": {
    name: "the lease holder restarts at once, before others notice",
    steps: [
      ...FLEET,
      [10, `demand 200 ${TACOMA}`],
      [5, "kill tacoma-2"],
      [0, "start tacoma-2"],
      [12, "wait"],
    ],
  },
  "holder-paused": {
    name: "each daemon, and so the lease holder, is paused",
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
    name: "the failure domains are cut off from each other",
    steps: [
      ...FLEET,
      [10, `demand 300 ${TACOMA} salem-1 salem-2`],
      [5, "split"],
      [10, "demand 10 salem-1"],
      [5, "wait"],
    ],
  },
  "partition-and-pause": {
    name: "a daemon is cut off in its domain while another is paused",
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

for (const [file, session] of Object.entries(CASES)) {
  test(`the sum of all limits stays within the contract: ${session.name}`, async () => {
    const { lines, ...highest } = await runAdmissionCase(session);
    compareWithGoldenFile(`${GOLDEN_FOLDER}/${file}.txt`, lines);
    const { requestsPerSecond, concurrency } = SESSION_CONTRACT.limits;
    assert.ok(
      highest.highestLimit <= requestsPerSecond + 1e-6,
      `limits of ${highest.highestLimit} calls/s together`,
    );
    assert.ok(
      highest.highestInFlight <= concurrency,
      `${highest.highestInFlight} calls in flight`,
    );
    assert.ok(highest.excess <= 0, `${highest.excess} calls too many`);
  });
}
