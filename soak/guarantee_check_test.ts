import { call, type Case, kill, run, testCases } from "./guarantee_fixture.ts";
import type { ObservedRun } from "./observations.ts";

/** A stop in which the calls of the cases are sent late. */
const STOP = { host: "host-0", at: 5_000 };
const CUT = call({ status: 0, isFromInstance: false, endedAt: 10_100 });
const CUT_RUN: ObservedRun = { ...run, outcome: "cut", endedAt: 10_110 };
const configuration = { number: 3, acceptedAt: 5_000 };
const missing = call({ status: 404, routeNumber: 3, kind: "safe" });

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
];

testCases(CASES);
