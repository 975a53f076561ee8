import assert from "node:assert/strict";
import { test } from "node:test";
import { compareWithGoldenFile } from "../../../base/node/golden_file.ts";
import {
  type DistributionScenario,
  runDistributionScenario,
} from "./distribution_scenario.ts";

const GOLDEN_FOLDER = "src/features/distribution/common/golden";

const CASES: Record<string, DistributionScenario> = {
  outage: {
    name:
      "the platform goes down while a change is distributed; daemons restart meanwhile",
    options: { domains: 2, daemonsPerDomain: 2 },
    steps: [
      [500, "publish a"],
      [3, "platform down"],
      [500, "stop d0-h1"],
      [7_000, "start d0-h1"],
      [1_000, "stop d1-h0 d1-h1"],
      [500, "start d1-h0 d1-h1"],
      [2_000, "platform up"],
      [10, "publish b"],
      [10, "publish c"],
      [3_000, "wait"],
    ],
  },
  partition: {
    name:
      "a failure domain is partitioned from the others, then also from the platform",
    options: { domains: 2, daemonsPerDomain: 2 },
    steps: [
      [500, "publish a"],
      [2, "split d0 domains"],
      [500, "publish b"],
      [2, "split d0 platform"],
      [500, "publish c"],
      [6_000, "heal d0 domains"],
      [2_000, "publish d"],
      [2_000, "heal d0 platform"],
      [6_000, "wait"],
    ],
  },
  pause: {
    name: "a paused daemon resumes with an outdated state",
    options: { daemonsPerDomain: 5 },
    steps: [
      [500, "publish a"],
      [500, "pause d0-h1"],
      [500, "publish b"],
      [10_000, "publish c"],
      [500, "resume d0-h1"],
      [3_000, "wait"],
    ],
  },
  floor: {
    name:
      "an outdated peer knows the version of a restarted host but lacks the entry",
    options: { daemonsPerDomain: 3 },
    steps: [
      [500, "publish a"],
      [500, "split d0 platform"],
      [10, "publish b"],
      [10, "cut d0-h0 d0-h1"],
      [10, "cut d0-h2 d0-h1"],
      [10, "deliver d0-h2 d0-h0 1"],
      [500, "restore d0-h0 d0-h1"],
      [3, "cut d0-h0 all"],
      [10, "stop d0-h0"],
      [500, "start d0-h0"],
      [10, "restore d0-h0 d0-h1"],
      [3_000, "restore d0-h0 d0-h2"],
      [2_000, "restore d0-h1 d0-h2"],
      [2_000, "wait"],
    ],
  },
  "stale-contact": {
    name: "an outdated peer never received the version of a restarted host",
    options: { daemonsPerDomain: 3 },
    steps: [
      [500, "publish a"],
      [500, "cut d0-h1 all"],
      [10, "pause d0-h1"],
      [10, "publish b"],
      [500, "split d0 platform"],
      [500, "stop d0-h0"],
      [10, "cut d0-h0 all"],
      [500, "start d0-h0"],
      [7_000, "resume d0-h1"],
      [10, "cut d0-h1 d0-h2"],
      [10, "restore d0-h0 d0-h1"],
      [5_000, "restore d0-h0 d0-h2"],
      [2_000, "restore d0-h1 d0-h2"],
      [5_000, "wait"],
    ],
  },
  crossed: {
    name: "updates arrive out of order, duplicated and outdated",
    options: { daemonsPerDomain: 2 },
    steps: [
      [500, "publish a"],
      [500, "split d0 platform"],
      [6_000, "publish b"],
      [10, "publish c"],
      [10, "publish d"],
      [10, "deliver d0-h0 d0-h1 3 2"],
      [10, "deliver d0-h0 d0-h1 2"],
      [10, "deliver d0-h0 d0-h1 0 0"],
      [10, "deliver d0-h0 d0-h1 1 3 1"],
      [10, "deliver d0-h0 d0-h1 0 1 2"],
      [3_000, "heal d0 platform"],
      [3_000, "wait"],
    ],
  },
  retention: {
    name:
      "entries expire that a paused reader lacks; a start uses a snapshot and later entries",
    options: { daemonsPerDomain: 2, retentionMilliseconds: 20_000 },
    steps: [
      [500, "publish a"],
      [500, "pause d0-h0"],
      [5_000, "publish b"],
      [10_000, "publish c"],
      [10_000, "publish d"],
      [10_000, "publish e"],
      [1_000, "cut d0-h0 d0-h1"],
      [10, "resume d0-h0"],
      [10, "cut d0-h0 d0-h1"],
      [5_000, "restore d0-h0 d0-h1"],
      [500, "publish f"],
      [500, "stop d0-h0 d0-h1"],
      [100, "start d0-h0 d0-h1"],
      [3_000, "wait"],
    ],
  },
  "snapshot-start": {
    name:
      "daemons start from a snapshot and the entries after it, not from the beginning of the log",
    options: { daemonsPerDomain: 2 },
    steps: [
      [500, "publish a 250"],
      [6_000, "publish b"],
      [6_000, "publish c"],
      [500, "stop d0-h0 d0-h1"],
      [100, "start d0-h0 d0-h1"],
      [3_000, "wait"],
    ],
  },
  restart: {
    name: "half of the daemons restart while changes are published",
    options: { domains: 2, daemonsPerDomain: 4 },
    steps: [
      [500, "publish a"],
      [500, "stop d0-h0 d0-h2 d1-h1 d1-h3"],
      [10, "publish b"],
      [500, "start d0-h0 d0-h2 d1-h1 d1-h3"],
      [20, "publish c"],
      [3_000, "wait"],
    ],
  },
  "outage-and-restart": {
    name: "half of the daemons restart during an outage of the platform",
    options: { domains: 2, daemonsPerDomain: 4 },
    steps: [
      [500, "publish a"],
      [2, "platform down"],
      [500, "stop d0-h0 d0-h2 d1-h1 d1-h3"],
      [500, "start d0-h0 d0-h2 d1-h1 d1-h3"],
      [3_000, "platform up"],
      [10, "publish b"],
      [6_000, "wait"],
    ],
  },
  "partition-and-pause": {
    name: "a daemon is paused while its failure domain is partitioned",
    options: { domains: 2, daemonsPerDomain: 3 },
    steps: [
      [500, "publish a"],
      [500, "split d0 domains"],
      [10, "split d0 platform"],
      [10, "pause d0-h0"],
      [10, "publish b"],
      [7_000, "resume d0-h0"],
      [500, "heal d0 domains"],
      [500, "split d0 domains"],
      [3_000, "heal d0 domains"],
      [10, "heal d0 platform"],
      [3_000, "wait"],
    ],
  },
};

