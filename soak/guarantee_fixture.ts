/**
 * Test fixture: observations of a run, and tests for tables of cases.
 *
 * @module
 */

import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { checkGuarantees } from "./guarantee_check.ts";
import {
  DEPLOYED_BOUNDS,
  type Observations,
  type ObservedCall,
  type ObservedHost,
  type ObservedRun,
} from "./observations.ts";

/** Is served after the recovery, so that only the case itself violates a guarantee. */
const RECOVERED = call({ identity: "last", sentAt: 90_000, endedAt: 90_020 });
const LAST_DISRUPTION = {
  host: "host-9",
  from: 80_000,
  until: 80_100,
  isPlanned: false,
};

export function call(fields: Partial<ObservedCall>): ObservedCall {
  return {
    identity: "call",
    kind: "unsafe",
    service: "booking",
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

export const run: ObservedRun = {
  identity: "call",
  instance: "i1",
  at: 10_010,
  endedAt: 10_040,
  outcome: "answered",
  callerService: "booking",
  account: "press",
  hasKey: false,
  observerDelay: 0,
};

/** Two hosts of each service, one of them in each failure domain. */
export const HOSTS: readonly ObservedHost[] = [0, 1, 2, 3].map((index) => ({
  name: `host-${index}`,
  service: index % 2 === 0 ? "booking" : "dispatch",
  failureDomain: index < 2 ? "east" : "west",
  slots: 8,
}));

export function observe(fields: Partial<Observations>): Observations {
  return {
    runs: [],
    drainAcknowledgements: [],
    namedLimits: [],
    configurations: [],
    stops: [],
    reloads: [],
    unexpectedExits: [],
    peakMemoryMegabytes: 100,
    coldTimes: [],
    evacuations: [],
    hosts: HOSTS,
    accountOf: () => "press",
    ...fields,
    disruptions: [...fields.disruptions ?? [], LAST_DISRUPTION],
    calls: [...fields.calls ?? [], RECOVERED],
  };
}

export const kill = {
  host: "host-0",
  from: 9_000,
  until: 9_500,
  isPlanned: false,
};
export interface Case {
  readonly name: string;
  readonly observations: Partial<Observations>;
  readonly violated?: string;
}

/** Tests that each case violates exactly the guarantee that it names, or none. */
export function testCases(cases: readonly Case[]): void {
  describe("exactly the violated guarantees are reported", () => {
    for (const { name, observations, violated } of cases) {
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
}
