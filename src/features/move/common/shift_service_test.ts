import assert from "node:assert/strict";
import { test } from "node:test";
import { VirtualClock } from "../../../base/common/clock.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import { createMemoryMesh, type Mesh, type MeshDaemon } from "./memory_mesh.ts";
import type { AttemptSample } from "./traffic_shift.ts";

const SERVICE = "booking";
const START_AT = 1_000_000;
const DEADLINE_MS: Milliseconds = 300_000;
/** The target: no call to a bad version later than this after sufficient evidence. */
const STOP_LIMIT_MS: Milliseconds = 3_000;
const DOMAINS = ["a", "b", "c"];

function createFixture(deadline: Milliseconds = DEADLINE_MS) {
  const clock = new VirtualClock(START_AT);
  const mesh = createMemoryMesh({
    clock,
    seed: 1,
    failureDomains: DOMAINS,
    daemonsPerDomain: 3,
    latencyMilliseconds: 1.5,
    instances: ["1", "2"].flatMap((version) =>
      DOMAINS.map((failureDomain) => ({
        identity: `${failureDomain}-v${version}/:0`,
        host: `${failureDomain}-v${version}`,
        failureDomain,
        service: SERVICE,
        version,
        address: "",
        port: 0,
        slots: 16,
        state: "ready" as const,
      }))
    ),
    move: {
      identity: "move-1",
      service: SERVICE,
      fromVersion: "1",
      toVersion: "2",
      startedAt: START_AT,
      deadlineAt: START_AT + deadline,
      outcome: "open",
      reason: "",
    },
  });
  const wait = async (duration: Milliseconds) => {
    for (let passed = 0; passed < duration; passed += 50) {
      clock.advance(50);
      // Lets the continuations of append promises run.
      await new Promise((resolve) => setImmediate(resolve));
    }
  };
  const daemon = (host: string) =>
    mesh.daemons.find(({ self }) => self.process.host === host)!;
  return { clock, mesh, wait, daemon };
}

/** Gives one daemon sufficient evidence that the new version is bad. */
function giveBadEvidence({ shift }: MeshDaemon): void {
  const sample = (version: string, host: string): AttemptSample => ({
    service: SERVICE,
    version,
    route: "availability",
    host,
    result: version === "2" ? "failure" : "success",
    durationMilliseconds: 100,
    load: 0.5,
  });
  for (let index = 0; index < 400; index += 1) {
    // The stable calls go to a host whose cold start has ended.
    shift.record(sample("1", "a-v1"));
    shift.record(sample("2", DOMAINS[index % 3] + "-v2"));
  }
}

/** Ends the cold start of the stable host, whose calls are the reference. */
async function warmUp(fixture: ReturnType<typeof createFixture>, host: string) {
  for (let count = 0; count < 15; count += 1) {
    fixture.daemon(host).shift.record({
      service: SERVICE,
      version: "1",
      route: "availability",
      host: "a-v1",
      result: "success",
      durationMilliseconds: 100,
      load: 0.5,
    });
    await fixture.wait(200);
  }
}

const isStopped = ({ shift }: MeshDaemon) =>
  shift.splitOf(SERVICE)?.candidateVersion === undefined;

function stoppedHosts(mesh: Mesh): string[] {
  return mesh.daemons.filter(isStopped).map(({ self }) => self.process.host)
    .sort();
}

const eventsOf = (mesh: Mesh, event: string) =>
  mesh.daemons.flatMap(({ events }) =>
    events.filter((item) => item.event === event)
  );

test("evidence at one daemon stops all reachable daemons within 3 s, with and without the platform", async () => {
  for (const isPlatformDown of [false, true]) {
    const fixture = createFixture();
    const { mesh, wait, daemon } = fixture;
    mesh.setPlatformDown(isPlatformDown);
    await warmUp(fixture, "a-1");
    giveBadEvidence(daemon("a-1"));
    await wait(STOP_LIMIT_MS);
    assert.equal(stoppedHosts(mesh).length, 9);
    if (isPlatformDown) {
      assert.equal(mesh.records.length, 0);
      await wait(60_000);
      mesh.setPlatformDown(false);
      await wait(10_000);
    }
    assert.equal(mesh.records[0].outcome, "taken-back");
    assert.deepEqual(
      mesh.daemons.map(({ shift }) => shift.openMoves),
      Array(9).fill([]),
    );
    assert.ok(mesh.records.length <= DOMAINS.length, "one record per domain");
  }
});

