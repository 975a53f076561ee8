import assert from "node:assert/strict";
import { test } from "node:test";
import {
  call,
  type Case,
  HOSTS,
  kill,
  run,
  testCases,
} from "./guarantee_fixture.ts";
import type { ColdTime, Evacuation, ObservedCall } from "./observations.ts";
import { computeBlockedShare } from "./recovery_check.ts";

/** Each service has two instances of 8 slots, and each call occupies one for 100 ms. */
const RUN_MS = 100;
/** Leaves one instance of each service. */
const EVACUATION: Evacuation = {
  failureDomain: "east",
  acceptedAt: 60_000,
  until: 99_000,
};

const COLD_TIME: ColdTime = {
  instance: "host-0-i1",
  perSecond: 10,
  from: 60_000,
  until: 99_000,
};

/** Observes calls over ten seconds after the recovery, of which some are refused. */
function observeCalls(
  { perSecond, refusedShare, service = "booking" }: {
    readonly perSecond: number;
    readonly refusedShare: number;
    readonly service?: string;
  },
) {
  const count = perSecond * 10;
  const calls = Array.from({ length: count }, (_, index): ObservedCall => {
    const sentAt = 86_000 + index * 1_000 / perSecond;
    const isRefused = Math.floor((index + 1) * refusedShare) >
      Math.floor(index * refusedShare);
    return call({
      identity: `late${index}`,
      service,
      sentAt,
      endedAt: sentAt + RUN_MS,
      status: isRefused ? 503 : 200,
    });
  });
  const runs = calls.filter(({ status }) => status === 200).map((each) => ({
    ...run,
    identity: each.identity,
    at: each.sentAt,
    endedAt: each.endedAt,
  }));
  return { calls, runs };
}

const CASES: readonly Case[] = [
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
  {
    name: "a tenth of the calls refused after the faults",
    observations: observeCalls({ perSecond: 70, refusedShare: 0.1 }),
    violated: "recovered",
  },
  {
    name: "the same while one instance of the service gets none",
    observations: {
      ...observeCalls({ perSecond: 70, refusedShare: 0.1 }),
      evacuations: [EVACUATION],
    },
  },
  {
    name: "three tenths refused while one instance of the service gets none",
    observations: {
      ...observeCalls({ perSecond: 70, refusedShare: 0.3 }),
      evacuations: [EVACUATION],
    },
    violated: "recovered",
  },
  {
    name: "a tenth refused of calls that the other instance has room for",
    observations: {
      ...observeCalls({ perSecond: 20, refusedShare: 0.1 }),
      evacuations: [EVACUATION],
    },
    violated: "recovered",
  },
  {
    name: "a tenth refused while one instance of the service is cold",
    observations: {
      ...observeCalls({ perSecond: 70, refusedShare: 0.1 }),
      coldTimes: [COLD_TIME],
    },
    violated: "recovered",
  },
  {
    name: "a tenth refused while only an instance of another service gets none",
    observations: {
      ...observeCalls({ perSecond: 70, refusedShare: 0.1 }),
      hosts: HOSTS.map((host) =>
        host.service === "booking" ? { ...host, failureDomain: "west" } : host
      ),
      evacuations: [EVACUATION],
    },
    violated: "recovered",
  },
  {
    name: "a tenth refused more than four seconds after an instance got calls",
    observations: {
      ...observeCalls({ perSecond: 70, refusedShare: 0.1 }),
      evacuations: [{ ...EVACUATION, until: 81_900 }],
    },
    violated: "recovered",
  },
  {
    name: "all refused while no instance of the service gets any",
    observations: {
      ...observeCalls({ perSecond: 70, refusedShare: 0.999 }),
      evacuations: [EVACUATION, { ...EVACUATION, failureDomain: "west" }],
    },
  },
];

testCases(CASES);

// Erlang B, from the recursion's closed form for small numbers of slots.
const BLOCKED_SHARES = [
  { slots: 0, offered: 3, expected: 1 },
  { slots: 1, offered: 1, expected: 1 / 2 },
  { slots: 2, offered: 1, expected: 1 / 5 },
  { slots: 2, offered: 2, expected: 2 / 5 },
  { slots: 3, offered: 0, expected: 0 },
];
for (const { slots, offered, expected } of BLOCKED_SHARES) {
  test(`${slots} slots with ${offered} calls at a time block ${expected}`, () => {
    const blocked = computeBlockedShare(slots, offered);
    assert.ok(Math.abs(blocked - expected) < 1e-9);
  });
}
