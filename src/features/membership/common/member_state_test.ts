import assert from "node:assert/strict";
import { test } from "node:test";
import { createRandomSource } from "../../../base/common/random_source.ts";
import { createAnnouncementList } from "./announcement_list.ts";
import type { Member, MemberState as State } from "./directory.ts";
import { evaluateProbe } from "./failure_detector.ts";
import { chooseLocalTargets, chooseRemoteTargets } from "./link_choice.ts";
import { decodeMember, encodeMember } from "./member_record.ts";
import { createMemberState } from "./member_state.ts";
import { createTargetPlanner } from "./target_planner.ts";

const ADDRESSES = {
  address: "10.0.0.1",
  proxyPort: 1,
  administrationPort: 2,
  linkPort: 3,
};

function member(host: string, change: Partial<Member> = {}): Member {
  return {
    process: { host, startedAt: 100 },
    failureDomain: "d1",
    addresses: ADDRESSES,
    incarnation: 5,
    state: "alive",
    appliedVersion: 1,
    upstreams: [],
    ...change,
  };
}

const later = { process: { host: "b", startedAt: 200 } };
const earlier = { process: { host: "b", startedAt: 50 } };

test("the precedence of two records of a host does not depend on their order of arrival", () => {
  const cases: [Partial<Member>, Partial<Member>, boolean, string?][] = [
    [{}, {}, false],
    [{}, { incarnation: 4 }, false],
    [{}, { incarnation: 6 }, true],
    [{}, { state: "suspect" }, true],
    [{ state: "suspect" }, {}, false],
    [{ state: "suspect" }, { incarnation: 6 }, true],
    [{ state: "suspect" }, { state: "dead" }, true, "dead"],
    [{ state: "dead" }, { state: "suspect" }, false, "dead"],
    [{ state: "dead" }, { incarnation: 6 }, true],
    [{ state: "left" }, { incarnation: 9 }, false, "left"],
    [{ incarnation: 9 }, { state: "left" }, true, "left"],
    [{}, { ...later, incarnation: 0 }, true, "replaced"],
    [{ state: "left" }, later, true, "replaced"],
    [{}, { ...earlier, incarnation: 9 }, false],
  ];
  for (const [present, next, isAccepted, cause] of cases) {
    const state = createMemberState(member("a"));
    state.accept(member("b", present), 1_000);
    const outcome = state.accept(member("b", next), 2_000);
    assert.equal(outcome, isAccepted ? "accepted" : "ignored");
    const expected = member("b", isAccepted ? next : present);
    assert.deepEqual(state.members.get("b"), expected);
    assert.deepEqual(
      state.departures.map((departure) => departure.cause),
      cause === undefined ? [] : [cause],
    );
  }
});

test("a running process refutes its suspicion or death and counts as present only since then", () => {
  const cases: [State, number, string, number][] = [
    ["alive", 0, "ignored", 100],
    ["suspect", 0, "refuted", 7_000],
    ["dead", 4, "refuted", 7_000],
  ];
  for (const [reportedState, incarnation, outcome, presentSince] of cases) {
    const state = createMemberState(member("a"));
    const record = member("a", { state: reportedState, incarnation });
    assert.equal(state.accept(record, 7_000), outcome);
    assert.equal(state.presentSince, presentSince);
    assert.equal(state.own.state, "alive");
    assert.ok(outcome === "ignored" || state.own.incarnation > incarnation);
  }
  const state = createMemberState(member("a"));
  state.leave();
  assert.equal(state.accept(member("a", { state: "dead" }), 7_000), "ignored");
  const successor = member("a", { process: { host: "a", startedAt: 300 } });
  assert.equal(state.accept(successor, 7_000), "replaced");
});

test("two hosts that return together, as after a network partition, reset the time of presence; one does not", () => {
  const cases: [number[], number][] = [
    [[20_000], 100],
    [[20_000, 30_000], 30_000],
    [[20_000, 40_000], 20_000],
  ];
  for (const [returns, presentSince] of cases) {
    const state = createMemberState(member("a"));
    const hosts = returns.map((_, index) => `b${index}`);
    const record = (host: string, incarnation: number) =>
      member(host, { process: { host, startedAt: 100 }, incarnation });
    for (const host of hosts) {
      state.accept({ ...record(host, 1), state: "dead" }, 10_000);
    }
    returns.forEach((at, index) => state.accept(record(hosts[index], 2), at));
    assert.equal(state.presentSince, presentSince);
  }
});

