import assert from "node:assert/strict";
import { describe, test } from "node:test";
import type { VersionedCandidate } from "../../placement/common/candidates.ts";
import {
  createRolloutRegistry,
  type VersionChoice,
} from "../../rollout/common/rollout_registry.ts";
import { selectCandidates } from "./candidate_selection.ts";

function candidate(host: string): VersionedCandidate {
  return {
    host,
    // The version is the first part of the name.
    version: host.split("-")[0],
    failureDomain: "east",
    load: {
      running: 0,
      waiting: 0,
      limit: 14,
      relativeServiceTime: 1,
      failureRate: 0,
    },
    outstanding: 0,
    isCold: false,
    isSilent: false,
    hostDelay: 0,
  };
}

function choiceOf(
  state: "running" | "complete" | "reverted",
  share: number,
): VersionChoice {
  const book = createRolloutRegistry();
  book.mergeProgress({
    service: "booking",
    targetVersion: "v2",
    orderOffset: 1,
    step: share === 0 ? -1 : 0,
    share,
    state,
    isStored: false,
  }, 0);
  return book.chooseVersion("booking", "any");
}

interface Case {
  readonly name: string;
  readonly versions: VersionChoice;
  readonly hosts: readonly string[];
  readonly asked?: readonly string[];
  readonly isNext?: boolean;
  readonly selected: readonly string[];
}

const CASES: readonly Case[] = [
  {
    name: "before the first share the target version gets nothing",
    versions: choiceOf("running", 0),
    hosts: ["v1-a", "v2-b"],
    selected: ["v1-a"],
  },
  {
    name: "nor when the others were asked already",
    versions: choiceOf("running", 0),
    hosts: ["v1-a", "v2-b"],
    asked: ["v1-a"],
    selected: [],
  },
  {
    name:
      "a daemon that takes a complete rollout for running uses the only version there is",
    versions: choiceOf("running", 0),
    hosts: ["v2-a", "v2-b"],
    selected: ["v2-a", "v2-b"],
  },
  {
    name: "a version that was taken back gets nothing, also alone",
    versions: choiceOf("reverted", 1),
    hosts: ["v2-a"],
    selected: [],
  },
  {
    name: "a repeat goes to the version that is not under test",
    versions: choiceOf("running", 1),
    hosts: ["v1-a", "v2-b", "v2-c"],
    asked: ["v2-b"],
    isNext: true,
    selected: ["v1-a"],
  },
  {
    name: "after the rollout the old version is the last resort",
    versions: choiceOf("complete", 1),
    hosts: ["v1-a", "v2-b"],
    asked: ["v2-b"],
    isNext: true,
    selected: ["v1-a"],
  },
];

describe("the gates that may be asked next, by version", () => {
  for (
    const { name, versions, hosts, asked = [], isNext = false, selected }
      of CASES
  ) {
    test(name, () => {
      const chosen = selectCandidates(hosts.map(candidate), {
        asked: new Set(asked),
        versions,
        isNext,
      });
      assert.deepEqual(chosen.map(({ host }) => host), selected);
    });
  }
});
