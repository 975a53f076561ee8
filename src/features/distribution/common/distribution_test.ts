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
  createRevertWatch,
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

function createBench(
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
  const watch = createRevertWatch(cluster);
  return {
    cluster,
    watch,
    events: buffer.events,
    run: (duration: number) => cluster.run(duration, watch.observe),
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
  "a restarted daemon is not ready below its floor, so no host goes back",
  TIMEOUT,
  async (context) => {
    const bench = createBench(context);
    await bench.run(1_000);
    appendChange(bench.cluster, "a");
    await bench.run(1_000);
    bench.cluster.log.setFaults({ isDown: true });
    const [host, ...others] = bench.cluster.hosts;
    others.forEach((other) => bench.cluster.setHostCut(host, other, true));
    bench.restart([host]);
    await bench.run(15_000);
    assert.equal(bench.sourceOf(host).isReady, false, "without any peer");
    others.forEach((other) => bench.cluster.setHostCut(host, other, false));
    await bench.run(2_000);
    assert.equal(bench.sourceOf(host).isReady, true, "with peers");
    assert.equal(bench.sourceOf(host).current.version, 0);
    assert.equal(bench.watch.reverts, 0);
  },
);

test(
  "a floor above the peer's own version holds until the missing entries arrive",
  TIMEOUT,
  async (context) => {
    const bench = createBench(context, { domains: 1, daemonsPerDomain: 2 });
    const [host, peer] = bench.cluster.hosts;
    await bench.run(500);
    bench.cluster.setCut("d0", "platform", true);
    const peerNetwork = bench.cluster.daemons.get(peer)!.network;
    const answer = { kind: "floor", hostVersion: 1, version: 0, isReady: true };
    peerNetwork.onRequest("floor-request", () => answer);
    bench.restart([host]);
    const page = () =>
      bench.cluster.log.read("configuration", { from: 0, now: 0 })!;
    const sendEntry = (offset: number) =>
      peerNetwork.send(host, {
        kind: "entries",
        version: 0,
        entries: [page().entries[offset]],
      } as LinkMessage);
    appendChange(bench.cluster, "a");
    appendChange(bench.cluster, "b");
    sendEntry(0);
    await bench.run(1_000);
    assert.equal(bench.sourceOf(host).current.version, 0);
    assert.equal(bench.sourceOf(host).isReady, false);
    sendEntry(1);
    await bench.run(100);
    assert.equal(bench.sourceOf(host).isReady, true);
  },
);

test(
  "a daemon that knows of a higher version than its own vouches for no floor",
  TIMEOUT,
  async (context) => {
    const bench = createBench(context, { domains: 1 });
    const [host, ahead, asker] = bench.cluster.hosts.map((name) =>
      bench.cluster.daemons.get(name)!.network
    );
    await bench.run(500);
    bench.cluster.setCut("d0", "platform", true);
    await bench.run(10_000);
    const askFloor = async () => {
      const answer = asker.request(host.self.process.host, {
        kind: "floor-request",
      }, { timeoutMilliseconds: 500 });
      await bench.run(100);
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
    // The entries that the position promises cannot be had.
    await bench.run(3_000);
    assert.equal(await askFloor(), false);
  },
);

test(
  "a start after the retention passed takes the snapshot and its tail",
  TIMEOUT,
  async (context) => {
    const bench = createBench(context, {
      domains: 1,
      daemonsPerDomain: 2,
      retentionMilliseconds: 20_000,
    });
    const entries = [];
    for (let index = 0; index < 40; index += 1) {
      appendChange(bench.cluster, `c${index}`);
      await bench.run(1_000);
      entries.push(
        ...bench.cluster.log.read("configuration", {
          from: index,
          now: bench.cluster.clock.now(),
        })!.entries,
      );
    }
    bench.restart(bench.cluster.hosts);
    await bench.run(2_000);
    const expected = foldEntries(INITIAL_FOLD_STATE, entries).state;
    for (const { source } of bench.cluster.daemons.values()) {
      assert.equal(source.isReady, true);
      assert.deepEqual(source.current, expected.configuration);
    }
    assert.equal(bench.watch.reverts, 0);
  },
);

test(
  "a running reader that retention has passed goes on from the snapshot",
  TIMEOUT,
  async (context) => {
    const bench = createBench(context, {
      domains: 1,
      daemonsPerDomain: 2,
      retentionMilliseconds: 20_000,
    });
    const [slow, other] = bench.cluster.hosts;
    appendChange(bench.cluster, "before");
    await bench.run(500);
    bench.cluster.pause(slow);
    for (let index = 0; index < 40; index += 1) {
      appendChange(bench.cluster, `c${index}`);
      await bench.run(1_000);
    }
    bench.cluster.resume(slow);
    bench.cluster.setHostCut(slow, other, true);
    // Later a due snapshot would be looked for in any case.
    await bench.run(1_000);
    assert.deepEqual(
      bench.sourceOf(slow).current,
      bench.sourceOf(other).current,
    );
    assert.equal(bench.sourceOf(slow).current.version, 40);
    assert.equal(bench.watch.reverts, 0);
  },
);

test(
  "a malformed message changes nothing, so that a faulty peer cannot do harm",
  TIMEOUT,
  async (context) => {
    const bench = createBench(context, { domains: 1, daemonsPerDomain: 2 });
    appendChange(bench.cluster, "a");
    await bench.run(1_000);
    const [host, peer] = bench.cluster.hosts;
    const { network } = bench.cluster.daemons.get(peer)!;
    const before = bench.sourceOf(host).current;
    const cases = [
      { kind: "configuration-position", position: "9", version: 1 },
      { kind: "entries", version: 1, entries: [{ offset: 1, record: "x" }] },
      { kind: "entries", entries: null },
    ];
    cases.forEach((message) => network.send(host, message));
    await bench.run(1_000);
    assert.equal(bench.sourceOf(host).current, before);
    assert.equal(bench.sourceOf(host).position, 1);
    const answer = await Promise.race([
      network.request(host, { kind: "entries-request" }, {
        timeoutMilliseconds: 100,
      }),
      bench.run(500),
    ]);
    assert.equal(answer?.ok && answer.val.kind, "state-needed");
  },
);

test(
  "a daemon beyond the entries of its peers takes the whole state from one of them",
  TIMEOUT,
  async (context) => {
    const bench = createBench(context, { domains: 1, daemonsPerDomain: 3 });
    await bench.run(500);
    for (let index = 0; index < 1_200; index += 1) {
      appendChange(bench.cluster, `c${index}`);
      await bench.run(10);
    }
    await bench.run(500);
    bench.cluster.log.setFaults({ isDown: true });
    bench.restart(["d0-h0"]);
    await bench.run(3_000);
    assert.equal(bench.sourceOf("d0-h0").current.version, 1_199);
    assert.equal(bench.sourceOf("d0-h0").isReady, true);
  },
);

test(
  "a paused daemon that wakes catches up and takes nobody back",
  TIMEOUT,
  async (context) => {
    const bench = createBench(context);
    await bench.run(1_000);
    appendChange(bench.cluster, "before");
    await bench.run(500);
    const host = bench.cluster.hosts[1];
    bench.cluster.pause(host);
    await bench.run(10_000);
    appendChange(bench.cluster, "during");
    await bench.run(500);
    assert.equal(bench.sourceOf(host).current.version, 0);
    bench.cluster.resume(host);
    await bench.run(1_000);
    assert.deepEqual(new Set(bench.versions()), new Set([1]));
    assert.ok(
      bench.events.some(({ event }) => event === "distribution.resumed"),
    );
    assert.equal(bench.watch.reverts, 0);
  },
);

test(
  "cuts, restarts and platform faults at random end in one state without a revert",
  TIMEOUT,
  async (context) => {
    for (const seed of [1, 2, 3, 4, 5, 6]) {
      const bench = createBench(context, { seed, domains: 3 });
      const random = createRandomSource(seed);
      const { cluster } = bench;
      const pick = () =>
        cluster.hosts[random.nextInteger(cluster.hosts.length)];
      for (let step = 0; step < 60; step += 1) {
        appendChange(cluster, `${seed}-${step}`);
        cluster.setHostCut(pick(), pick(), random.nextInteger(3) > 0);
        cluster.log.setFaults({ isDown: random.nextInteger(4) === 0 });
        if (random.nextInteger(4) === 0) {
          bench.restart([pick(), pick()]);
        }
        await bench.run(random.nextInteger(600));
      }
      cluster.log.setFaults({ isDown: false });
      cluster.hosts.forEach((first) =>
        cluster.hosts.forEach((second) =>
          cluster.setHostCut(first, second, false)
        )
      );
      await bench.run(8_000);
      const states = [...cluster.daemons.values()].map(({ source }) =>
        hashText(JSON.stringify([...source.current.services]))
      );
      assert.equal(new Set(states).size, 1, `seed ${seed}`);
      assert.equal(bench.watch.reverts, 0, `seed ${seed}`);
      cluster.dispose();
    }
  },
);

test(
  "the loss of all readers delays a change by less than the 6 s of a death",
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
  "two daemons converge over HTTP and the system clock through an outage",
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
