import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import {
  createEventBuffer,
  SILENT_LOG,
} from "../../../base/common/event_log.ts";
import { createRandomSource } from "../../../base/common/random_source.ts";
import { hashText } from "../../../base/common/hashing.ts";
import { foldEntries, INITIAL_FOLD_STATE } from "../../fold/common/fold.ts";
import { SYSTEM_CLOCK } from "../../../base/node/system_clock.ts";
import { createMemoryTransport } from "../../link/common/memory_network.ts";
import { createMemoryLog } from "../../log/common/memory_log.ts";
import { createHttpLogClient } from "../../log/node/http_log_client.ts";
import { listenLogServer } from "../../log/node/log_server.ts";
import { createConfigurationSource } from "./create_configuration_source.ts";
import type { LinkMessage } from "../../link/common/peer_network.ts";
import { parseFloor } from "./messages.ts";
import {
  appendChange,
  createRevertCounter,
  measureConvergence,
} from "./convergence_measure.ts";
import {
  createVirtualCluster,
  type VirtualClusterOptions,
} from "./virtual_cluster.ts";

const ADDRESSES = {
  address: "127.0.0.1",
  proxyPort: 1,
  administrationPort: 2,
  linkPort: 3,
};
const TIMEOUT = { timeout: 60_000 };

function createFixture(
  context: TestContext,
  options: Partial<VirtualClusterOptions> = {},
) {
  const buffer = createEventBuffer(10_000, () => 0);
  const cluster = createVirtualCluster({
    seed: 1,
    domains: 2,
    daemonsPerDomain: 3,
    stepMilliseconds: 10,
    log: buffer.log,
    ...options,
  });
  context.after(() => cluster.dispose());
  const revertCounter = createRevertCounter(cluster);
  return {
    cluster,
    revertCounter,
    events: buffer.events,
    run: (duration: number) => cluster.run(duration, revertCounter.observe),
    sourceOf: (host: string) => cluster.daemons.get(host)!.source,
    versions: () =>
      [...cluster.daemons.values()].map(({ source }) => source.current.version),
    restart(hosts: readonly string[]) {
      hosts.forEach(cluster.stop);
      hosts.forEach(cluster.start);
    },
  };
}

test(
  "a restarted daemon is not ready below its version floor, so no host reverts to an older version",
  TIMEOUT,
  async (context) => {
    const fixture = createFixture(context);
    await fixture.run(1_000);
    appendChange(fixture.cluster, "a");
    await fixture.run(1_000);
    fixture.cluster.log.setFaults({ isDown: true });
    const [host, ...others] = fixture.cluster.hosts;
    others.forEach((other) => fixture.cluster.setHostCut(host, other, true));
    fixture.restart([host]);
    await fixture.run(15_000);
    assert.equal(fixture.sourceOf(host).isReady, false, "without any peer");
    others.forEach((other) => fixture.cluster.setHostCut(host, other, false));
    await fixture.run(2_000);
    assert.equal(fixture.sourceOf(host).isReady, true, "with peers");
    assert.equal(fixture.sourceOf(host).current.version, 0);
    assert.equal(fixture.revertCounter.reverts, 0);
  },
);

test(
  "a floor above the version of the peer holds until the missing entries arrive",
  TIMEOUT,
  async (context) => {
    const fixture = createFixture(context, { domains: 1, daemonsPerDomain: 2 });
    const [host, peer] = fixture.cluster.hosts;
    await fixture.run(500);
    fixture.cluster.setCut("d0", "platform", true);
    const peerNetwork = fixture.cluster.daemons.get(peer)!.network;
    const answer = { kind: "floor", hostVersion: 1, version: 0, isReady: true };
    peerNetwork.onRequest("floor-request", () => answer);
    fixture.restart([host]);
    const page = () =>
      fixture.cluster.log.read("configuration", { from: 0, now: 0 })!;
    const sendEntry = (offset: number) =>
      peerNetwork.send(host, {
        kind: "entries",
        version: 0,
        entries: [page().entries[offset]],
      } as LinkMessage);
    appendChange(fixture.cluster, "a");
    appendChange(fixture.cluster, "b");
    sendEntry(0);
    await fixture.run(1_000);
    assert.equal(fixture.sourceOf(host).current.version, 0);
    assert.equal(fixture.sourceOf(host).isReady, false);
    sendEntry(1);
    await fixture.run(100);
    assert.equal(fixture.sourceOf(host).isReady, true);
  },
);