test("a suspect is declared dead after 3 s, or 3 s after a pause of this process", () => {
  const state = createMemberState(member("a"));
  state.accept(member("b"), 0);
  assert.ok(state.suspect("b", 1_000));
  assert.ok(!state.suspect("b", 1_500) && !state.suspect("a", 1_500));
  assert.deepEqual(state.expireSuspicions(3_999), []);
  state.rejoin(9_000);
  assert.equal(state.presentSince, 9_000);
  assert.deepEqual(state.expireSuspicions(11_999), []);
  assert.deepEqual(state.expireSuspicions(12_000), ["b"]);
  assert.deepEqual(state.departures[0].departedAt, 12_000);
  state.expire(12_000 + 11 * 60_000);
  assert.ok(state.members.get("b"));
  state.expire(12_001 + 11 * 60_000);
  assert.deepEqual([state.members.get("b"), state.departures.length], [
    undefined,
    0,
  ]);
});

test("a probe without a trusted answer leads to suspicion only after a long silence", () => {
  const cases: [number, number, number, number, string][] = [
    [2, 2, 1, 4_000, "reached"],
    [2, 1, 0, 4_000, "suspect"],
    [2, 0, 0, 4_000, "inconclusive"],
    [2, 0, 0, 10_000, "suspect"],
    [0, 0, 0, 4_000, "suspect"],
    [0, 0, 1, 4_000, "reached"],
  ];
  for (const [asked, answered, reached, silence, verdict] of cases) {
    assert.equal(evaluateProbe({ asked, answered, reached }, silence), verdict);
  }
});

test("an announcement expires 3 s after its last renewal", () => {
  const upstream = {
    service: "s",
    version: "1",
    address: "10.0.0.1",
    port: 80,
    slots: 4,
    state: "ready" as const,
  };
  const list = createAnnouncementList();
  const steps: [number, "renew" | "drain" | "expire" | "restart", boolean][] = [
    [0, "renew", true],
    [1_000, "renew", false],
    [3_999, "expire", false],
    [4_000, "expire", true],
    [5_000, "renew", true],
    [5_500, "drain", true],
    [20_000, "restart", false],
    [22_999, "expire", false],
    [23_000, "expire", true],
  ];
  for (const [at, step, expected] of steps) {
    const changed = step === "renew"
      ? list.renew(upstream, at)
      : step === "drain"
      ? list.renew({ ...upstream, state: "draining" }, at)
      : step === "expire"
      ? list.expire(at)
      : (list.restartLifetimes(at), false);
    assert.equal(changed, expected, `${step} at ${at}`);
  }
});

test("targets are 4 local members and 1 in each of 2 other failure domains", () => {
  const local = Array.from({ length: 9 }, (_, index) => member(`h${index}`));
  const remote = ["d2", "d3", "d4"].flatMap((failureDomain) =>
    [1, 2].map((index) =>
      member(`${failureDomain}-${index}`, { failureDomain })
    )
  );
  const chosen = chooseLocalTargets("h0", local);
  assert.equal(chosen.length, 4);
  assert.ok(chosen.every(({ process }) => process.host !== "h0"));
  const domains = chooseRemoteTargets("h0", remote).map((one) =>
    one.failureDomain
  );
  assert.equal(new Set(domains).size, 2);
});

test("seeds are link targets only while too few daemons are known", () => {
  const seeds = Array.from({ length: 9 }, (_, index) => ({
    host: `s${index}`,
    address: "10.0.0.9",
    port: 3,
  }));
  const remote = [member("r", { failureDomain: "d2" })];
  const cases: [Member[], Member[], number][] = [
    [[], [], 4],
    [[], remote, 4 + 1],
    [[member("b")], [], 1 + 2],
    [[member("b")], remote, 2],
  ];
  for (const [local, other, count] of cases) {
    const planner = createTargetPlanner("s0", seeds, createRandomSource(3));
    const plan = planner.plan({ local, remote: other, dead: [] }, 0);
    assert.equal(plan.length, count);
    assert.ok(plan.every(({ host }) => host !== "s0"));
  }
  const first = [1, 2, 3, 4, 5].map((seed) =>
    createTargetPlanner("s0", seeds, createRandomSource(seed))
      .plan({ local: [], remote: [], dead: [] }, 0).map(({ host }) => host)
      .join()
  );
  assert.ok(new Set(first).size > 1, "restarts spread over the seeds");
});

test("a member record is unchanged by encoding and decoding, and malformed input is rejected", () => {
  const record = member("b", {
    upstreams: [{
      service: "s",
      version: "1",
      address: "10.0.0.1",
      port: 80,
      slots: 4,
      state: "draining",
    }],
  });
  const wire = encodeMember(record);
  assert.deepEqual(decodeMember(wire, "d1"), record);
  const malformed = [
    null,
    7,
    [],
    wire.slice(0, 9),
    wire.with(0, 3),
    wire.with(7, 9),
  ];
  for (const fault of [...malformed, wire.with(9, [[1]]), wire.with(6, "x")]) {
    assert.equal(decodeMember(fault, "d1"), undefined);
  }
});
