import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { EMPTY_CONFIGURATION } from "../../../world/common/configuration.ts";
import type { EvacuationAction } from "../../../world/common/evacuation.ts";
import type { Move } from "../../../world/common/move.ts";
import {
  describeFailureDomains,
  findUnservedService,
  type KnownState,
  listFailureDomains,
} from "./evacuation_orders.ts";

const INSTANCE = { service: "booking", version: "1.0" };
const EAST = { ...INSTANCE, failureDomain: "east" };
const WEST = { ...INSTANCE, failureDomain: "west" };

const MOVE: Move = {
  identity: "",
  service: "booking",
  fromVersion: "1.0",
  toVersion: "",
  startedAt: 0,
  deadlineAt: 60_000,
  outcome: "open",
  reason: "",
};

function stateOf(
  instances: KnownState["instances"],
  evacuated: readonly string[] = [],
): KnownState {
  const configuration = {
    ...EMPTY_CONFIGURATION,
    version: 7,
    failureDomains: new Set(["east", "west"]),
    services: new Map([["booking", { name: "booking", version: "1.0" }]]),
    evacuations: new Map(evacuated.map((failureDomain) => [
      failureDomain,
      { failureDomain, startedAt: 1_000, author: "ana" },
    ])),
    moves: new Map([
      ["m1", { ...MOVE, identity: "m1", toVersion: "1.1" }],
      ["m0", {
        ...MOVE,
        identity: "m0",
        toVersion: "0.9",
        outcome: "taken-back" as const,
      }],
    ]),
    objectVersions: new Map(
      evacuated.map((name) => [`evacuation:${name}` as const, 7]),
    ),
  };
  return { configuration, instances };
}

// Guards against an order that leaves a service without an instance, and against refusing one that does not.
describe("whether an order for the east would leave a service without instances", () => {
  const cases: readonly {
    readonly name: string;
    readonly instances: KnownState["instances"];
    readonly evacuated?: readonly string[];
    readonly action?: EvacuationAction;
    readonly refusal?: RegExp;
  }[] = [
    { name: "the west has one too", instances: [EAST, WEST] },
    {
      name: "only the east has one",
      instances: [EAST],
      refusal:
        /only east has an instance of service booking at version 1\.0 that this daemon knows; start one in another failure domain first$/,
    },
    {
      name: "the west has one of another version",
      instances: [EAST, { ...WEST, version: "2.0" }],
      refusal: /only east has an instance of service booking/,
    },
    {
      name: "the west has none of the version of an open move",
      instances: [EAST, WEST, { ...EAST, version: "1.1" }],
      refusal: /only east has an instance of service booking at version 1\.1/,
    },
    {
      name: "the west has none of the version of a closed move",
      instances: [EAST, WEST, { ...EAST, version: "0.9" }],
    },
    {
      name: "the west is evacuated",
      instances: [EAST, WEST],
      evacuated: ["west"],
      refusal: /first, or restore west$/,
    },
    {
      name: "an evacuated failure domain has none of the service",
      instances: [EAST],
      evacuated: ["west"],
      refusal: /first$/,
    },
    {
      name: "a repeated order after the west has lost its instances",
      instances: [EAST],
      evacuated: ["east"],
    },
    { name: "no failure domain has one", instances: [] },
    {
      name: "a service that is not configured",
      instances: [EAST, WEST, { ...EAST, service: "dispatch" }],
    },
    { name: "a restoration", instances: [EAST], action: "restore" },
  ];
  for (const { name, instances, evacuated, action, refusal } of cases) {
    test(name, () => {
      const found = findUnservedService(
        { failureDomain: "east", action: action ?? "evacuate" },
        stateOf(instances, evacuated),
      );
      assert.equal(found === undefined, refusal === undefined, found);
      assert.match(found ?? "", refusal ?? /^$/);
    });
  }
});

test("failure domains are listed with the order in force, its time, author and version", () => {
  const domains = listFailureDomains(
    stateOf([EAST, WEST, WEST, { ...EAST, failureDomain: "north" }], ["west"]),
  );
  assert.equal(
    describeFailureDomains(domains, true),
    "east: in service; instances known here: 1.\n" +
      "north: in service; instances known here: 1.\n" +
      "west: evacuated since 1970-01-01T00:00:01.000Z by ana, last order at version 7; instances known here: 2.",
  );
  assert.match(describeFailureDomains([], true), /knows no failure domain/);
  assert.match(describeFailureDomains(domains, false), /no current config/);
});
