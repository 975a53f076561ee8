import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { getPlanTheme, planFaults } from "./fault_plan.ts";
import {
  DEPLOYED_BOUNDS,
  type Observations,
  type ObservedCall,
  type ObservedRun,
} from "./observations.ts";
import { checkGuarantees } from "./guarantee_check.ts";

/** Is served after the recovery, so that only the case itself violates a guarantee. */
const RECOVERED = call({ identity: "last", sentAt: 90_000, endedAt: 90_020 });
const LAST_DISRUPTION = {
  host: "host-9",
  from: 80_000,
  until: 80_100,
  isPlanned: false,
};

function call(fields: Partial<ObservedCall>): ObservedCall {
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

const run: ObservedRun = {
  identity: "call",
  instance: "i1",
  at: 10_010,
  endedAt: 10_040,
  outcome: "answered",
  callerService: "booking",
  account: "press",
  hasKey: false,
};

const NAMED_LIMIT = {
  instance: "i1",
  perSecond: 2,
  from: 5_000,
  until: 20_000,
};

function limitedCall(index: number): ObservedCall {
  return call({ identity: `limited-${index}`, kind: "safe" });
}

function limitedRun(index: number): ObservedRun {
  return { ...run, identity: `limited-${index}` };
}

function observe(fields: Partial<Observations>): Observations {
  return {
    runs: [],
    drainAcknowledgements: [],
    namedLimits: [],
    configurations: [],
    stops: [],
    reloads: [],
    unexpectedExits: [],
    peakMemoryMegabytes: 100,
    serviceOf: () => "booking",
    accountOf: () => "press",
    ...fields,
    disruptions: [...fields.disruptions ?? [], LAST_DISRUPTION],
    calls: [...fields.calls ?? [], RECOVERED],
  };
}

const kill = { host: "host-0", from: 9_000, until: 9_500, isPlanned: false };
/** A stop in which the calls of the cases are sent late. */
const STOP = { host: "host-0", at: 5_000 };
const CUT = call({ status: 0, isFromInstance: false, endedAt: 10_100 });
const CUT_RUN: ObservedRun = { ...run, outcome: "cut", endedAt: 10_110 };
const configuration = { number: 3, acceptedAt: 5_000 };
const missing = call({ status: 404, routeNumber: 3, kind: "safe" });

interface Case {
  readonly name: string;
  readonly observations: Partial<Observations>;
  readonly violated?: string;
}

const CASES: readonly Case[] = [
  { name: "an answered call", observations: { calls: [call({})] } },
  {
    name: "a response to another call",
    observations: { calls: [call({ isOwnAnswer: false })] },
    violated: "own-answer",
  },
  {
    name: "a reservation that ran twice",
    observations: {
      calls: [call({ status: 502 })],
      runs: [run, run],
    },
    violated: "at-most-once",
  },
  {
    name: "a read that ran twice",
    observations: {
      calls: [call({ kind: "safe" })],
      runs: [run, run],
    },
  },
  {
    name: "a refused reservation that ran",
    observations: {
      calls: [call({ status: 503 })],
      runs: [run],
    },
    violated: "true-refusal",
  },
  {
    name: "a run without a call",
    observations: { runs: [run] },
    violated: "known-call",
  },
  {
    name: "a run whose caller service is that of another host",
    observations: {
      calls: [call({})],
      runs: [{ ...run, callerService: "dispatch" }],
    },
    violated: "caller-service",
  },
  {
    name: "a run for the account of another caller",
    observations: {
      calls: [call({})],
      runs: [{ ...run, account: "county" }],
    },
    violated: "client-account",
  },
  {
    name: "a run whose instance got the key of the client",
    observations: { calls: [call({})], runs: [{ ...run, hasKey: true }] },
    violated: "client-account",
  },
  {
    name: "a response more than half a second after the route timeout",
    observations: { calls: [call({ endedAt: 11_600 })] },
    violated: "final-in-time",
  },
  {
    name: "the same while the event loop of the observer was delayed",
    observations: { calls: [call({ endedAt: 11_600, observerDelay: 200 })] },
  },
  {
    name: "the same after the daemon of the host was killed",
    observations: { calls: [call({ endedAt: 11_600 })], disruptions: [kill] },
  },
  {
    name: "404 for a route that was added five seconds ago",
    observations: { calls: [missing], configurations: [configuration] },
    violated: "newest-configuration",
  },
  {
    name: "the same after the route was removed again",
    observations: {
      calls: [missing],
      configurations: [configuration, { number: 5, acceptedAt: 9_000 }],
    },
  },
  {
    name: "404 for a route that the process has served, during a store outage",
    observations: {
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
    violated: "no-older-configuration",
  },
  {
    name: "a run more than two seconds after the drain was acknowledged",
    observations: {
      calls: [call({})],
      runs: [run],
      drainAcknowledgements: [{ instance: "i1", acknowledgedAt: 7_900 }],
    },
    violated: "drained",
  },
  {
    name: "more runs in 4 s than the limit that the instance has named allows",
    observations: {
      calls: Array.from({ length: 18 }, (_, index) => limitedCall(index)),
      runs: Array.from({ length: 18 }, (_, index) => limitedRun(index)),
      namedLimits: [NAMED_LIMIT],
    },
    violated: "rate-limited",
  },
  {
    name: "as many runs as the limit allows",
    observations: {
      calls: Array.from({ length: 17 }, (_, index) => limitedCall(index)),
      runs: Array.from({ length: 17 }, (_, index) => limitedRun(index)),
      namedLimits: [NAMED_LIMIT],
    },
  },
  {
    name: "more runs within 3 s of the first response with the limit",
    observations: {
      calls: Array.from({ length: 18 }, (_, index) => limitedCall(index)),
      runs: Array.from({ length: 18 }, (_, index) => limitedRun(index)),
      namedLimits: [{ ...NAMED_LIMIT, from: 9_000 }],
    },
  },
  {
    name:
      "a call that the daemon has read, without a run, cut by a planned stop",
    observations: { calls: [{ ...CUT, endedAt: 10_400 }], stops: [STOP] },
    violated: "stopped-without-cut",
  },
  {
    name: "a call that is sent while its connection is being closed",
    observations: { calls: [CUT], stops: [STOP] },
  },
  {
    name: "a call that an instance runs and that is cut late in a stop",
    observations: { calls: [CUT], runs: [CUT_RUN], stops: [STOP] },
    violated: "stopped-without-cut",
  },
  {
    name: "the same during faults of the store and of another host",
    observations: {
      calls: [CUT],
      runs: [CUT_RUN],
      stops: [STOP],
      disruptions: [
        { ...kill, host: undefined, until: 11_000 },
        { ...kill, host: "host-1", until: 11_000 },
      ],
    },
    violated: "stopped-without-cut",
  },
  {
    name: "the same after a fault of its own host",
    observations: {
      calls: [CUT],
      runs: [CUT_RUN],
      stops: [STOP],
      disruptions: [kill],
    },
  },
  {
    name: "the same after its deadline",
    observations: {
      calls: [{ ...CUT, deadline: 100 }],
      runs: [CUT_RUN],
      stops: [STOP],
    },
  },
  {
    name: "the same on another host than the one that stops",
    observations: {
      calls: [CUT],
      runs: [CUT_RUN],
      stops: [{ ...STOP, host: "host-1" }],
    },
  },
  {
    name: "the same when it is sent more than a second after the grace period",
    observations: {
      calls: [CUT],
      runs: [CUT_RUN],
      stops: [{ ...STOP, at: 2_900 }],
    },
  },
  {
    name:
      "a call sent early in a stop and cut in the last sixth of the grace period",
    observations: {
      calls: [{ ...CUT, sentAt: 7_900, deadline: 3_000, routeTimeout: 3_000 }],
      runs: [CUT_RUN],
      stops: [STOP],
    },
  },
  {
    name: "a long call sent in the second half of a stop and cut at its end",
    observations: {
      calls: [{ ...CUT, sentAt: 8_100, deadline: 3_000, routeTimeout: 3_000 }],
      runs: [CUT_RUN],
      stops: [STOP],
    },
    violated: "stopped-without-cut",
  },
  {
    name: "a pipelined call that no instance received",
    observations: {
      calls: [{ ...CUT, isBehind: true, endedAt: 10_400 }],
      stops: [STOP],
    },
  },
  {
    name: "a pipelined call that an instance runs",
    observations: {
      calls: [{ ...CUT, isBehind: true }],
      runs: [CUT_RUN],
      stops: [STOP],
    },
    violated: "stopped-without-cut",
  },
  {
    name: "a call of which the last bytes were never sent",
    observations: {
      calls: [{ ...CUT, lastByteAt: Infinity, endedAt: 10_400 }],
      stops: [STOP],
    },
  },
  {
    name: "a call that is cut after a reload",
    observations: {
      calls: [CUT],
      runs: [CUT_RUN],
      reloads: [{ host: "host-0", at: 9_000 }],
    },
    violated: "stopped-without-cut",
  },
  {
    name: "a response of the daemon while the instance runs the call",
    observations: {
      calls: [{ ...CUT, status: 502 }],
      runs: [CUT_RUN],
      stops: [STOP],
    },
    violated: "stopped-without-breaking-off",
  },
  {
    name: "the same when the instance broke off",
    observations: {
      calls: [{ ...CUT, status: 502 }],
      runs: [{ ...CUT_RUN, outcome: "broke-off" }],
      stops: [STOP],
    },
  },
  {
    name: "the same after a fault of another host",
    observations: {
      calls: [{ ...CUT, status: 502 }],
      runs: [CUT_RUN],
      stops: [STOP],
      disruptions: [{ ...kill, host: "host-1" }],
    },
  },
  {
    name: "a refusal without a run late in a stop",
    observations: {
      calls: [{ ...CUT, status: 503 }],
      stops: [STOP],
    },
  },
  {
    name: "a connection refused in a planned stop",
    observations: {
      calls: [{ ...CUT, wasConnected: false, endedAt: 10_400 }],
      stops: [STOP],
    },
  },
  {
    name: "three calls that are cut without a disruption",
    observations: {
      calls: [1, 2, 3].map((each) => ({ ...CUT, identity: `${each}` })),
      runs: [1, 2, 3].map((each) => ({ ...CUT_RUN, identity: `${each}` })),
    },
  },
  {
    name: "four calls that are cut without a disruption",
    observations: {
      calls: [1, 2, 3, 4].map((each) => ({ ...CUT, identity: `${each}` })),
      runs: [1, 2, 3, 4].map((each) => ({ ...CUT_RUN, identity: `${each}` })),
    },
    violated: "calm-without-cut",
  },
  {
    name: "a daemon that exits unexpectedly",
    observations: {
      unexpectedExits: [{ host: "host-0", at: 1, cause: "code 1" }],
    },
    violated: "stayed-up",
  },
  {
    name: "a daemon that uses more memory than its host has",
    observations: { peakMemoryMegabytes: 351 },
    violated: "memory",
  },
  {
    name:
      "a call that fails after the faults while its daemon is starved of processor time",
    observations: {
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
    observations: {
      calls: [1, 2, 3].map((each) =>
        call({ identity: `late-${each}`, status: 503, sentAt: 95_000 })
      ),
      disruptions: [kill],
    },
    violated: "recovered",
  },
];

describe("exactly the violated guarantees are reported", () => {
  for (const { name, observations, violated } of CASES) {
    test(`${name}: ${violated ?? "no violation"}`, () => {
      const violations = checkGuarantees(
        observe(observations),
        DEPLOYED_BOUNDS,
      );
      assert.deepEqual(
        [...new Set(violations.map(({ promise }) => promise))],
        violated === undefined ? [] : [violated],
      );
    });
  }
});

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
