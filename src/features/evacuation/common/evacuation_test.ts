import assert from "node:assert/strict";
import { describe, test } from "node:test";
import type { EvacuationOrder } from "../../../world/common/mesh_configuration.ts";
import {
  createEvacuationRegister,
  type EvacuationConcern,
  findEvacuationConcern,
} from "./evacuation_register.ts";

// Guards against orders that are repeated to the gate and the log with each full read of the records.
test("a change is reported once", () => {
  const register = createEvacuationRegister();
  const changes: EvacuationOrder[] = [];
  register.onChanged((order) => changes.push(order));
  for (const isActive of [false, true, true, false, false, true]) {
    register.apply({ failureDomain: "east", isActive });
  }
  assert.deepEqual(changes.map(({ isActive }) => isActive), [
    true,
    false,
    true,
  ]);
  assert.ok(register.isEvacuated("east"));
  assert.ok(!register.isEvacuated("west"));
});

describe("what may be wrong with an order", () => {
  const east = { failureDomain: "east", isServing: true };
  const west = { failureDomain: "west", isServing: true };
  const cases: readonly {
    readonly name: string;
    readonly known: readonly typeof east[];
    readonly active: readonly string[];
    readonly concern: EvacuationConcern | undefined;
  }[] = [
    {
      name: "another failure domain serves",
      known: [east, west],
      active: ["east"],
      concern: undefined,
    },
    {
      name: "the other one does not serve",
      known: [east, { ...west, isServing: false }],
      active: ["east"],
      concern: "no other failure domain can serve",
    },
    {
      name: "the other one is evacuated too",
      known: [east, west],
      active: ["east", "west"],
      concern: "no other failure domain can serve",
    },
    {
      name: "the failure domain is not known",
      known: [west],
      active: ["east"],
      concern: "no daemon of this failure domain is known",
    },
  ];
  for (const { name, known, active, concern } of cases) {
    test(name, () => {
      assert.equal(
        findEvacuationConcern("east", { known, active: new Set(active) }),
        concern,
      );
    });
  }
});
