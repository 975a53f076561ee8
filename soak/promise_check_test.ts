import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { planFaults, themeOf } from "./fault_plan.ts";
import {
  DEPLOYED_BOUNDS,
  type Observations,
  type SeenCall,
  type SeenRun,
} from "./observations.ts";
import { checkPromises } from "./promise_check.ts";

/** Served after the recovery, so that only the case itself breaks a promise. */
const RECOVERED = call({ identity: "last", sentAt: 90_000, endedAt: 90_020 });
const LAST_DISRUPTION = {
  host: "host-9",
  from: 80_000,
  until: 80_100,
  isPlanned: false,
};

function call(fields: Partial<SeenCall>): SeenCall {
  return {
    identity: "call",
    kind: "unsafe",
    host: "host-0",
    processNumber: 1,
    routeNumber: undefined,
    deadline: 2_000,
    routeTimeout: 1_000,
    sentAt: 10_000,
    lastByteAt: 10_000,
    endedAt: 10_050,
    status: 200,
    isFromInstance: true,
    isBehind: false,
    isOwnAnswer: true,
    wasConnected: true,
    observerDelay: 0,
    ...fields,
  };
}

const run: SeenRun = {
  identity: "call",
  instance: "i1",
  at: 10_010,
  endedAt: 10_040,
  outcome: "answered",
  callerService: "booking",
};

function observe(fields: Partial<Observations>): Observations {
  return {
    runs: [],
    drainings: [],
    configurations: [],
    stops: [],
    reloads: [],
    ownEnds: [],
    memoryPeakMegabytes: 100,
    serviceOf: () => "booking",
    ...fields,
    disruptions: [...fields.disruptions ?? [], LAST_DISRUPTION],
    calls: [...fields.calls ?? [], RECOVERED],
  };
}

const kill = { host: "host-0", from: 9_000, until: 9_500, isPlanned: false };
/** A stop beside which the calls of the cases are sent late. */
const STOP = { host: "host-0", at: 5_000 };
const CUT = call({ status: 0, isFromInstance: false, endedAt: 10_100 });
const CUT_RUN: SeenRun = { ...run, outcome: "cut", endedAt: 10_110 };
const configuration = { number: 3, acceptedAt: 5_000 };
const missing = call({ status: 404, routeNumber: 3, kind: "safe" });

interface Case {
  readonly name: string;
  readonly seen: Partial<Observations>;
  readonly broken?: string;
}

