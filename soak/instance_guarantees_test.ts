import { call, type Case, kill, run, testCases } from "./guarantee_fixture.ts";
import type { ObservedCall, ObservedRun } from "./observations.ts";

const NAMED_LIMIT = {
  instance: "i1",
  perSecond: 2,
  from: 5_000,
  until: 20_000,
};

/** Tolerates 2 requests per second, so 11 in any second. */
const COLD_TIME = {
  instance: "i1",
  perSecond: 2,
  from: 10_000,
  until: 13_000,
};

const EVACUATION = { failureDomain: "east", acceptedAt: 5_000, until: 20_000 };

/** An instance in the failure domain "east". */
const EVACUATED_RUN: ObservedRun = { ...run, instance: "host-1-i3" };

function limitedCall(index: number): ObservedCall {
  return call({ identity: `limited-${index}`, kind: "safe" });
}

function limitedRun(index: number): ObservedRun {
  return { ...run, identity: `limited-${index}` };
}

/** Observations of runs at one instance that began at these times. */
function observeRunsAt(
  times: readonly number[],
  fields: Partial<ObservedRun> = {},
) {
  return {
    calls: times.map((_, index) => limitedCall(index)),
    runs: times.map((at, index) => ({ ...limitedRun(index), ...fields, at })),
  };
}

function repeatTime(at: number, count: number): readonly number[] {
  return Array.from({ length: count }, () => at);
}

const CASES: readonly Case[] = [
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
    name: "more runs in a second than a cold instance tolerates",
    observations: {
      ...observeRunsAt([
        ...repeatTime(10_100, 6),
        ...repeatTime(11_099, 6),
      ]),
      coldTimes: [COLD_TIME],
    },
    violated: "cold-limited",
  },
  {
    name: "as many runs in a second as a cold instance tolerates",
    observations: {
      ...observeRunsAt([
        ...repeatTime(10_100, 6),
        ...repeatTime(11_100, 6),
      ]),
      coldTimes: [COLD_TIME],
    },
  },
  {
    name:
      "more runs in a second than tolerated, while another cold time follows",
    observations: {
      ...observeRunsAt([
        ...repeatTime(12_700, 6),
        ...repeatTime(13_500, 6),
      ]),
      coldTimes: [COLD_TIME, { ...COLD_TIME, from: 12_900, until: 15_000 }],
    },
    violated: "cold-limited",
  },
  {
    name: "more runs at an instance before it becomes cold and after that",
    observations: {
      ...observeRunsAt([
        ...repeatTime(9_990, 12),
        ...repeatTime(13_001, 12),
      ]),
      coldTimes: [COLD_TIME],
    },
  },
  {
    name: "more runs that may have reached the cold instance earlier",
    observations: {
      ...observeRunsAt(
        [...repeatTime(10_100, 6), ...repeatTime(11_099, 6)],
        { observerDelay: 1_000 },
      ),
      coldTimes: [COLD_TIME],
    },
  },
  {
    name: "a run in a failure domain five seconds after its evacuation",
    observations: {
      calls: [call({ sentAt: 10_005 })],
      runs: [EVACUATED_RUN],
      evacuations: [EVACUATION],
    },
    violated: "evacuated",
  },
  {
    name: "a run in another failure domain than the evacuated one",
    observations: {
      calls: [call({})],
      runs: [{ ...EVACUATED_RUN, instance: "host-2-i3" }],
      evacuations: [EVACUATION],
    },
  },
  {
    name: "a run within five seconds of the evacuation",
    observations: {
      calls: [call({})],
      runs: [EVACUATED_RUN],
      evacuations: [{ ...EVACUATION, acceptedAt: 5_010 }],
    },
  },
  {
    name: "a run after the evacuation was taken back",
    observations: {
      calls: [call({})],
      runs: [EVACUATED_RUN],
      evacuations: [{ ...EVACUATION, until: 10_000 }],
    },
  },
  {
    name: "a run in an evacuated failure domain after a fault of another host",
    observations: {
      calls: [call({})],
      runs: [EVACUATED_RUN],
      evacuations: [EVACUATION],
      disruptions: [{ ...kill, host: "host-1" }],
    },
    violated: "evacuated",
  },
  {
    name:
      "a run in an evacuated failure domain after a fault of the host of the call",
    observations: {
      calls: [call({})],
      runs: [EVACUATED_RUN],
      evacuations: [EVACUATION],
      disruptions: [kill],
    },
  },
  {
    name: "a run in an evacuated failure domain after a fault of the store",
    observations: {
      calls: [call({})],
      runs: [EVACUATED_RUN],
      evacuations: [EVACUATION],
      disruptions: [{ ...kill, host: undefined }],
    },
  },
];

testCases(CASES);