test("a verdict reaches the other side within 3 s after a partition ends", async () => {
  const fixture = createFixture();
  const { mesh, wait, daemon } = fixture;
  mesh.setPlatformDown(true);
  await warmUp(fixture, "a-1");
  mesh.cutOff("a");
  giveBadEvidence(daemon("a-1"));
  await wait(30_000);
  assert.deepEqual(stoppedHosts(mesh), ["a-1", "a-2", "a-3"]);
  mesh.rejoin("a");
  await wait(STOP_LIMIT_MS);
  assert.equal(stoppedHosts(mesh).length, 9);
});

test("a daemon that restarts after a bad verdict sends no calls to the new version", async () => {
  const fixture = createFixture();
  const { mesh, wait, daemon } = fixture;
  mesh.setPlatformDown(true);
  await warmUp(fixture, "a-1");
  giveBadEvidence(daemon("a-1"));
  await wait(10_000);
  mesh.restart("b-2");
  let shares = 0;
  for (let passed = 0; passed < 60_000; passed += 50) {
    shares += daemon("b-2").shift.splitOf(SERVICE)!.candidateShare;
    await wait(50);
  }
  assert.equal(shares, 0);
  assert.ok(isStopped(daemon("b-2")));
});

test("daemons that all restart during a move do not immediately send calls to the new version", async () => {
  const { mesh, wait } = createFixture();
  const sumOfShares = async (duration: Milliseconds) => {
    let sum = 0;
    for (let passed = 0; passed < duration; passed += 50) {
      for (const { shift } of mesh.daemons) {
        sum += shift.splitOf(SERVICE)!.candidateShare;
      }
      await wait(50);
    }
    return sum;
  };
  // Bursts are at the end of the cycles of 10 s, so both intervals contain one.
  await wait(25_600);
  assert.ok(await sumOfShares(4_400) > 0);
  await wait(5_600);
  mesh.daemons.forEach(({ self }) => mesh.restart(self.process.host));
  assert.equal(await sumOfShares(4_400), 0);
});

test("a verdict is resent after its messages were lost", async () => {
  const fixture = createFixture();
  const { mesh, wait, daemon } = fixture;
  mesh.setPlatformDown(true);
  await warmUp(fixture, "a-1");
  // All messages that daemons send in the first second after the verdict are lost.
  const lossy = mesh.daemons.map(({ network }) => network);
  const sends = lossy.map((network) => network.send);
  lossy.forEach((network) => network.send = () => true);
  giveBadEvidence(daemon("a-1"));
  await wait(1_000);
  assert.deepEqual(stoppedHosts(mesh), ["a-1"]);
  lossy.forEach((network, index) => network.send = sends[index]);
  await wait(STOP_LIMIT_MS - 1_000);
  assert.equal(stoppedHosts(mesh).length, 9);
});

test("a bad verdict that arrives after a done record is logged and changes nothing", async () => {
  const fixture = createFixture();
  const { mesh, wait, daemon } = fixture;
  await warmUp(fixture, "a-1");
  mesh.cutOff("a");
  giveBadEvidence(daemon("a-1"));
  await wait(1_000);
  mesh.append({
    schema: 1,
    kind: "verdict",
    move: "move-1",
    outcome: "done",
    reason: "",
    author: "b-1@0",
  });
  await wait(1_000);
  mesh.rejoin("a");
  await wait(10_000);
  for (const { shift } of mesh.daemons) {
    assert.equal(shift.splitOf(SERVICE)?.stableVersion, "2");
  }
  assert.ok(eventsOf(mesh, "move.verdict-overruled").length >= 3);
});

test("a bad verdict overrides an earlier good one at all daemons while the move is open", async () => {
  const fixture = createFixture();
  const { mesh, wait, daemon } = fixture;
  mesh.setPlatformDown(true);
  await warmUp(fixture, "a-1");
  const peer = daemon("b-1").self;
  const good = {
    kind: "verdict",
    verdicts: [{
      move: "move-1",
      outcome: "good",
      reason: "",
      author: "b-1@0",
    }],
    isAcknowledgement: false,
  };
  for (const { network } of mesh.daemons) {
    network.send(peer.process.host, good);
  }
  await wait(500);
  giveBadEvidence(daemon("a-1"));
  await wait(STOP_LIMIT_MS);
  assert.equal(stoppedHosts(mesh).length, 9);
  mesh.setPlatformDown(false);
  await wait(10_000);
  assert.equal(mesh.records[0].outcome, "taken-back");
});

test("a move whose deadline is too short for its steps is taken back within 2 s, with the reason", async () => {
  const { mesh, wait } = createFixture(20_000);
  await wait(2_000);
  assert.equal(mesh.records[0].outcome, "taken-back");
  assert.match(mesh.records[0].reason, /deadline leaves 20000 ms/);
});
