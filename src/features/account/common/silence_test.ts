import assert from "node:assert/strict";
import { describe, test } from "node:test";
import {
  countSpentCalls,
  isGranterSilent,
  type UnansweredCalls,
} from "./silence.ts";

/** A host of an account of 60 calls/s on 85 hosts, at 0.44 calls/s as usual, shortly after a report. */
const SPARSE: UnansweredCalls = {
  admitted: 1,
  duration: 100,
  requestsPerSecond: 0.7,
  isGranterHeard: true,
  responseTime: 8,
};

// Guards against free calls on all hosts while a cut is not noticed, and against refusals since a response is late.
describe("a granter that has not responded", () => {
  const cases: readonly [
    string,
    Partial<UnansweredCalls>,
    { readonly isSilent: boolean; readonly spent: number },
  ][] = [
    ["is not silent within the time of a response", { duration: 40 }, {
      isSilent: false,
      spent: 1,
    }],
    ["is silent for a further call at once", {}, { isSilent: true, spent: 1 }],
    ["is not silent for a further call after a while", { duration: 480 }, {
      isSilent: false,
      spent: 0,
    }],
    ["is not silent within the time of slow responses", {
      duration: 200,
      responseTime: 100,
    }, { isSilent: false, spent: 1 }],
    ["is silent after half a second", { duration: 500 }, {
      isSilent: true,
      spent: 0,
    }],
    ["is silent for several calls", { admitted: 3, duration: 480 }, {
      isSilent: true,
      spent: 3,
    }],
    ["is not silent for the calls of a busy host", {
      admitted: 60,
      requestsPerSecond: 380,
    }, { isSilent: false, spent: 0 }],
    ["is silent for 8 times the calls of a busy host", {
      admitted: 300,
      requestsPerSecond: 380,
    }, { isSilent: true, spent: 300 }],
    [
      "is not silent for the second call of a host that it never told anything",
      {
        isGranterHeard: false,
      },
      { isSilent: false, spent: 0 },
    ],
  ];
  for (const [name, change, expected] of cases) {
    test(name, () => {
      const calls = { ...SPARSE, ...change };
      assert.deepEqual({
        isSilent: isGranterSilent(calls),
        spent: countSpentCalls(calls),
      }, expected);
    });
  }
});
