import assert from "node:assert/strict";
import { test } from "node:test";
import { compareWithGoldenFile } from "../../../base/node/golden_file.ts";
import {
  type MembershipScenario,
  runMembershipScenario,
  type ScenarioStep,
} from "./membership_scenario.ts";

const GOLDEN_FOLDER = "src/features/membership/common/golden";
const ONE_DOMAIN = { d1: ["a", "b", "c", "d"] };
const TWO_DOMAINS = { d1: ["a", "b", "c", "d"], d2: ["x", "y"] };
const UPSTREAMS: readonly ScenarioStep[] = [
  [0, "start a b c d"],
  [0, "upstream a ready"],
  [0, "upstream d ready"],
];

interface GoldenScenario extends MembershipScenario {
  /** The final view of every running daemon of `d1`. */
  readonly end: string;
}

const ALL = "members [a b c d] instances [a d]";

const CASES: Record<string, GoldenScenario> = {
  join: {
    name: "a host joins, and its upstream becomes ready",
    domains: { d1: ["a", "b", "c", "d"] },
    end: ALL,
    steps: [
      [0, "start a b c"],
      [0, "upstream a ready"],
      [3_000, "start d"],
      [500, "upstream d starting"],
      [1_500, "upstream d ready"],
      [3_000, "wait"],
    ],
  },
  suspicion: {
    name:
      "one link of a daemon is cut, then all of its links for less than 3 s",
    domains: ONE_DOMAIN,
    end: ALL,
    steps: [
      ...UPSTREAMS,
      [4_000, "cut d a"],
      [9_000, "cut d b c"],
      [2_500, "restore d a b c"],
      [6_000, "wait"],
    ],
  },
  pause: {
    name: "a daemon is paused until it is declared dead, and resumes",
    domains: ONE_DOMAIN,
    end: ALL,
    steps: [
      ...UPSTREAMS,
      [4_000, "pause d"],
      [9_000, "resume d"],
      [5_000, "wait"],
    ],
  },
  death: {
    name: "a host stops responding permanently",
    domains: ONE_DOMAIN,
    end: "members [a b c] instances [a]",
    steps: [...UPSTREAMS, [4_000, "freeze d"], [9_000, "wait"]],
  },
  restart: {
    name: "a daemon is killed and starts again on the same host",
    domains: ONE_DOMAIN,
    end: ALL,
    steps: [
      ...UPSTREAMS,
      [4_000, "kill d"],
      [1_000, "start d"],
      [6_000, "wait"],
    ],
  },
  leaving: {
    name: "an upstream drains, then its daemon leaves",
    domains: ONE_DOMAIN,
    end: "members [a b c] instances [a]",
    steps: [
      ...UPSTREAMS,
      [4_000, "upstream d draining"],
      [2_000, "leave d"],
      [1_000, "kill d"],
      [3_000, "wait"],
    ],
  },
  expiry: {
    name: "an upstream stops renewing its announcement, and returns",
    domains: ONE_DOMAIN,
    end: ALL,
    steps: [
      ...UPSTREAMS,
      [4_000, "expire d"],
      [6_000, "upstream d ready"],
      [2_000, "wait"],
    ],
  },
  split: {
    name:
      "a failure domain is partitioned into halves, which rejoin after the repair",
    domains: TWO_DOMAINS,
    end: ALL,
    steps: [
      [0, "start x y"],
      ...UPSTREAMS,
      [4_000, "cut a c d"],
      [0, "cut b c d"],
      [15_000, "restore a c d"],
      [0, "restore b c d"],
      [30_000, "wait"],
    ],
  },
  "drain-in-split": {
    name:
      "an upstream drains in one half of a network partition, and a host restarts",
    domains: TWO_DOMAINS,
    end: "members [a b c d] instances [a]",
    steps: [
      [0, "start x y"],
      ...UPSTREAMS,
      [4_000, "cut a c d"],
      [0, "cut b c d"],
      [1_000, "upstream d draining"],
      [1_000, "kill b"],
      [1_000, "start b"],
      [10_000, "restore a c d"],
      [0, "restore b c d"],
      [30_000, "wait"],
    ],
  },
  "pause-in-split": {
    name:
      "a daemon is paused during a network partition and resumes after the repair",
    domains: TWO_DOMAINS,
    end: ALL,
    steps: [
      [0, "start x y"],
      ...UPSTREAMS,
      [4_000, "cut a c d"],
      [0, "cut b c d"],
      [500, "pause d"],
      [9_000, "restore a c d"],
      [0, "restore b c d"],
      [5_000, "resume d"],
      [30_000, "wait"],
    ],
  },
};

for (const [file, { end, ...scenario }] of Object.entries(CASES)) {
  test(`all members converge to one view: ${scenario.name}`, async () => {
    const { lines, views } = await runMembershipScenario(scenario);
    compareWithGoldenFile(`${GOLDEN_FOLDER}/${file}.txt`, lines);
    for (const [host, view] of views) {
      if (scenario.domains.d1.includes(host)) {
        assert.equal(view, end, host);
      }
    }
  });
}
