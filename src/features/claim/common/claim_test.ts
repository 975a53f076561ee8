import assert from "node:assert/strict";
import { test } from "node:test";
import type { Departure } from "../../membership/common/directory.ts";
import { chooseOwners, findAuthorityFault } from "./claim_owner.ts";
import { createClaimTable } from "./claim_table.ts";
import { findAgeFault, parseIdempotencyKey } from "./idempotency_key.ts";
import { createKey } from "./claim_session.ts";

const AT = 1_700_000_000_000;
const HOSTS = ["h1", "h2", "h3", "h4", "h5", "h6"];

test("only keys of the required form are read, whatever their case", () => {
  const uuid = "018bcfe5-6800-7abc-8def-0123456789ab";
  const cases: [string, string | undefined][] = [
    [`d1.${uuid}`, "d1"],
    [`d1.${uuid.toUpperCase()}`, "d1"],
    [`eu.west-1.${uuid}`, "eu.west-1"],
    [uuid, undefined],
    [`.${uuid}`, undefined],
    ["d1.018bcfe5-6800-4abc-8def-0123456789ab", undefined],
    [`d1.${uuid}0`, undefined],
    [`d1.${uuid}\n`, undefined],
    [`${"d".repeat(200)}.${uuid}`, undefined],
    ["", undefined],
  ];
  for (const [text, home] of cases) {
    const key = parseIdempotencyKey(text);
    assert.equal(key?.home, home, text);
    assert.ok(key === undefined || key.createdAt === AT);
  }
  const upper = parseIdempotencyKey(`d1.${uuid.toUpperCase()}`)!;
  assert.equal(upper.text, `d1.${uuid}`);
});

test("a key is refused when its age makes the knowledge of its owners incomplete", () => {
  const cases: [number, boolean][] = [
    [-2_001, false],
    [-2_000, true],
    [0, true],
    [600_000, true],
    [600_001, false],
  ];
  for (const [age, isGood] of cases) {
    const fault = findAgeFault(
      parseIdempotencyKey(createKey(AT, 1))!,
      AT + age,
    );
    assert.equal(fault === undefined, isGood, `age ${age}`);
  }
});

test("an owner is authoritative only when it knows all earlier claims of the key", () => {
  const key = parseIdempotencyKey(createKey(AT, 7))!;
  const [first, second, third, fourth] = chooseOwners(key, HOSTS).concat(
    chooseOwners(
      key,
      HOSTS.filter((host) => !chooseOwners(key, HOSTS).includes(host)),
    ),
  );
  const without = (...gone: string[]) =>
    HOSTS.filter((host) => !gone.includes(host));
  const gone = (
    host: string,
    at: number,
    cause: Departure["cause"],
  ): Departure => ({
    process: { host, startedAt: 1 },
    failureDomain: "d1",
    departedAt: AT + at,
    cause,
  });
  const cases: {
    name: string;
    self?: string;
    presentSince?: number;
    members?: string[];
    departures?: Departure[];
    isAuthoritative: boolean;
  }[] = [
    { name: "member all the time", isAuthoritative: true },
    { name: "no owner", self: third, isAuthoritative: false },
    { name: "present 5 s before", presentSince: -5_000, isAuthoritative: true },
    {
      name:
        "present less than 5 s before, which clock error and late news can hide",
      presentSince: -4_999,
      isAuthoritative: false,
    },
    {
      name: "other owner left",
      members: without(second),
      departures: [gone(second, 1_000, "left")],
      isAuthoritative: true,
    },
    {
      name: "other owner was replaced on its host",
      departures: [gone(second, 1_000, "replaced")],
      isAuthoritative: true,
    },
    {
      name: "other owner is only suspected to be dead",
      members: without(second),
      departures: [gone(second, 1_000, "dead")],
      isAuthoritative: false,
    },
    {
      name: "cause of the departure is not known",
      members: without(second),
      departures: [gone(second, 1_000, undefined)],
      isAuthoritative: false,
    },
    {
      name: "other owner died long before the key",
      members: without(second),
      departures: [gone(second, -15_001, "dead")],
      isAuthoritative: true,
    },
    {
      name: "owner since the former owners left",
      self: third,
      members: without(first, second),
      departures: [gone(first, 1_000, "left"), gone(second, 1_000, "left")],
      isAuthoritative: false,
    },
    {
      name: "former owners left within the margin before the key",
      self: third,
      members: without(first, second),
      departures: [gone(first, -5_000, "left"), gone(second, -5_000, "left")],
      isAuthoritative: false,
    },
    {
      name: "former owners left before the margin",
      self: third,
      members: without(first, second),
      departures: [gone(first, -5_001, "left"), gone(second, -5_001, "left")],
      isAuthoritative: true,
    },
    {
      name: "half of the members are lost, long ago",
      members: [first, second, third],
      departures: without(first, second, third).map((host) =>
        gone(host, -60_000, "dead")
      ),
      isAuthoritative: false,
    },
    {
      name: "a third of the members is lost, long ago",
      members: [first, second, third, fourth],
      departures: without(first, second, third, fourth).map((host) =>
        gone(host, -60_000, "dead")
      ),
      isAuthoritative: true,
    },
  ];
  for (const { name, isAuthoritative, ...view } of cases) {
    const fault = findAuthorityFault(key, {
      self: view.self ?? first,
      presentSince: AT + (view.presentSince ?? -1_000_000),
      members: view.members ?? HOSTS,
      departures: view.departures ?? [],
    });
    assert.equal(fault === undefined, isAuthoritative, `${name}: ${fault}`);
  }
});

test("a table bounds its memory by refusing, and forgets nothing before its time", () => {
  const table = createClaimTable(3);
  const claim = (token: string) => ({ token, createdAt: AT });
  table.record("a", claim("1"));
  table.record("b", claim("2"));
  table.end("c", { token: "3", end: "released", now: AT });
  assert.equal(table.lookUp("d", "4").kind, "full");
  assert.equal(table.lookUp("c", "3").kind, "withdrawn");
  table.end("e", { token: "5", end: "released", now: AT });
  assert.equal(table.size, 3);
  table.expire(AT + 60_001);
  assert.equal(table.lookUp("d", "4").kind, "free");
  table.end("a", { token: "other", end: "released", now: AT + 60_001 });
  assert.deepEqual(table.lookUp("a", "9"), {
    kind: "claimed",
    outcome: "running",
  });
  table.end("a", { token: "1", end: "answered", now: AT });
  table.end("a", { token: "1", end: "released", now: AT });
  table.expire(AT + 610_000);
  assert.deepEqual(table.lookUp("a", "9"), {
    kind: "claimed",
    outcome: "answered",
  });
  table.expire(AT + 610_001);
  assert.equal(table.lookUp("a", "9").kind, "free");
});
