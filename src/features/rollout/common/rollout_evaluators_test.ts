import assert from "node:assert/strict";
import { describe, test } from "node:test";
import {
  chooseEvaluators,
  chooseLeader,
  type EvaluatorCandidate,
} from "./rollout_evaluators.ts";

const DOMAINS = ["east", "north", "west"];

interface Case {
  readonly name: string;
  readonly hostsPerDomain: number;
  readonly isAvailable: (candidate: EvaluatorCandidate) => boolean;
  readonly evaluators: number;
}

const CASES: readonly Case[] = [
  {
    name: "two of each failure domain",
    hostsPerDomain: 70,
    isAvailable: () => true,
    evaluators: 6,
  },
  {
    name: "as many as a small failure domain has",
    hostsPerDomain: 1,
    isAvailable: () => true,
    evaluators: 3,
  },
  {
    name: "two also of a failure domain in which none is available",
    hostsPerDomain: 5,
    isAvailable: ({ failureDomain }) => failureDomain !== "north",
    evaluators: 6,
  },
  {
    name: "two of each failure domain if all are overloaded",
    hostsPerDomain: 5,
    isAvailable: () => false,
    evaluators: 6,
  },
];

describe("the evaluators of rollouts", () => {
  for (const { name, hostsPerDomain, isAvailable, evaluators } of CASES) {
    test(name, () => {
      const candidates = DOMAINS.flatMap((failureDomain) =>
        Array.from({ length: hostsPerDomain }, (_, index) => {
          const host = { host: `${failureDomain}-${index}`, failureDomain };
          return {
            ...host,
            isAvailable: isAvailable({ ...host, isAvailable: true }),
          };
        })
      );
      const chosen = chooseEvaluators(candidates);
      assert.equal(chosen.length, evaluators);
      assert.equal(new Set(chosen).size, evaluators);
      // The leader acts on evidence, so it must get it.
      assert.ok(chosen.includes(chooseLeader(candidates)!));
    });
  }

  test("an evaluator that becomes unavailable is replaced by another one", () => {
    const candidates = Array.from({ length: 10 }, (_, index) => ({
      host: `host-${index}`,
      failureDomain: "east",
      isAvailable: true,
    }));
    const [first, second] = chooseEvaluators(candidates);
    const [next, afterNext] = chooseEvaluators(
      candidates.map((candidate) => ({
        ...candidate,
        isAvailable: candidate.host !== first,
      })),
    );
    assert.equal(next, second);
    assert.notEqual(afterNext, first);
  });
});
