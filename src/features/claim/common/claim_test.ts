import assert from "node:assert/strict";
import { test } from "node:test";
import type { Departure } from "../../membership/common/directory.ts";
import { chooseOwners, findAuthorityProblem } from "./claim_owner.ts";
import { createClaimTable } from "./claim_table.ts";
import { findAgeProblem, parseIdempotencyKey } from "./idempotency_key.ts";
import { createKey } from "./claim_fleet.ts";

const AT = 1_700_000_000_000;
const HOSTS = ["h1", "h2", "h3", "h4", "h5", "h6"];

test("only keys of the required format are parsed, in upper and lower case", () => {
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
    assert.equal(key?.homeDomain, home, text);
    assert.ok(key === undefined || key.createdAt === AT);
  }
  const upper = parseIdempotencyKey(`d1.${uuid.toUpperCase()}`)!;
  assert.equal(upper.text, `d1.${uuid}`);
});

test("a key is refused when it is too old or too new for its owners to know all earlier claims", () => {
  const cases: [number, boolean][] = [
    [-2_001, false],
    [-2_000, true],
    [0, true],
    [600_000, true],
    [600_001, false],
  ];
  for (const [age, isAccepted] of cases) {
    const problem = findAgeProblem(
      parseIdempotencyKey(createKey(AT, 1))!,
      AT + age,
    );
    assert.equal(problem === undefined, isAccepted, `age ${age}`);
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
  const without = (...removed: string[]) =>
    HOSTS.filter((host) => !removed.includes(host));
  const departureOf = (
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
    { name: "member since long before the key", isAuthoritative: true },
    { name: "not an owner", self: third, isAuthoritative: false },
    {
      name: "member since 5 s before the key",
      presentSince: -5_000,
      isAuthoritative: true,
    },
    {
      name:
        "member since less than 5 s before the key, within clock error and propagation time",
      presentSince: -4_999,
      isAuthoritative: false,
    },
    {
      name: "other owner left",
      members: without(second),
      departures: [departureOf(second, 1_000, "left")],
      isAuthoritative: true,
    },
    {
      name: "other owner was replaced on its host",
      departures: [departureOf(second, 1_000, "replaced")],
      isAuthoritative: true,
    },
    {
      name: "other owner was declared dead and may still run",
      members: without(second),
      departures: [departureOf(second, 1_000, "dead")],
      isAuthoritative: false,
    },
    {
      name: "cause of the other owner's departure is unknown",
      members: without(second),
      departures: [departureOf(second, 1_000, undefined)],
      isAuthoritative: false,
    },
    {
      name: "other owner died long before the key",
      members: without(second),
      departures: [departureOf(second, -15_001, "dead")],
      isAuthoritative: true,
    },
    {
      name: "owner only since the former owners left after the key was created",
      self: third,
      members: without(first, second),
      departures: [
        departureOf(first, 1_000, "left"),
        departureOf(second, 1_000, "left"),
      ],
      isAuthoritative: false,
    },
    {
      name: "former owners left within the margin before the key",
      self: third,
      members: without(first, second),
      departures: [
        departureOf(first, -5_000, "left"),
        departureOf(second, -5_000, "left"),
      ],
      isAuthoritative: false,
    },
    {
      name: "former owners left before the margin",
      self: third,
      members: without(first, second),
      departures: [
        departureOf(first, -5_001, "left"),
        departureOf(second, -5_001, "left"),
      ],
      isAuthoritative: true,
    },
    {
      name: "half of the members were lost long before the key",
      members: [first, second, third],
      departures: without(first, second, third).map((host) =>
        departureOf(host, -60_000, "dead")
      ),
      isAuthoritative: false,
    },
    {
      name: "a third of the members was lost long before the key",
      members: [first, second, third, fourth],
      departures: without(first, second, third, fourth).map((host) =>
        departureOf(host, -60_000, "dead")
      ),
      isAuthoritative: true,
    },
  ];
  for (const { name, isAuthoritative, ...view } of cases) {
    const problem = findAuthorityProblem(key, {
      self: view.self ?? first,
      presentSince: AT + (view.presentSince ?? -1_000_000),
      members: view.members ?? HOSTS,
      departures: view.departures ?? [],
    });
    assert.equal(problem === undefined, isAuthoritative, `${name}: ${problem}`);
  }
});

test("a full table refuses claims, and claims and tombstones are kept until they expire", () => {
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
