import assert from "node:assert/strict";
import { test } from "node:test";
import { rankByRendezvous } from "../../../base/common/hashing.ts";
import { encodeMessage } from "../../../base/common/message_codec.ts";
import type { UpstreamState } from "../../../world/common/upstream_instance.ts";
import {
  createMembershipFleet,
  FLEET_START_AT,
  type FleetDaemon,
} from "./membership_fleet.ts";
import { measureMembership } from "./membership_measure.ts";

const PORT = 9_000;

function announce(
  daemon: FleetDaemon,
  state: UpstreamState = "ready",
  port = PORT,
): void {
  daemon.directory.announce({
    service: "s",
    version: "1",
    address: "10.20.30.40",
    port,
    slots: 4,
    state,
  });
}

async function startFleet(size: number, seed = 1) {
  const hosts = Array.from({ length: size }, (_, index) => `h${index}`);
  const fleet = createMembershipFleet({ seed, seeds: hosts.slice(0, 3) });
  hosts.forEach((host) => fleet.start(host));
  const withoutRenewals = new Set<string>();
  const renew = () => {
    for (const [host, daemon] of fleet.daemons) {
      if (!withoutRenewals.has(host) && !daemon.isPaused) {
        announce(daemon);
      }
    }
  };
  renew();
  fleet.clock.repeat(1_000, renew);
  const others = (host: string) =>
    [...fleet.daemons.values()].filter(({ self }) =>
      self.process.host !== host
    );
  const knowNoInstances = (host: string) => () =>
    others(host).every(({ directory }) =>
      directory.instances.every((instance) => instance.host !== host)
    );
  const haveFullViews = () =>
    [...fleet.daemons.values()].every(({ directory }) =>
      directory.localMembers.length === fleet.daemons.size &&
      directory.instances.length === fleet.daemons.size
    );
  await fleet.advance(5_000);
  assert.ok(haveFullViews(), "all members and instances are known after 5 s");
  return {
    fleet,
    hosts,
    withoutRenewals,
    others,
    knowNoInstances,
    haveFullViews,
  };
}

const DEPARTURES = [
  {
    name: "draining",
    limit: 3_000,
    run: (daemon: FleetDaemon) => announce(daemon, "draining"),
  },
  { name: "expired", limit: 3_000 + 3_000, run: () => {} },
  {
    name: "on a daemon that leaves",
    limit: 3_000,
    run: (daemon: FleetDaemon) => daemon.directory.leave(),
  },
];

for (const { name, limit, run } of DEPARTURES) {
  test(`an upstream that is ${name} is removed from the instances of all daemons within 3 s`, async () => {
    const { fleet, withoutRenewals, knowNoInstances } = await startFleet(40);
    withoutRenewals.add("h7");
    run(fleet.daemons.get("h7")!);
    assert.ok(
      await fleet.advanceUntil(knowNoInstances("h7"), limit) !== undefined,
    );
  });
}

test("members that missed a change during a network partition learn it within 3 s of the repair", async () => {
  const { fleet, hosts, withoutRenewals, others, knowNoInstances } =
    await startFleet(12);
  const pairs = hosts.flatMap((first, index) =>
    hosts.slice(index + 1).map((second) => [first, second] as const)
  ).filter(([first, second]) => (first < "h5") !== (second < "h5"));
  pairs.forEach(([first, second]) => fleet.exchange.cut(first, second));
  withoutRenewals.add("h7");
  // Renewals keep the announcement from expiring, which would be a second change.
  const drain = () => announce(fleet.daemons.get("h7")!, "draining");
  drain();
  fleet.clock.repeat(1_000, drain);
  await fleet.advance(1_500);
  assert.ok(
    !knowNoInstances("h7")(),
    "the partition keeps the change from some members",
  );
  pairs.forEach(([first, second]) => fleet.exchange.restore(first, second));
  assert.ok(
    await fleet.advanceUntil(knowNoInstances("h7"), 3_000) !== undefined,
  );
  assert.equal(others("h7").length, 11);
});