test(
  "a daemon that knows of a higher version than its own does not confirm a floor",
  TIMEOUT,
  async (context) => {
    const fixture = createFixture(context, { domains: 1 });
    const [host, ahead, asker] = fixture.cluster.hosts.map((name) =>
      fixture.cluster.daemons.get(name)!.network
    );
    await fixture.run(500);
    fixture.cluster.setCut("d0", "platform", true);
    await fixture.run(10_000);
    const askFloor = async () => {
      const answer = asker.request(host.self.process.host, {
        kind: "floor-request",
      }, { timeoutMilliseconds: 500 });
      await fixture.run(100);
      return parseFloor((await answer).unwrap())?.isReady;
    };
    assert.equal(await askFloor(), true);
    ahead.send(
      host.self.process.host,
      {
        kind: "configuration-position",
        position: 9,
        version: 8,
      } as LinkMessage,
    );
    // The entries up to the announced position are not available.
    await fixture.run(3_000);
    assert.equal(await askFloor(), false);
  },
);

test(
  "a daemon that starts after entries have expired uses a snapshot and the entries after it",
  TIMEOUT,
  async (context) => {
    const fixture = createFixture(context, {
      domains: 1,
      daemonsPerDomain: 2,
      retentionMilliseconds: 20_000,
    });
    const entries = [];
    for (let index = 0; index < 40; index += 1) {
      appendChange(fixture.cluster, `c${index}`);
      await fixture.run(1_000);
      entries.push(
        ...fixture.cluster.log.read("configuration", {
          from: index,
          now: fixture.cluster.clock.now(),
        })!.entries,
      );
    }
    fixture.restart(fixture.cluster.hosts);
    await fixture.run(2_000);
    const expected = foldEntries(INITIAL_FOLD_STATE, entries).state;
    for (const { source } of fixture.cluster.daemons.values()) {
      assert.equal(source.isReady, true);
      assert.deepEqual(source.current, expected.configuration);
    }
    assert.equal(fixture.revertCounter.reverts, 0);
  },
);

test(
  "a running reader whose next entries have expired continues from a snapshot",
  TIMEOUT,
  async (context) => {
    const fixture = createFixture(context, {
      domains: 1,
      daemonsPerDomain: 2,
      retentionMilliseconds: 20_000,
    });
    const [slow, other] = fixture.cluster.hosts;
    appendChange(fixture.cluster, "before");
    await fixture.run(500);
    fixture.cluster.pause(slow);
    for (let index = 0; index < 40; index += 1) {
      appendChange(fixture.cluster, `c${index}`);
      await fixture.run(1_000);
    }
    fixture.cluster.resume(slow);
    fixture.cluster.setHostCut(slow, other, true);
    // Checked early: later the reader would load the snapshot anyway, because a new one is due.
    await fixture.run(1_000);
    assert.deepEqual(
      fixture.sourceOf(slow).current,
      fixture.sourceOf(other).current,
    );
    assert.equal(fixture.sourceOf(slow).current.version, 40);
    assert.equal(fixture.revertCounter.reverts, 0);
  },
);

test(
  "a malformed message of a faulty peer changes nothing",
  TIMEOUT,
  async (context) => {
    const fixture = createFixture(context, { domains: 1, daemonsPerDomain: 2 });
    appendChange(fixture.cluster, "a");
    await fixture.run(1_000);
    const [host, peer] = fixture.cluster.hosts;
    const { network } = fixture.cluster.daemons.get(peer)!;
    const before = fixture.sourceOf(host).current;
    const cases = [
      { kind: "configuration-position", position: "9", version: 1 },
      { kind: "entries", version: 1, entries: [{ offset: 1, record: "x" }] },
      { kind: "entries", entries: null },
    ];
    cases.forEach((message) => network.send(host, message));
    await fixture.run(1_000);
    assert.equal(fixture.sourceOf(host).current, before);
    assert.equal(fixture.sourceOf(host).position, 1);
    const answer = await Promise.race([
      network.request(host, { kind: "entries-request" }, {
        timeoutMilliseconds: 100,
      }),
      fixture.run(500),
    ]);
    assert.equal(answer?.ok && answer.val.kind, "state-needed");
  },
);

test(
  "a daemon too far behind the retained entries of its peers gets the whole state from one of them",
  TIMEOUT,
  async (context) => {
    const fixture = createFixture(context, { domains: 1, daemonsPerDomain: 3 });
    await fixture.run(500);
    for (let index = 0; index < 1_200; index += 1) {
      appendChange(fixture.cluster, `c${index}`);
      await fixture.run(10);
    }
    await fixture.run(500);
    fixture.cluster.log.setFaults({ isDown: true });
    fixture.restart(["d0-h0"]);
    await fixture.run(3_000);
    assert.equal(fixture.sourceOf("d0-h0").current.version, 1_199);
    assert.equal(fixture.sourceOf("d0-h0").isReady, true);
  },
);