for (const [file, scenario] of Object.entries(CASES)) {
  test(
    `no host reverts to an older version and all converge to one state: ${scenario.name}`,
    { timeout: 60_000 },
    async () => {
      const { lines, reverts, finalStates } = await runDistributionScenario(
        scenario,
      );
      compareWithGoldenFile(`${GOLDEN_FOLDER}/${file}.txt`, lines);
      assert.equal(reverts, 0);
      assert.equal(finalStates, 1);
    },
  );
}

test(
  "a host whose only contacts are two old peers in touch with each other does not go back",
  { timeout: 60_000 },
  async () => {
    const { reverts } = await runDistributionScenario({
      name: "two old peers",
      options: { daemonsPerDomain: 4 },
      steps: [
        [500, "publish a"],
        [500, "split d0 platform"],
        [6_000, "cut d0-h0 d0-h1"],
        [0, "cut d0-h0 d0-h2"],
        [0, "cut d0-h3 d0-h1"],
        [0, "cut d0-h3 d0-h2"],
        [10, "publish b"],
        [10, "deliver d0-h3 d0-h0 1"],
        [500, "stop d0-h0"],
        [0, "cut d0-h0 d0-h3"],
        [500, "start d0-h0"],
        [0, "restore d0-h0 d0-h1"],
        [0, "restore d0-h0 d0-h2"],
        [3_000, "wait"],
      ],
    });
    assert.equal(reverts, 0);
  },
);
