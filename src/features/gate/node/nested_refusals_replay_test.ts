import assert from "node:assert/strict";
import { describe, test } from "node:test";
import {
  createNestedRefusals,
  type NestedRefusals,
} from "../common/nested_refusals.ts";
import { type ReplayResult, replayRoomSharing } from "./room_sharing_replay.ts";
import { PATIENT_ROUTES } from "./room_sharing_routes.ts";

const DURATION_MS = 6_000;
const SHED_FROM_MS = 1_500;
const SHED_UNTIL_MS = 5_500;
const SEEDS = [1, 2, 3];

type Rule = "now" | "of all failing" | "none";

const RULES: Readonly<Record<Rule, () => NestedRefusals>> = {
  now: createNestedRefusals,
  /** Calls are refused only while nearly all of them fail. */
  "of all failing": () => {
    const refusals = createNestedRefusals();
    return {
      ...refusals,
      takeRefusal: (route, { now }) =>
        refusals.takeRefusal(route, { mustWait: false, now }),
    };
  },
  none: () => ({ recordRun() {}, takeRefusal: () => false }),
};

/** The mean benefit over the seeds. */
function replay(
  rule: Rule,
  { load, shedShare }: Case,
  print: (text: string) => void,
): number {
  const results = SEEDS.map((seed) =>
    replayRoomSharing({
      seed,
      duration: DURATION_MS,
      sharesByAccount: true,
      routes: PATIENT_ROUTES,
      nestedCalls: 1,
      returnsOnce: true,
      nestedRefusals: RULES[rule],
      loadOf: (kind) => kind === "read" || kind === "write" ? load : 1,
      shedShareOf: (now) =>
        now >= SHED_FROM_MS && now < SHED_UNTIL_MS ? shedShare : 0,
    })
  );
  const mean = (pick: (result: ReplayResult) => number) =>
    results.reduce((sum, result) => sum + pick(result), 0) / results.length;
  const benefit = mean((result) => result.benefit);
  print(
    `${rule}: benefit ${benefit.toFixed(4)}; reads ${
      mean(({ kinds }) => kinds.read.benefit).toFixed(3)
    }, writes ${mean(({ kinds }) => kinds.write.benefit).toFixed(3)}; ${
      mean(({ kinds }) => kinds.read.failedNested).toFixed(3)
    } of the reads fail for a nested call`,
  );
  return benefit;
}

interface Case {
  /** The calls to the first service, as a multiple of the usual ones; it is full from about 1.8 on. */
  readonly load: number;
  /** The share of its calls that the second service refuses for 4 s. */
  readonly shedShare: number;
  /** Whether the calls that fail take room from others. */
  readonly isGain: boolean;
}

const CASES: readonly Case[] = [
  { load: 1, shedShare: 0.4, isGain: false },
  { load: 1, shedShare: 0.6, isGain: false },
  { load: 2, shedShare: 0.4, isGain: false },
  { load: 1.8, shedShare: 0.6, isGain: true },
  { load: 2, shedShare: 0.6, isGain: true },
];

/** Replays with other random numbers differ by this much. */
const RANDOM_DIFFERENCE = 0.005;

// Guards against slots of a full service that are given to calls which fail for their nested calls.
describe("calls to a service whose nested calls another service sheds at times", () => {
  for (const replayed of CASES) {
    const { load, shedShare, isGain } = replayed;
    test(
      `${load} times the usual calls, ${shedShare} shed: ${
        isGain ? "more benefit" : "no less benefit"
      }`,
      (context) => {
        const print = (text: string) => context.diagnostic(text);
        const now = replay("now", replayed, print);
        const before = replay("of all failing", replayed, print);
        replay("none", replayed, print);
        assert.ok(
          isGain ? now > before : now > before - RANDOM_DIFFERENCE,
        );
      },
    );
  }
});
