import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { VirtualClock } from "../../../base/common/clock.ts";
import { createEmitter } from "../../../base/common/emitter.ts";
import { createEventBuffer } from "../../../base/common/event_log.ts";
import { createRandomSource } from "../../../base/common/random_source.ts";
import {
  type Configuration,
  EMPTY_CONFIGURATION,
} from "../../../world/common/configuration.ts";
import type { UpstreamInstance } from "../../../world/common/upstream_instance.ts";
import {
  adoptState,
  applyEntries,
  EMPTY_REPLICA,
  type Replica,
} from "../../distribution/common/replica.ts";
import { encodeRecord } from "../../fold/common/record_check.ts";
import { createInstanceRouter } from "../../routing/common/router.ts";
import {
  createConfiguredEvacuations,
  createPlacementDirectory,
} from "./configured_evacuations.ts";

const SLOTS = 8;
/** Longer than the slow start of an instance. */
const RAMP_MS = 20_000;

function instanceIn(failureDomain: string): UpstreamInstance {
  return {
    identity: `${failureDomain}-1`,
    host: `${failureDomain}-1`,
    failureDomain,
    service: "booking",
    version: "1.0",
    address: "10.0.0.1",
    port: 80,
    slots: SLOTS,
    state: "ready",
  };
}

function createSession(atStart: readonly string[] = []) {
  const clock = new VirtualClock();
  const events = createEventBuffer(100, () => clock.now());
  const changed = createEmitter<Configuration>();
  let current = configurationAt(0, atStart);
  const evacuations = createConfiguredEvacuations({
    configuration: {
      get current() {
        return current;
      },
      onChanged: changed.event,
    },
    log: events.log,
  });
  const directory = createPlacementDirectory({
    self: {
      process: { host: "east-1", startedAt: 0 },
      failureDomain: "east",
      addresses: {
        address: "10.0.0.1",
        proxyPort: 0,
        administrationPort: 0,
        linkPort: 0,
      },
    },
    localMembers: [],
    instances: [instanceIn("east"), instanceIn("west")],
    onChanged: () => ({ dispose() {} }),
  }, evacuations);
  const router = createInstanceRouter({
    directory,
    shift: {
      splitOf: () => ({
        stableVersion: "1.0",
        candidateVersion: undefined,
        candidateShare: 0,
        candidateInstances: Infinity,
      }),
    },
    clock,
    random: createRandomSource(1),
  });
  return {
    clock,
    events: events.events,
    configure(version: number, evacuated: readonly string[]) {
      current = configurationAt(version, evacuated);
      changed.fire(current);
    },
    assign: (exclude: readonly string[] = []) =>
      router.assign({
        service: "booking",
        route: "availability",
        callIdentity: "call",
        exclude: new Set(exclude),
      }),
  };
}

type Session = ReturnType<typeof createSession>;

function configurationAt(
  version: number,
  evacuated: readonly string[],
): Configuration {
  const evacuations = new Map(evacuated.map((failureDomain) => [
    failureDomain,
    { failureDomain, startedAt: 0, author: "ana" },
  ]));
  return { ...EMPTY_CONFIGURATION, version, evacuations };
}

function targetOf(session: Session, exclude: readonly string[] = []): string {
  const assignment = session.assign(exclude);
  if (typeof assignment === "string") {
    return assignment;
  }
  assignment.finish("success", 1);
  return assignment.instance.identity;
}

// Guards against calls, retries and calls after a restart that reach the instances of an evacuated failure domain.
describe("where a daemon of the east sends a call", () => {
  const cases: readonly {
    readonly name: string;
    readonly evacuated: readonly string[];
    readonly exclude?: readonly string[];
    readonly target: string;
  }[] = [
    { name: "without an order", evacuated: [], target: "east-1" },
    { name: "its own domain", evacuated: ["east"], target: "west-1" },
    { name: "the other domain", evacuated: ["west"], target: "east-1" },
    {
      name: "a retry while the other domain is evacuated",
      evacuated: ["west"],
      exclude: ["east-1"],
      target: "no-instance",
    },
    {
      name: "a retry while its own domain is evacuated",
      evacuated: ["east"],
      exclude: ["west-1"],
      target: "no-instance",
    },
    {
      name: "no failure domain is left",
      evacuated: ["east", "west"],
      target: "no-instance",
    },
  ];
  for (const { name, evacuated, exclude, target } of cases) {
    test(name, () => {
      const running = createSession();
      running.configure(1, evacuated);
      assert.equal(targetOf(running, exclude), target);
      const restarted = createSession(evacuated);
      assert.equal(targetOf(restarted, exclude), target);
    });
  }
});

// Guards against a burst of calls at instances that have become cold during an evacuation.
test("the instances of a failure domain that is taken back ramp up", () => {
  const session = createSession();
  session.configure(1, ["east"]);
  session.clock.advance(RAMP_MS);
  session.configure(2, []);
  const held = [session.assign(), session.assign()];
  const targets = held.map((each) =>
    typeof each === "string" ? each : each.instance.identity
  );
  assert.deepEqual(targets, ["east-1", "west-1"]);
  session.clock.advance(RAMP_MS);
  assert.equal(targetOf(session), "east-1");
});

// Guards against an order that is lost to a peer that is behind, or to a log that has come back from an older copy.
describe("an order stays in force", () => {
  const toEntry = (record: object, offset: number) => ({
    offset,
    appendedAt: offset,
    record: encodeRecord({ schema: 1, author: "ana", ...record }),
  });
  const first = toEntry({
    kind: "change",
    identity: "first",
    baseVersion: -1,
    upsert: { failureDomains: ["east", "west"] },
    remove: {},
  }, 0);
  const order = {
    kind: "evacuation",
    identity: "order",
    baseVersion: 0,
    failureDomain: "east",
    action: "evacuate",
  };
  const evacuated = applyEntries(EMPTY_REPLICA, [first, toEntry(order, 1)]);
  const behind = applyEntries(EMPTY_REPLICA, [first]).fold;
  const opposite = { ...order, identity: "opposite", action: "restore" };
  const cases: readonly [string, Replica][] = [
    ["after the state of a peer that is behind", adoptState(evacuated, behind)],
    [
      "after a state at the same position",
      adoptState(evacuated, {
        ...behind,
        position: 2,
      }),
    ],
    [
      "after the entries from the start again",
      applyEntries(evacuated, [first]),
    ],
    [
      "after another record at the offset of the order",
      applyEntries(evacuated, [toEntry(opposite, 1)]),
    ],
  ];
  for (const [name, { fold }] of cases) {
    test(name, () => {
      assert.deepEqual([...fold.configuration.evacuations.keys()], ["east"]);
    });
  }
});

// Guards against a log that repeats an order with each configuration, so that its start cannot be found.
test("each start and end of an evacuation is logged once, with the version", () => {
  const session = createSession();
  const orders = [["east"], ["east"], ["east", "west"], ["west"], []];
  orders.forEach((evacuated, index) => session.configure(index, evacuated));
  assert.deepEqual(
    session.events.map(({ event, fields }) =>
      `${event} ${fields.evacuated} ${fields.version}`
    ),
    [
      "evacuation.started east 0",
      "evacuation.started west 2",
      "evacuation.ended east 3",
      "evacuation.ended west 4",
    ],
  );
});