const CASES: readonly Case[] = [
  { name: "an answered call", seen: { calls: [call({})] } },
  {
    name: "the answer of another call",
    seen: { calls: [call({ isOwnAnswer: false })] },
    broken: "own-answer",
  },
  {
    name: "a reservation that ran twice",
    seen: {
      calls: [call({ status: 502 })],
      runs: [run, run],
    },
    broken: "at-most-once",
  },
  {
    name: "a read that ran twice",
    seen: {
      calls: [call({ kind: "safe" })],
      runs: [run, run],
    },
  },
  {
    name: "a refused reservation that ran",
    seen: {
      calls: [call({ status: 503 })],
      runs: [run],
    },
    broken: "true-refusal",
  },
  {
    name: "a run that nobody asked for",
    seen: { runs: [run] },
    broken: "known-call",
  },
  {
    name: "a run with the service of another host",
    seen: {
      calls: [call({})],
      runs: [{ ...run, callerService: "dispatch" }],
    },
    broken: "caller-service",
  },
  {
    name: "an answer half a second after the time of its route",
    seen: { calls: [call({ endedAt: 11_600 })] },
    broken: "final-in-time",
  },
  {
    name: "the same while the observer itself was late",
    seen: { calls: [call({ endedAt: 11_600, observerDelay: 200 })] },
  },
  {
    name: "the same after a kill of the host",
    seen: { calls: [call({ endedAt: 11_600 })], disruptions: [kill] },
  },
  {
    name: "404 on a route that was added five seconds ago",
    seen: { calls: [missing], configurations: [configuration] },
    broken: "newest-configuration",
  },
  {
    name: "the same after the route was removed again",
    seen: {
      calls: [missing],
      configurations: [configuration, { number: 5, acceptedAt: 9_000 }],
    },
  },
  {
    name: "404 on a route that the process has served, during an outage",
    seen: {
      calls: [
        call({
          identity: "before",
          routeNumber: 3,
          sentAt: 9_000,
          endedAt: 9_050,
        }),
        missing,
      ],
      configurations: [configuration],
      disruptions: [{ ...kill, host: undefined, until: 11_000 }],
    },
    broken: "no-older-configuration",
  },
  {
    name: "a run two seconds after the drain was acknowledged",
    seen: {
      calls: [call({})],
      runs: [run],
      drainings: [{ instance: "i1", acknowledgedAt: 7_900 }],
    },
    broken: "drained",
  },
  {
    name: "a read call without a run that is cut by a planned stop",
    seen: { calls: [{ ...CUT, endedAt: 10_400 }], stops: [STOP] },
    broken: "stopped-without-cut",
  },
  {
    name: "a call that crosses the close of its connection",
    seen: { calls: [CUT], stops: [STOP] },
  },
  {
    name: "a call that an instance runs and that is cut late in a stop",
    seen: { calls: [CUT], runs: [CUT_RUN], stops: [STOP] },
    broken: "stopped-without-cut",
  },
  {
    name: "the same beside a fault of the store and one of another host",
    seen: {
      calls: [CUT],
      runs: [CUT_RUN],
      stops: [STOP],
      disruptions: [
        { ...kill, host: undefined, until: 11_000 },
        { ...kill, host: "host-1", until: 11_000 },
      ],
    },
    broken: "stopped-without-cut",
  },
  {
    name: "the same beside a fault of its own host",
    seen: {
      calls: [CUT],
      runs: [CUT_RUN],
      stops: [STOP],
      disruptions: [kill],
    },
  },
  {
    name: "the same after its deadline",
    seen: {
      calls: [{ ...CUT, deadline: 100 }],
      runs: [CUT_RUN],
      stops: [STOP],
    },
  },
  {
    name: "the same on another host than the one that stops",
    seen: {
      calls: [CUT],
      runs: [CUT_RUN],
      stops: [{ ...STOP, host: "host-1" }],
    },
  },
  {
    name: "the same more than a second after the time of the stop",
    seen: {
      calls: [CUT],
      runs: [CUT_RUN],
      stops: [{ ...STOP, at: 2_900 }],
    },
  },
  {
    name: "a call sent early in a stop and cut in the last sixth of its time",
    seen: {
      calls: [{ ...CUT, sentAt: 7_900, deadline: 3_000, routeTimeout: 3_000 }],
      runs: [CUT_RUN],
      stops: [STOP],
    },
  },
  {
    name: "a long call sent in the second half of a stop and cut at its end",
    seen: {
      calls: [{ ...CUT, sentAt: 8_100, deadline: 3_000, routeTimeout: 3_000 }],
      runs: [CUT_RUN],
      stops: [STOP],
    },
    broken: "stopped-without-cut",
  },
  {
    name: "a call behind another on its connection that no instance got",
    seen: {
      calls: [{ ...CUT, isBehind: true, endedAt: 10_400 }],
      stops: [STOP],
    },
  },
  {
    name: "a call behind another on its connection that an instance runs",
    seen: {
      calls: [{ ...CUT, isBehind: true }],
      runs: [CUT_RUN],
      stops: [STOP],
    },
    broken: "stopped-without-cut",
  },
  {
    name: "a call of which the last bytes were never sent",
    seen: {
      calls: [{ ...CUT, lastByteAt: Infinity, endedAt: 10_400 }],
      stops: [STOP],
    },
  },
  {
    name: "a call that is cut after a reload",
    seen: {
      calls: [CUT],
      runs: [CUT_RUN],
      reloads: [{ host: "host-0", at: 9_000 }],
    },
    broken: "stopped-without-cut",
  },
  {
    name: "an answer of the daemon's own while the instance is at work",
    seen: {
      calls: [{ ...CUT, status: 502 }],
      runs: [CUT_RUN],
      stops: [STOP],
    },
    broken: "stopped-without-breaking-off",
  },
  {
    name: "the same when the instance broke off",
    seen: {
      calls: [{ ...CUT, status: 502 }],
      runs: [{ ...CUT_RUN, outcome: "broke-off" }],
      stops: [STOP],
    },
  },
  {
    name: "the same beside a fault of another host",
    seen: {
      calls: [{ ...CUT, status: 502 }],
      runs: [CUT_RUN],
      stops: [STOP],
      disruptions: [{ ...kill, host: "host-1" }],
    },
  },
  {
    name: "a refusal without a run late in a stop",
    seen: {
      calls: [{ ...CUT, status: 503 }],
      stops: [STOP],
    },
  },
  {
    name: "a connection refused in a planned stop",
    seen: {
      calls: [{ ...CUT, wasConnected: false, endedAt: 10_400 }],
      stops: [STOP],
    },
  },
  {
    name: "three calls that are cut with nothing near",
    seen: {
      calls: [1, 2, 3].map((each) => ({ ...CUT, identity: `${each}` })),
      runs: [1, 2, 3].map((each) => ({ ...CUT_RUN, identity: `${each}` })),
    },
  },
  {
    name: "four calls that are cut with nothing near",
    seen: {
      calls: [1, 2, 3, 4].map((each) => ({ ...CUT, identity: `${each}` })),
      runs: [1, 2, 3, 4].map((each) => ({ ...CUT_RUN, identity: `${each}` })),
    },
    broken: "calm-without-cut",
  },
  {
    name: "a daemon that ends by itself",
    seen: { ownEnds: [{ host: "host-0", at: 1, cause: "code 1" }] },
    broken: "stayed-up",
  },
  {
    name: "a daemon with more memory than its host has",
    seen: { memoryPeakMegabytes: 351 },
    broken: "memory",
  },
  {
    name:
      "calls that are answered after the faults, on a machine that is still busy",
    seen: {
      calls: [
        call({
          identity: "late",
          status: 503,
          sentAt: 95_000,
          endedAt: 95_050,
        }),
      ],
      disruptions: [
        kill,
        {
          host: "host-0",
          from: 95_010,
          until: 95_040,
          isPlanned: false,
          isStarvation: true,
        },
      ],
    },
  },
  {
    name: "calls that fail after the faults",
    seen: {
      calls: [1, 2, 3].map((each) =>
        call({ identity: `late-${each}`, status: 503, sentAt: 95_000 })
      ),
      disruptions: [kill],
    },
    broken: "recovered",
  },
];

describe("a broken promise is found, and nothing else", () => {
  for (const { name, seen, broken } of CASES) {
    test(`${name}: ${broken ?? "kept"}`, () => {
      const violations = checkPromises(observe(seen), DEPLOYED_BOUNDS);
      assert.deepEqual(
        [...new Set(violations.map(({ promise }) => promise))],
        broken === undefined ? [] : [broken],
      );
    });
  }
});

describe("a seed draws the same faults each time, and they overlap", () => {
  for (const seed of [5, 6]) {
    test(`the ${themeOf(seed)} faults of seed ${seed}`, () => {
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

test("even seeds stop several daemons within the time of one stop, and break nothing", () => {
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
