import assert from "node:assert/strict";
import { test } from "node:test";
import { appendChange } from "./convergence_measure.ts";
import { STATE_ANSWERS_PER_WINDOW, STATE_WINDOW_MS } from "./peer_sync.ts";
import { createVirtualCluster } from "./virtual_cluster.ts";

async function startCluster(daemonsPerDomain: number) {
  const cluster = createVirtualCluster({
    seed: 1,
    domains: 1,
    daemonsPerDomain,
    stepMilliseconds: 10,
  });
  await cluster.run(500);
  return cluster;
}

test("a daemon limits the states that it sends per window and refuses further requests", async () => {
  const cluster = await startCluster(2);
  const [host, asker] = cluster.hosts;
  const { network } = cluster.daemons.get(asker)!;
  const ask = async (count: number) => {
    const answers = Array.from(
      { length: count },
      () =>
        network.request(host, { kind: "state-request" }, {
          timeoutMilliseconds: 400,
        }),
    );
    await cluster.run(100);
    const kinds = await Promise.all(answers);
    return kinds.filter((answer) => answer.unwrap().kind === "state").length;
  };
  assert.equal(
    await ask(STATE_ANSWERS_PER_WINDOW + 3),
    STATE_ANSWERS_PER_WINDOW,
  );
  assert.equal(await ask(1), 0);
  await cluster.run(STATE_WINDOW_MS);
  assert.equal(await ask(1), 1);
  cluster.dispose();
});

test(
  "daemons that need the whole state all get it, although their peers refuse some",
  { timeout: 60_000 },
  async () => {
    const cluster = await startCluster(24);
    for (let index = 0; index < 1_200; index += 1) {
      appendChange(cluster, `c${index}`);
      await cluster.run(10);
    }
    await cluster.run(1_000);
    cluster.log.setFaults({ isDown: true });
    const restarted = cluster.hosts.slice(2);
    restarted.forEach(cluster.stop);
    restarted.forEach(cluster.start);
    await cluster.run(5_000);
    for (const host of restarted) {
      const { source } = cluster.daemons.get(host)!;
      assert.equal(source.current.version, 1_199, host);
      assert.equal(source.isReady, true, host);
    }
    cluster.dispose();
  },
);