test("all members detect a dead host, its next process replaces it, and the departures record both", async () => {
  const { fleet, knowNoInstances, haveFullViews } = await startFleet(20);
  const old = fleet.daemons.get("h4")!.self.process;
  fleet.freeze("h4");
  assert.ok(
    await fleet.advanceUntil(knowNoInstances("h4"), 5_000) !== undefined,
  );
  assert.ok(await fleet.advanceUntil(haveFullViews, 5_000) !== undefined);
  const causes = () => {
    const { directory } = fleet.daemons.get("h9")!;
    return directory.departures.map(({ process, cause }) => [process, cause]);
  };
  assert.deepEqual(causes(), [[old, "dead"]]);
  fleet.start("h4");
  await fleet.advance(3_000);
  assert.ok(haveFullViews());
  assert.deepEqual(causes(), [[old, "replaced"]]);
});

test("a new member learns of dead members, whose claims may still count", async () => {
  const { fleet } = await startFleet(8);
  fleet.freeze("h4");
  await fleet.advance(10_000);
  const { directory } = fleet.start("new");
  await fleet.advance(3_000);
  assert.deepEqual(
    directory.departures.map(({ process, cause }) => [process.host, cause]),
    [["h4", "dead"]],
  );
});

test("a process that meets too few seeds counts as present only after the retention of departures", async () => {
  const seeds = ["h0", "h1", "x0", "x1"];
  const fleet = createMembershipFleet({ seed: 1, seeds });
  const daemons = ["h0", "h1"].map((host) => fleet.start(host));
  const presence = () =>
    daemons.map(({ directory }) => directory.presentSince - FLEET_START_AT);
  await fleet.advance(30_000);
  assert.deepEqual(presence(), [30_000, 30_000]);
  fleet.start("x0");
  await fleet.advance(10_000);
  presence().forEach((since) => assert.ok(since > 30_000 && since < 36_000));
  const alone = createMembershipFleet({ seed: 1, seeds });
  const { directory } = alone.start("h0");
  await alone.advance(12 * 60_000);
  assert.equal(directory.presentSince - FLEET_START_AT, 11 * 60_000);
});

test("a daemon that was paused suspects nobody, rejoins, and counts as present only since the pause", async () => {
  const { fleet, haveFullViews } = await startFleet(20);
  const daemon = fleet.daemons.get("h4")!;
  daemon.pause();
  await fleet.advance(12_000);
  assert.equal(
    fleet.daemons.get("h9")!.directory.findMember("h4")!.state,
    "dead",
  );
  daemon.resume();
  assert.equal(daemon.directory.presentSince, fleet.clock.now());
  await fleet.advance(3_000);
  assert.ok(haveFullViews());
  const suspicions = daemon.events.filter(({ event }) =>
    event === "membership.suspect" || event === "membership.dead"
  );
  assert.deepEqual(suspicions, []);
});

test("a cut link causes no suspicion while other members reach the silent member", async () => {
  const { fleet, hosts } = await startFleet(20);
  const linkedHosts = fleet.daemons.get("h4")!.network.peers.map((
    { process },
  ) => process.host);
  fleet.exchange.cut("h4", linkedHosts[0]);
  await fleet.advance(15_000);
  const suspicions = hosts.flatMap((host) =>
    fleet.daemons.get(host)!.events.filter(({ event }) =>
      event === "membership.suspect"
    )
  );
  assert.deepEqual(suspicions, []);
});

test("the halves of a partitioned failure domain rejoin after the repair", async () => {
  const hosts = Array.from({ length: 10 }, (_, index) => `h${index}`);
  const fleet = createMembershipFleet({ seed: 4, seeds: ["h0", "h9", "r0"] });
  hosts.forEach((host) => fleet.start(host, "d1"));
  ["r0", "r1"].forEach((host) => fleet.start(host, "d2"));
  await fleet.advance(20_000);
  const pairs = hosts.slice(0, 5).flatMap((first) =>
    hosts.slice(5).map((second) => [first, second] as const)
  );
  const countMembers = () =>
    hosts.map((host) => fleet.daemons.get(host)!.directory.localMembers.length);
  pairs.forEach(([first, second]) => fleet.exchange.cut(first, second));
  await fleet.advance(60_000);
  assert.deepEqual(new Set(countMembers()), new Set([5]));
  pairs.forEach(([first, second]) => fleet.exchange.restore(first, second));
  const healed = await fleet.advanceUntil(
    () => countMembers().every((count) => count === 10),
    40_000,
  );
  assert.ok(healed !== undefined);
});

