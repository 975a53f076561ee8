import assert from "node:assert/strict";
import { test } from "node:test";
import { VirtualClock } from "../../../base/common/clock.ts";
import { createEmitter } from "../../../base/common/emitter.ts";
import { createRandomSource } from "../../../base/common/random_source.ts";
import { compareWithGoldenFile } from "../../../base/node/golden_file.ts";
import type { UpstreamInstance } from "../../../world/common/upstream_instance.ts";
import type { VersionSplit } from "../../move/common/traffic_shift.ts";
import {
  computeLimit,
  createConcurrencyState,
  recordShed,
  recordSuccess,
} from "./allowed_concurrency.ts";
import { eject, HEALTHY, isOutlier } from "./ejection.ts";
import type { Assignment, AttemptResult } from "./instance_router.ts";
import { createInstanceRouter } from "./router.ts";
import { DEFAULT_MEASURE_OPTIONS, measureRouting } from "./routing_measure.ts";
import { DEFAULT_ROUTING_POLICY as POLICY } from "./routing_policy.ts";
import { isRoutedToCandidate } from "./version_choice.ts";

function instanceOf(name: string, version = "v1"): UpstreamInstance {
  const [failureDomain] = name.split("-");
  return {
    identity: name,
    host: name,
    failureDomain,
    service: "booking",
    version,
    address: "10.0.0.1",
    port: 80,
    slots: 4,
    state: "ready",
  };
}

function createRouterSession(
  names: readonly string[],
  split: Partial<VersionSplit>,
) {
  const clock = new VirtualClock();
  const changed = createEmitter<void>();
  const held = new Map<string, Assignment>();
  const lines: string[] = [];
  let instances = names.map((name) => instanceOf(name));
  const router = createInstanceRouter({
    directory: {
      self: {
        process: { host: "tacoma-0", startedAt: 0 },
        failureDomain: "tacoma",
        addresses: {
          address: "10.0.0.1",
          proxyPort: 0,
          administrationPort: 0,
          linkPort: 0,
        },
      },
      get instances() {
        return instances;
      },
      onChanged: changed.event,
    },
    shift: {
      splitOf: () => ({
        stableVersion: "v1",
        candidateVersion: undefined,
        candidateShare: 0,
        candidateInstances: Infinity,
        ...split,
      }),
    },
    clock,
    random: createRandomSource(3),
  });
  const session = {
    lines,
    clock,
    call(identity: string, exclude: string[] = []): string {
      const answer = router.assign({
        service: "booking",
        route: "availability",
        callIdentity: identity,
        exclude: new Set(exclude),
      });
      const target = typeof answer === "string"
        ? answer
        : answer.instance.identity;
      if (typeof answer !== "string") {
        held.set(identity, answer);
      }
      lines.push(`${clock.now()} call ${identity} -> ${target}`);
      return target;
    },
    finish(identity: string, result: AttemptResult) {
      const assignment = held.get(identity)!;
      assignment.finish(result, 5);
      lines.push(
        `${clock.now()} finish ${identity} ${assignment.instance.identity} ${result}`,
      );
    },
    setInstances(next: readonly UpstreamInstance[]) {
      instances = [...next];
      changed.fire();
      lines.push(
        `${clock.now()} instances ${
          next.map((one) => `${one.identity}:${one.version}`).join(" ")
        }`,
      );
    },
  };
  return session;
}

test("spill-over, load shedding, ejection and slow start match the golden session", () => {
  const names = ["tacoma-1", "tacoma-2", "tacoma-3", "salem-1"];
  const session = createRouterSession(names, {});
  // Instances of the own domain first, then of the other domain when these are full.
  for (let index = 0; index < 8; index += 1) {
    session.call(`a${index}`);
  }
  session.finish("a0", "shed");
  for (let index = 1; index < 8; index += 1) {
    session.finish(`a${index}`, "success");
  }
  // One refused connection ejects an instance immediately; a third of four allows one ejection.
  const ejected = session.call("b0");
  session.finish("b0", "not-connected");
  for (let index = 1; index < 6; index += 1) {
    assert.notEqual(session.call(`b${index}`), ejected);
  }
  for (let index = 1; index < 6; index += 1) {
    session.finish(`b${index}`, "success");
  }
  session.clock.advance(2_100);
  session.call("c0");
  session.finish("c0", "success");
  // Slow start: a new instance ramps up over 10 s, starting with one of its four slots.
  session.clock.advance(5_000);
  session.setInstances([instanceOf("tacoma-9")]);
  for (const age of [0, 2_500, 7_500]) {
    session.clock.advance(age);
    session.call(`d${age}`);
    session.call(`e${age}`);
  }
  compareWithGoldenFile(
    "src/features/routing/common/golden/router_session.txt",
    session.lines,
  );
});

