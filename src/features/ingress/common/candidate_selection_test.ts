import assert from "node:assert/strict";
import { describe, test } from "node:test";
import type { VersionedCandidate } from "../../placement/common/candidates.ts";
import {
  createRolloutRegistry,
  type VersionPreference,
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
    isUnresponsive: false,
    hostDelay: 0,
  };
}

function preferenceOf(
  state: "running" | "complete" | "reverted",
  share: number,
): VersionPreference {
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
  return book.chooseVersion("booking", "any", 0);
}

interface Case {
  readonly name: string;
  readonly versions: VersionPreference;
  readonly hosts: readonly string[];
  readonly excludedHosts?: readonly string[];
  readonly wasOffered?: boolean;
  readonly selected: readonly string[];
}

const CASES: readonly Case[] = [
  {
    name: "before the first step the target version gets no calls",
    versions: preferenceOf("running", 0),
    hosts: ["v1-a", "v2-b"],
    selected: ["v1-a"],
  },
  {
    name:
      "before the first step the target version gets no calls even if the other version already got an offer",
    versions: preferenceOf("running", 0),
    hosts: ["v1-a", "v2-b"],
    excludedHosts: ["v1-a"],
    selected: [],
  },
  {
    name:
      "the target version is used if it is the only one, since the rollout may have completed",
    versions: preferenceOf("running", 0),
    hosts: ["v2-a", "v2-b"],
    selected: ["v2-a", "v2-b"],
  },
  {
    name: "a reverted version gets no calls, even if it is the only one",
    versions: preferenceOf("reverted", 1),
    hosts: ["v2-a"],
    selected: [],
  },
  {
    name: "a retry goes to the version that is not the target",
    versions: preferenceOf("running", 1),
    hosts: ["v1-a", "v2-b", "v2-c"],
    excludedHosts: ["v2-b"],
    wasOffered: true,
    selected: ["v1-a"],
  },
  {
    name: "after the rollout the old version is the fallback",
    versions: preferenceOf("complete", 1),
    hosts: ["v1-a", "v2-b"],
    excludedHosts: ["v2-b"],
    wasOffered: true,
    selected: ["v1-a"],
  },
];

describe("selection of the gates for the next offer, by version", () => {
  for (
    const {
      name,
      versions,
      hosts,
      excludedHosts = [],
      wasOffered = false,
      selected,
    } of CASES
  ) {
    test(name, () => {
      const chosen = selectCandidates(hosts.map(candidate), {
        excludedHosts: new Set(excludedHosts),
        versionPreference: versions,
        wasOffered,
      });
      assert.deepEqual(chosen.map(({ host }) => host), selected);
    });
  }
});
