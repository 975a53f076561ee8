import assert from "node:assert/strict";
import { test } from "node:test";
import { VirtualClock } from "../../../base/common/clock.ts";
import { SILENT_LOG } from "../../../base/common/event_log.ts";
import { rankByRendezvous } from "../../../base/common/hashing.ts";
import { createRandomSource } from "../../../base/common/random_source.ts";
import { createMemoryTransport } from "../../link/common/memory_network.ts";
import { createAccountFleet, listHostNames } from "./account_fleet.ts";
import { createAccountLimits } from "./account_limits.ts";

const LATENCY_MS = 4;
const LEAD_MS = 12_000;
const STALL_MS = 600;
const HOSTS = ["h0", "h1"];

/** Returns the refusals of 20 calls that are read after a stall, before the response of the granter. */
function countRefusalsAfterStall(loopDelay: number): number {
  const clock = new VirtualClock(1_000_000);
  const transport = createMemoryTransport({
    clock,
    latencyMilliseconds: LATENCY_MS,
  });
  let currentDelay = 0;
  const [granter, caller] = rankByRendezvous("press", HOSTS).map((host) => {
    const self = { host, failureDomain: "d0", startedAt: 1 };
    const network = transport.createNetwork({
      process: self,
      failureDomain: self.failureDomain,
    });
    network.setTargets(
      HOSTS.map((other) => ({ host: other, address: "", port: 0 })),
    );
    const limits = createAccountLimits({
      self,
      clock,
      log: SILENT_LOG,
      network,
      random: createRandomSource(1),
      loopDelay: () => currentDelay,
      areHostsListed: () => true,
      listHosts: () =>
        HOSTS.map((other) => ({ host: other, isReachable: true })),
    });
    const limit = { requestsPerSecond: 40, burst: 20 };
    limits.setAccounts(
      new Map([["press", { name: "press", keys: [], limit }]]),
    );
    return { host, limits, network };
  });
  clock.advance(LEAD_MS);
  for (let call = 0; call < 4; call += 1) {
    caller.limits.admit("press");
    clock.advance(400);
  }
  caller.limits.admit("press");
  // The report has just been sent when the stall begins; its response is not read before the calls.
  const { traffic } = caller.network;
  const sentBefore = traffic.sentMessages;
  while (traffic.sentMessages === sentBefore) {
    clock.advance(1);
  }
  transport.cut(granter.host, caller.host);
  clock.advance(STALL_MS);
  currentDelay = loopDelay;
  const decisions = Array.from(
    { length: 20 },
    () => caller.limits.admit("press"),
  );
  return decisions.filter(({ type }) => type === "refused").length;
}

// Guards against refusals below the limit on hosts whose event loop stalls: the response waits in the process.
test("a granter is not taken for silent while its responses may wait for the event loop", () => {
  assert.equal(countRefusalsAfterStall(STALL_MS), 0);
});

test("a granter is taken for silent if the event loop was not delayed", () => {
  assert.ok(countRefusalsAfterStall(0) > 0);
});

// Guards against refusals below the limit on hosts whose granters are short of processor time and respond late.
for (const latency of [30, 120, 200]) {
  test(`an account is not refused at its usual demand while responses take ${2 * latency} ms`, () => {
    const hosts = listHostNames(85);
    const limit = { requestsPerSecond: 60, burst: 30 };
    const account = { name: "press", limit, demand: 60 / 1.6, hosts };
    const fleet = createAccountFleet({
      hosts,
      accounts: [account],
      seed: 1,
      latency,
    });
    fleet.clock.advance(LEAD_MS);
    // Each host has to have a response before it knows how long they take.
    fleet.run(6_000);
    fleet.resetCounts();
    fleet.run(20_000);
    const { refusedBelowLimit } = fleet.measure("press", limit);
    assert.ok(refusedBelowLimit <= 0.001, `${refusedBelowLimit} refused`);
  });
}