test("the candidate gets only its share, on few instances, so that a bad version affects few calls", () => {
  const session = createRouterSession([], {
    candidateVersion: "v2",
    candidateShare: 0.2,
    candidateInstances: 1,
  });
  session.setInstances([
    ...["tacoma-1", "tacoma-2"].map((name) => instanceOf(name)),
    ...["tacoma-5", "tacoma-6", "salem-7"].map((name) =>
      instanceOf(name, "v2")
    ),
  ]);
  const counts = new Map<string, number>();
  for (let index = 0; index < 2_000; index += 1) {
    const target = session.call(`c${index}`);
    session.finish(`c${index}`, "success");
    counts.set(target, (counts.get(target) ?? 0) + 1);
  }
  const candidates = ["tacoma-5", "tacoma-6", "salem-7"]
    .map((name) => counts.get(name) ?? 0).filter((count) => count > 0);
  assert.equal(candidates.length, 1);
  assert.ok(candidates[0] > 340 && candidates[0] < 460, `${candidates[0]}`);
  // Without an instance of the stable version, its calls do not fall back to the candidate.
  session.setInstances([instanceOf("tacoma-5", "v2")]);
  const stableCall = Array.from({ length: 50 }, (_, index) => `s${index}`)
    .find((identity) =>
      !isRoutedToCandidate(
        {
          stableVersion: "v1",
          candidateVersion: "v2",
          candidateShare: 0.2,
          candidateInstances: 1,
        },
        "booking",
        identity,
      )
    )!;
  assert.equal(session.call(stableCall), "no-instance");
});

test("at most a third of the instances is ejected, so that a common fault does not disable a service", () => {
  const names = ["1", "2", "3", "4", "5", "6"].map((n) => `tacoma-${n}`);
  const session = createRouterSession(names, {});
  const down = new Set<string>();
  for (let index = 0; index < 12; index += 1) {
    const target = session.call(`c${index}`);
    down.add(target);
    session.finish(`c${index}`, "not-connected");
  }
  assert.equal(
    down.size,
    6,
    "instances beyond the ejection maximum are still used",
  );
  assert.equal(session.call("x", [...down].slice(2)), "no-instance");
});

test("an instance that fails well above its peers is ejected after few calls", () => {
  const names = ["1", "2", "3", "4"].map((n) => `tacoma-${n}`);
  const cases = [
    {
      name: "one instance fails",
      failing: ["tacoma-3"],
      ejected: ["tacoma-3"],
    },
    {
      name: "all instances fail at the same rate",
      failing: names,
      ejected: [],
    },
  ];
  for (const { name, failing, ejected } of cases) {
    const session = createRouterSession(names, {});
    const latest = new Set<string>();
    for (let index = 0; index < 100; index += 1) {
      session.clock.advance(5);
      const target = session.call(`c${index}`);
      const result = failing.includes(target) ? "failure" : "success";
      session.finish(`c${index}`, result);
      if (index >= 50) {
        latest.add(target);
      }
    }
    const unused = names.filter((instance) => !latest.has(instance));
    assert.deepEqual(unused, ejected, name);
  }
});

test("without calls to peers no instance is an outlier, so that a move gets evidence against a bad version", () => {
  const healthOf = (calls: number, failures: number) => ({
    ...HEALTHY,
    calls,
    failures,
  });
  const cases = [
    { name: "no calls", peers: [healthOf(0, 0)], outlier: false },
    {
      name: "too few calls",
      peers: [healthOf(1, 0), healthOf(1, 0)],
      outlier: false,
    },
    { name: "good peers", peers: [healthOf(100, 0)], outlier: true },
    {
      name: "peers with a similar failure rate",
      peers: [healthOf(100, 90)],
      outlier: false,
    },
  ];
  for (const { name, peers, outlier } of cases) {
    const isDetected = isOutlier(healthOf(100, 95), peers, POLICY.ejection);
    assert.equal(isDetected, outlier, name);
  }
});

test("the concurrency limit adapts to shed calls and slow start, without knowing how daemons share the slots", () => {
  const options = { slots: 16, policy: POLICY };
  const started = createConcurrencyState(16, 0, POLICY);
  const at = (now: number) => computeLimit(started, now, options);
  assert.deepEqual([0, 1_000, 4_000, 20_000].map(at), [1, 2, 7, 8]);
  const shed = recordShed(started, 100, { now: 200, policy: POLICY });
  const cases = [
    { name: "halved", state: shed, allowed: 4 },
    {
      name: "a call from before the halving does not halve again",
      state: recordShed(shed, 150, { now: 210, policy: POLICY }),
      allowed: 4,
    },
    {
      name: "a call from after the halving halves again",
      state: recordShed(shed, 220, { now: 230, policy: POLICY }),
      allowed: 2,
    },
    {
      name: "as many successes as the limit raise it by one",
      state: [1, 2, 3, 4].reduce((state) => recordSuccess(state, 16), shed),
      allowed: 5,
    },
    {
      name: "never above the slots",
      state: Array(200).fill(0).reduce(
        (state) => recordSuccess(state, 8),
        shed,
      ),
      allowed: 8,
    },
  ];
  for (const { name, state, allowed } of cases) {
    assert.equal(state.allowed, allowed, name);
  }
});

test("ejection durations double up to the maximum, so that a flapping instance affects fewer calls each time", () => {
  let state = HEALTHY;
  const durations: number[] = [];
  let now = 0;
  for (let index = 0; index < 7; index += 1) {
    state = eject(state, now, POLICY.ejection);
    durations.push(state.ejectedUntil - now);
    now = state.ejectedUntil + 100;
  }
  assert.deepEqual(durations, [2e3, 4e3, 8e3, 16e3, 32e3, 60e3, 60e3]);
  now += POLICY.ejection.resetMilliseconds;
  assert.equal(eject(state, now, POLICY.ejection).ejectedUntil - now, 2_000);
});

test("over 99% of calls succeed with a slow, a failing and a cold instance", () => {
  const measured = measureRouting({
    ...DEFAULT_MEASURE_OPTIONS,
    durationMilliseconds: 6_000,
  });
  assert.ok(measured.successShare > 0.99, JSON.stringify(measured));
});
