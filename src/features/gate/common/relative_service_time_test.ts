import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { createRelativeServiceTime } from "./relative_service_time.ts";

const USUAL_MS = 700;
const INTERVAL_MS = 300;

interface Observation {
  readonly type: "answered" | "unanswered";
  readonly duration: number;
}

interface Case {
  readonly name: string;
  readonly observations: readonly Observation[];
  /** How long no call ends before the estimate is read. */
  readonly pause?: number;
  readonly minimum: number;
  readonly maximum: number;
}

const repeat = (
  count: number,
  type: Observation["type"],
  duration: number,
): readonly Observation[] => Array(count).fill({ type, duration });

const CASES: readonly Case[] = [
  { name: "no call", observations: [], minimum: 1, maximum: 1 },
  {
    name: "answered calls of twice the usual time",
    observations: repeat(100, "answered", 2 * USUAL_MS),
    minimum: 1.9,
    maximum: 2,
  },
  {
    name: "answered calls of half the usual time, also after a pause",
    observations: repeat(100, "answered", USUAL_MS / 2),
    pause: 60_000,
    minimum: 0.5,
    maximum: 0.55,
  },
  {
    name: "few calls that exceed a deadline of seven times the usual time",
    observations: repeat(5, "unanswered", 7 * USUAL_MS),
    minimum: 4,
    maximum: 7,
  },
  {
    name: "calls that were cancelled before the usual time was over",
    observations: repeat(100, "unanswered", USUAL_MS / 2),
    minimum: 1,
    maximum: 1,
  },
  {
    name: "calls that were cancelled do not make a slow instance faster",
    observations: [
      ...repeat(20, "unanswered", 10 * USUAL_MS),
      ...repeat(8, "unanswered", 2 * USUAL_MS),
    ],
    minimum: 9,
    maximum: 10,
  },
  {
    name: "a slow instance that recovers",
    observations: [
      ...repeat(20, "unanswered", 10 * USUAL_MS),
      ...repeat(60, "answered", USUAL_MS),
    ],
    minimum: 1,
    maximum: 1.5,
  },
  {
    name: "a slow instance that gets no calls for a short time",
    observations: repeat(20, "unanswered", 10 * USUAL_MS),
    pause: 2_000,
    minimum: 9,
    maximum: 10,
  },
  {
    name: "a slow instance that gets no calls for a long time is tried again",
    observations: repeat(20, "unanswered", 10 * USUAL_MS),
    pause: 20_000,
    minimum: 1,
    maximum: 1.1,
  },
];

describe("the relative service time of an instance", () => {
  for (const { name, observations, pause = 0, minimum, maximum } of CASES) {
    test(name, () => {
      const relative = createRelativeServiceTime();
      let now = 0;
      for (const { type, duration } of observations) {
        now += INTERVAL_MS;
        if (type === "answered") {
          relative.recordAnswered(duration, USUAL_MS, now);
        } else {
          relative.recordUnanswered(duration, USUAL_MS, now);
        }
      }
      const estimate = relative.current(now + pause);
      assert.ok(estimate >= minimum && estimate <= maximum, String(estimate));
    });
  }
});