test(
  "a daemon that resumes after a pause catches up, and no host reverts",
  TIMEOUT,
  async (context) => {
    const fixture = createFixture(context);
    await fixture.run(1_000);
    appendChange(fixture.cluster, "before");
    await fixture.run(500);
    const host = fixture.cluster.hosts[1];
    fixture.cluster.pause(host);
    await fixture.run(10_000);
    appendChange(fixture.cluster, "during");
    await fixture.run(500);
    assert.equal(fixture.sourceOf(host).current.version, 0);
    fixture.cluster.resume(host);
    await fixture.run(1_000);
    assert.deepEqual(new Set(fixture.versions()), new Set([1]));
    assert.ok(
      fixture.events.some(({ event }) => event === "distribution.resumed"),
    );
    assert.equal(fixture.revertCounter.reverts, 0);
  },
);

test(
  "random cuts, restarts and platform faults end in one state without a revert",
  TIMEOUT,
  async (context) => {
    for (const seed of [1, 2, 3, 4, 5, 6]) {
      const fixture = createFixture(context, { seed, domains: 3 });
      const random = createRandomSource(seed);
      const { cluster } = fixture;
      const pick = () =>
        cluster.hosts[random.nextInteger(cluster.hosts.length)];
      for (let step = 0; step < 60; step += 1) {
        appendChange(cluster, `${seed}-${step}`);
        cluster.setHostCut(pick(), pick(), random.nextInteger(3) > 0);
        cluster.log.setFaults({ isDown: random.nextInteger(4) === 0 });
        if (random.nextInteger(4) === 0) {
          fixture.restart([pick(), pick()]);
        }
        await fixture.run(random.nextInteger(600));
      }
      cluster.log.setFaults({ isDown: false });
      cluster.hosts.forEach((first) =>
        cluster.hosts.forEach((second) =>
          cluster.setHostCut(first, second, false)
        )
      );
      await fixture.run(8_000);
      const states = [...cluster.daemons.values()].map(({ source }) =>
        hashText(JSON.stringify([...source.current.services]))
      );
      assert.equal(new Set(states).size, 1, `seed ${seed}`);
      assert.equal(fixture.revertCounter.reverts, 0, `seed ${seed}`);
      cluster.dispose();
    }
  },
);

test(
  "the loss of all readers delays a change by less than the 6 s until they are declared dead",
  TIMEOUT,
  async () => {
    const figures = await measureConvergence({
      scenario: "reader-loss",
      domains: 2,
      daemonsPerDomain: 6,
      seeds: [1, 2],
      changesPerSeed: 2,
    });
    assert.ok(figures.p99Milliseconds < 2_500, `${figures.p99Milliseconds} ms`);
    assert.equal(figures.reverts, 0);
  },
);

test(
  "two daemons converge over HTTP with the system clock across an outage",
  TIMEOUT,
  async (context) => {
    const clock = SYSTEM_CLOCK;
    const log = createMemoryLog({ random: createRandomSource(1) });
    const server = await listenLogServer({
      log,
      clock,
      address: "127.0.0.1",
      port: 0,
    });
    const exchange = createMemoryTransport({ clock, latencyMilliseconds: 1 });
    const sources = ["a", "b"].map((host, index) => {
      const process = { host, startedAt: clock.now() };
      const network = exchange.createNetwork({ process, failureDomain: "d" });
      const logClient = createHttpLogClient({
        url: `http://127.0.0.1:${server.port}`,
      });
      const source = createConfigurationSource({
        self: { process, failureDomain: "d", addresses: ADDRESSES },
        directory: { localMembers: [], remoteMembers: [], departures: [] },
        network,
        logClient,
        clock,
        random: createRandomSource(index),
        log: SILENT_LOG,
      });
      context.after(() => {
        source.dispose();
        logClient.dispose();
        network.dispose();
      });
      return source;
    });
    context.after(() => server.dispose());
    const waitForVersion = async (version: number) => {
      const endAt = clock.now() + 5_000;
      while (sources.some(({ current }) => current.version < version)) {
        assert.ok(clock.now() < endAt, `version ${version} within 5 s`);
        await clock.sleep(20);
      }
    };
    appendChange({ log, clock }, "first");
    await waitForVersion(0);
    log.setFaults({ isDown: true });
    await clock.sleep(300);
    log.setFaults({ isDown: false });
    appendChange({ log, clock }, "second");
    await waitForVersion(1);
    assert.ok(sources.every(({ isReady }) => isReady));
    assert.equal(sources[0].findVerdict("second")?.status, "accepted");
  },
);
