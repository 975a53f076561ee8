import assert from "node:assert/strict";
import { test } from "node:test";
import { VirtualClock } from "../../../base/common/clock.ts";
import { createEmitter } from "../../../base/common/emitter.ts";
import { SILENT_LOG } from "../../../base/common/event_log.ts";
import { EMPTY_CONFIGURATION } from "../../../world/common/configuration.ts";
import { createMemoryTransport } from "../../link/common/memory_network.ts";
import type { HostIdentity } from "../../../world/common/host.ts";
import type { Directory, Member } from "../../membership/common/directory.ts";
import { createAdmissionController } from "./admission_controller.ts";
import { createCustomerAccount } from "./customer_account.ts";
import { grantLease, type LeaseLedger } from "./lease_ledger.ts";
import {
  type CustomerLeaseRequest,
  LEASE_REQUEST,
  type LeaseGrant,
} from "./lease_messages.ts";
import { findEstablishedLimits } from "./quota.ts";
import { refillBucket } from "./token_bucket.ts";

function createRequest(
  pledged: number,
  demand: number,
  overrides: Partial<CustomerLeaseRequest> = {},
) {
  const amount = (value: number) => ({ rate: value, concurrency: value });
  return {
    customer: "hollister",
    pledged: amount(pledged),
    pledgedUntil: 1_000,
    demand: amount(demand),
    holding: amount(0),
    inUse: 0,
    longestCall: 500,
    ...overrides,
  };
}

interface LedgerCase {
  readonly name: string;
  readonly asks: [string, CustomerLeaseRequest][];
  readonly rates: number[];
  /** Equal to `rates` when absent. */
  readonly concurrencies?: number[];
}

test("a ledger never grants more than is pledged and not reserved", () => {
  const cases: LedgerCase[] = [
    {
      name: "unused quota is divided equally",
      asks: [["a", createRequest(6, 0)], ["b", createRequest(6, 0)]],
      rates: [6, 6],
    },
    {
      name: "a higher demand gets only what is not reserved",
      asks: [["a", createRequest(6, 1)], ["b", createRequest(6, 30)]],
      rates: [6, 6],
    },
    {
      name: "calls in flight stay reserved",
      asks: [
        ["b", createRequest(6, 30)],
        ["a", createRequest(0, 0, { inUse: 4 })],
        ["b", createRequest(6, 30)],
      ],
      rates: [6, 0, 6],
      concurrencies: [6, 0, 2],
    },
    {
      name: "a lease that is still held stays reserved",
      asks: [
        ["b", createRequest(6, 30)],
        ["a", createRequest(0, 0, { holding: { rate: 4, concurrency: 4 } })],
        ["b", createRequest(6, 30)],
      ],
      rates: [6, 0, 2],
    },
    {
      name: "an expired pledge is ignored",
      asks: [["a", createRequest(6, 6, { pledgedUntil: 0 })]],
      rates: [0],
    },
  ];
  for (const { name, asks, rates, concurrencies = rates } of cases) {
    let ledger: LeaseLedger = new Map();
    const granted = asks.map(([host, request]) => {
      const answer = grantLease(ledger, request, { host, now: 100 });
      ledger = answer.ledger;
      return answer.granted;
    });
    const expected = rates.map((rate, index) => ({
      rate,
      concurrency: concurrencies[index],
    }));
    assert.deepEqual(granted, expected, name);
  }
});

test("a lease adds tokens only until it expires, so a pause adds none", () => {
  const rates = { own: 10, leased: 90, leasedUntil: 500 };
  const cases = [
    { from: 0, to: 500, tokens: 10 },
    { from: 0, to: 100, tokens: 10 },
    { from: 400, to: 600, tokens: 10 },
    { from: 450, to: 550, tokens: 5.5 },
    { from: 600, to: 700, tokens: 1 },
  ];
  for (const { from, to, tokens } of cases) {
    const bucket = refillBucket({ tokens: 0, updatedAt: from }, rates, to);
    assert.equal(bucket.tokens, tokens, `${from} to ${to}`);
  }
});

