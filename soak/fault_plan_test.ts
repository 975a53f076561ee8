import assert from "node:assert/strict";
import { describe, test } from "node:test";
import {
  type FaultKind,
  getPlanTheme,
  planFaults,
  type PlanOptions,
} from "./fault_plan.ts";
import { DEPLOYED_BOUNDS } from "./observations.ts";
import { drawSoakParts, type SoakParts } from "./soak_parts.ts";

describe("a seed always draws the same faults, and they overlap", () => {
  for (const seed of [5, 6]) {
    test(`the ${getPlanTheme(seed)} faults of seed ${seed}`, () => {
      const options = { seed, hosts: 4, duration: 60_000 };
      const faults = planFaults(options);
      assert.deepEqual(faults, planFaults(options));
      assert.notDeepEqual(faults, planFaults({ ...options, seed: seed + 2 }));
      assert.ok(
        faults.some(({ at }, index) =>
          faults.slice(0, index).some((before) =>
            before.at + before.duration > at
          )
        ),
      );
    });
  }
});

test("even seeds stop several daemons within one grace period and have no unplanned faults of daemons, links or instances", () => {
  const faults = planFaults({ seed: 6, hosts: 4, duration: 60_000 });
  const stops = faults.filter(({ kind }) => kind === "terminate");
  assert.ok(
    stops.some(({ at }) =>
      stops.filter((other) =>
        other.at >= at && other.at < at + DEPLOYED_BOUNDS.grace
      ).length >= 3
    ),
  );
  assert.ok(
    faults.every(({ kind }) => !/kill|pause|link|cut|crash|bytes/.test(kind)),
  );
});

// Guards against a part that changes the faults of seeds without it, which could then not be compared any more.
describe("parts only add their own faults to those of a seed", () => {
  const cases: readonly {
    readonly parts: NonNullable<PlanOptions["parts"]>;
    readonly added: readonly FaultKind[];
  }[] = [
    { parts: { hasColdInstances: false, hasEvacuations: false }, added: [] },
    {
      parts: { hasColdInstances: true, hasEvacuations: false },
      added: ["instance-cold"],
    },
    {
      parts: { hasColdInstances: false, hasEvacuations: true },
      added: ["evacuation"],
    },
    {
      parts: { hasColdInstances: true, hasEvacuations: true },
      added: ["instance-cold", "evacuation"],
    },
  ];
  for (const { parts, added } of cases) {
    test(`${added.join(" and ") || "none"}`, () => {
      const options = { seed: 5, hosts: 4, duration: 60_000 };
      const faults = planFaults({ ...options, parts });
      const others = faults.filter(({ kind }) => !added.includes(kind));
      assert.deepEqual(others, planFaults(options));
      assert.deepEqual(
        added.filter((kind) => faults.some((fault) => fault.kind === kind)),
        added,
      );
    });
  }
});

test("each part is in about every third seed, and all pairs of parts occur", () => {
  const seeds = Array.from({ length: 300 }, (_, seed) => drawSoakParts(seed));
  const names = Object.keys(seeds[0]) as (keyof SoakParts)[];
  for (const name of names) {
    const count = seeds.filter((parts) => parts[name]).length;
    assert.ok(count >= 70 && count <= 130, `${name}: ${count}`);
    for (const other of names) {
      assert.ok(seeds.some((parts) => parts[name] && parts[other]));
    }
  }
});