test("other failure domains know 3 endpoints of a service and replace one that drains", async () => {
  const domains = ["d1", "d2", "d3"];
  const names = domains.flatMap((domain) =>
    Array.from({ length: 8 }, (_, index) => `${domain}-${index}`)
  );
  const fleet = createMembershipFleet({
    seed: 5,
    seeds: ["d1-0", "d2-0", "d3-0"],
  });
  names.forEach((name) => fleet.start(name, name.slice(0, 2)));
  const withoutRenewals = new Set<string>();
  const renew = () =>
    fleet.daemons.forEach((daemon, host) =>
      withoutRenewals.has(host) || announce(daemon)
    );
  renew();
  fleet.clock.repeat(1_000, renew);
  await fleet.advance(30_000);
  const remote = (host: string) =>
    fleet.daemons.get(host)!.directory.instances.filter(({ host }) =>
      host.startsWith("d2")
    ).map(({ host }) => host).sort();
  for (const name of names.filter((name) => !name.startsWith("d2"))) {
    assert.deepEqual(remote(name), remote("d1-0"), name);
    assert.equal(remote(name).length, 3);
    assert.ok(fleet.daemons.get(name)!.directory.remoteMembers.length >= 6);
  }
  const [first] = remote("d1-0");
  withoutRenewals.add(first);
  announce(fleet.daemons.get(first)!, "draining");
  const isKnown = await fleet.advanceUntil(
    () =>
      names.every((name) =>
        name.startsWith("d2") ||
        remote(name).length === 3 && !remote(name).includes(first)
      ),
    3_000,
  );
  assert.ok(isKnown !== undefined);
  for (const name of names.filter((name) => name.startsWith("d1"))) {
    const [best] = rankByRendezvous(
      name,
      names.filter((other) => other.startsWith("d2")),
    );
    const peers = fleet.daemons.get(name)!.network.peers.map(({ process }) =>
      process.host
    );
    assert.ok(
      peers.includes(best),
      "links spread over all daemons of the domain",
    );
  }
});

test("after a short pause a daemon counts as present only since the pause and probes nobody", async () => {
  let probes = 0;
  const hosts = Array.from({ length: 12 }, (_, index) => `h${index}`);
  const fleet = createMembershipFleet({
    seed: 2,
    seeds: hosts,
    measure(message) {
      const { kind, host } = message as { kind: string; host?: string };
      probes += kind === "member-probe" && host !== "h4" ? 1 : 0;
      return 0;
    },
  });
  hosts.forEach((host) => fleet.start(host));
  await fleet.advance(5_000);
  const daemon = fleet.daemons.get("h4")!;
  daemon.pause();
  await fleet.advance(3_000);
  probes = 0;
  daemon.resume();
  assert.equal(daemon.directory.presentSince, fleet.clock.now());
  await fleet.advance(2_000);
  assert.equal(probes, 0);
});

test("control bytes do not grow with the size of the failure domain, and restarts converge within 5 s", async () => {
  const measure = (message: object) => encodeMessage(message).length;
  const [small, large] = [
    await measureMembership({ members: 16, seed: 1, measure }),
    await measureMembership({ members: 64, seed: 1, measure }),
  ];
  assert.ok(
    large.steadyBytesPerSecond.mean < 1.15 * small.steadyBytesPerSecond.mean,
    JSON.stringify([small.steadyBytesPerSecond, large.steadyBytesPerSecond]),
  );
  for (const result of [small, large]) {
    assert.ok(result.steadyBytesPerSecond.highest < 6_000);
    assert.ok(result.restartMilliseconds! < 5_000);
    assert.ok(result.drainMilliseconds! < 3_000);
    assert.ok(result.leaveMilliseconds! < 3_000);
    for (const pause of result.pauses) {
      assert.equal(pause.unpausedSuspected, 0);
      assert.ok(pause.pauseMilliseconds > 2_000 || pause.suspected === 0);
      assert.ok(pause.recoveryMilliseconds! < 3_000);
    }
  }
});