test("a pledged share is locked to its coordinator and a lease expires, so no share is used twice", () => {
  const account = createCustomerAccount({
    customer: "hollister",
    now: 0,
    longestCall: () => 500,
  });
  const part = { rate: 8, concurrency: 8 };
  account.setEntitlement(
    { own: { rate: 0, concurrency: 2 }, pledged: part },
    0,
  );
  const grant = (host: string, at: number) =>
    account.applyGrant({
      coordinator: { host, epoch: 1 },
      time: 70_000 + at,
      sentAt: at,
      receivedAt: at,
      amount: { rate: 10, concurrency: 1 },
    });
  const pledgeAt = (host: string, at: number) =>
    account.prepareLeaseRequest({ host, epoch: 1 }, at).pledged;
  assert.deepEqual(pledgeAt("a", 0), { rate: 0, concurrency: 0 });
  grant("a", 0);
  assert.deepEqual(pledgeAt("a", 10), part);
  grant("b", 1_000);
  // The lock ends 2,000 ms after the response of `a`, for concurrency one longest call later.
  const cases = [[1_900, 0, 0], [2_100, 8, 0], [2_600, 8, 8]] as const;
  for (const [at, rate, concurrency] of cases) {
    assert.deepEqual(pledgeAt("b", at), { rate, concurrency }, `${at}`);
  }
  // The leases expired at 2,000 ms, so the bucket's capacity has dropped from 10 calls to 1.
  assert.equal(account.admit(30_000), undefined);
  assert.equal(account.admit(30_000), "rate-limit");
});

test("a new host uses its share only when the others count it, so the shares never exceed the quota", () => {
  const member = (host: string, startedAt: number, state = "alive") =>
    ({ process: { host, startedAt }, state }) as unknown as Member;
  const departure = (host: string, departedAt: number) => ({
    process: { host, startedAt: 0 },
    failureDomain: "tacoma",
    departedAt,
  });
  const cases = [
    { name: "started recently", now: 103_000, expected: [false, false] },
    { name: "cold start", now: 105_000, expected: [true, true] },
    {
      name: "calls of older processes are still running",
      now: 105_000,
      members: [member("b", 0)],
      expected: [true, false],
    },
    {
      name: "calls of older processes have ended",
      now: 106_100,
      members: [member("b", 0)],
      expected: [true, true],
    },
    {
      name: "suspect",
      now: 106_100,
      members: [member("b", 0, "suspect")],
      expected: [false, false],
    },
    {
      name: "a host became suspect after it learned of the new one",
      now: 116_100,
      members: [member("b", 0, "suspect")],
      suspectedAt: 112_000,
      expected: [true, true],
    },
    {
      name: "a host became suspect before it learned of the new one",
      now: 116_100,
      members: [member("b", 0, "suspect")],
      suspectedAt: 109_000,
      expected: [false, false],
    },
    {
      name: "a departed host may not know of the new one",
      now: 120_000,
      departures: [departure("c", 101_000)],
      expected: [false, false],
    },
    {
      name: "the restarted host is known from its earlier process",
      now: 105_000,
      members: [member("b", 0)],
      departures: [departure("a", 90_000)],
      expected: [true, true],
    },
    {
      name: "the earlier process of the host ran too briefly to be known",
      now: 105_000,
      departures: [
        {
          ...departure("a", 90_000),
          process: { host: "a", startedAt: 80_000 },
        },
        departure("c", 95_000),
      ],
      expected: [false, false],
    },
    {
      name: "the grace period after the departure ends",
      now: 162_000,
      departures: [departure("c", 101_000)],
      expected: [true, true],
    },
  ];
  for (const each of cases) {
    const { name, now, members = [], departures = [], expected } = each;
    const self = { process: { host: "a", startedAt: 100_000 } } as HostIdentity;
    const limits = findEstablishedLimits(
      {
        self,
        localMembers: [member("a", 100_000), ...members],
        departures,
        suspectedAt: () => each.suspectedAt,
      },
      now,
      2_000,
    );
    assert.deepEqual([limits.rate, limits.concurrency], expected, name);
  }
});

test("a lease request older than one already handled gets no grant, so it cannot overwrite newer state", async () => {
  const clock = new VirtualClock(10_000);
  const exchange = createMemoryTransport({ clock, latencyMilliseconds: 1 });
  const identity = (host: string) => ({
    process: { host, startedAt: 0 },
    failureDomain: "tacoma",
  });
  const coordinator = createAdmissionController({
    configuration: () => EMPTY_CONFIGURATION,
    directory: {
      self: identity("a"),
      localMembers: [],
      departures: [],
      onChanged: createEmitter<void>().event,
    } as unknown as Directory,
    network: exchange.createNetwork(identity("a")),
    clock,
    log: SILENT_LOG,
  });
  const network = exchange.createNetwork(identity("b"));
  const asks = [createRequest(6, 6, { pledgedUntil: 10_900 })];
  const granted: number[][] = [];
  for (const sequence of [2, 1, 3]) {
    const message = { kind: LEASE_REQUEST, epoch: 0, sequence, asks };
    const answer = network.request("a", message, { timeoutMilliseconds: 50 });
    for (let turn = 0; turn < 10; turn += 1) {
      clock.advance(1);
      await Promise.resolve();
    }
    const { grants } = (await answer).unwrap() as LeaseGrant;
    granted.push(grants.map(({ amount }) => amount.rate));
  }
  assert.deepEqual(granted, [[6], [], [6]]);
  coordinator.dispose();
});
