import assert from "node:assert/strict";
import { test } from "node:test";
import { checkGuarantees } from "./guarantee_check.ts";
import { call, observe } from "./guarantee_fixture.ts";
import { DEPLOYED_BOUNDS } from "./observations.ts";
import { createFaultInjection } from "./soak_faults.ts";
import type { SoakHost } from "./soak_host.ts";

// Guards against an excuse for refused calls that no trace has shown to be needed.
test("a cold instance reduces nothing of what must be served after the faults", () => {
  const injection = createFaultInjection({
    hosts: [],
    store: undefined as never,
    now: () => 85_000,
    publish: () => undefined,
  });
  for (const name of ["host-0", "host-2"]) {
    const host = { name, instanceName: `${name}-i1` } as SoakHost;
    injection.recordCold(host, 10_000);
  }
  const calls = Array.from({ length: 700 }, (_, index) => {
    const sentAt = 86_000 + 10 * index;
    return call({
      identity: `late${index}`,
      sentAt,
      endedAt: sentAt + 100,
      status: index % 10 === 0 ? 503 : 200,
    });
  });
  const runs = calls.filter(({ status }) => status === 200).map((each) => ({
    identity: each.identity,
    instance: "host-0-i9",
    at: each.sentAt,
    endedAt: each.endedAt,
    outcome: "answered" as const,
    callerService: "booking",
    account: "press",
    hasKey: false,
    observerDelay: 0,
  }));
  const violations = checkGuarantees(
    observe({ ...injection.records, calls, runs }),
    DEPLOYED_BOUNDS,
  );
  assert.deepEqual(violations.map(({ promise }) => promise), ["recovered"]);
});
