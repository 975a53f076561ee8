import assert from "node:assert/strict";
import { createServer } from "node:net";
import { test, type TestContext } from "node:test";
import { createEventBuffer } from "../../../base/common/event_log.ts";
import { createRandomSource } from "../../../base/common/random_source.ts";
import { SYSTEM_CLOCK } from "../../../base/node/system_clock.ts";
import type { LinkTarget } from "../../link/common/peer_network.ts";
import { createPeerNetwork } from "../../link/node/peer_network.ts";
import { createDirectory } from "../../membership/common/create_directory.ts";
import { createKey } from "./claim_fleet.ts";
import { createClaimClient } from "./create_claim_client.ts";

const MAXIMUM_EVENTS = 2_000;

async function findPort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = server.address() as { port: number };
  await new Promise((resolve) => server.close(resolve));
  return port;
}

function startDaemon(
  { host, address, port }: LinkTarget,
  failureDomain: string,
  seeds: readonly LinkTarget[],
) {
  const buffer = createEventBuffer(MAXIMUM_EVENTS, () => SYSTEM_CLOCK.now());
  const base = {
    self: {
      process: { host, startedAt: SYSTEM_CLOCK.now() },
      failureDomain,
      addresses: {
        address,
        proxyPort: 1,
        administrationPort: 2,
        linkPort: port,
      },
    },
    clock: SYSTEM_CLOCK,
    random: createRandomSource(port),
    log: buffer.log,
  };
  const network = createPeerNetwork(base);
  const directory = createDirectory({ ...base, network, seeds });
  const client = createClaimClient({ ...base, network, directory });
  return {
    host,
    events: buffer.events,
    directory,
    client,
    dispose() {
      client.dispose();
      directory.dispose();
      network.dispose();
    },
  };
}

type TestDaemon = ReturnType<typeof startDaemon>;

/** Claims the key at a daemon; tells when and how it ended, and what the daemon then knew of its failure domain. */
async function traceClaim(
  { host, client, directory }: TestDaemon,
  key: string,
) {
  const claimedAt = SYSTEM_CLOCK.now();
  const answer = await client.claim("customer", key);
  const members = directory.localMembers.map(({ process }) => process.host);
  return {
    kind: answer.kind,
    description: [
      `${host}: ${answer.kind}`,
      "reason" in answer ? answer.reason : "",
      `${SYSTEM_CLOCK.now() - claimedAt} ms after ${claimedAt}`,
      `local members ${members.join()}`,
    ].join("; "),
  };
}

function printEvents(
  context: TestContext,
  daemons: readonly TestDaemon[],
  since: number,
): void {
  for (const { host, events } of daemons) {
    for (const { at, event, fields } of events) {
      if (at >= since) {
        context.diagnostic(`${host} ${at} ${event} ${JSON.stringify(fields)}`);
      }
    }
  }
}

async function waitFor(
  description: string,
  condition: () => boolean,
  limit: number,
) {
  const startedWaitingAt = SYSTEM_CLOCK.now();
  while (!condition()) {
    assert.ok(
      SYSTEM_CLOCK.now() - startedWaitingAt < limit,
      `${description} took ${limit} ms`,
    );
    await SYSTEM_CLOCK.sleep(20);
  }
}

test("links, membership and claims work together over real sockets", async (context) => {
  const targets: LinkTarget[] = [];
  for (const host of ["a1", "a2", "a3", "b1", "b2"]) {
    targets.push({ host, address: "127.0.0.1", port: await findPort() });
  }
  const seeds = [targets[0], targets[3]];
  const daemons = targets.map((target) =>
    startDaemon(target, `d${target.host[0]}`, seeds)
  );
  const upstream = {
    service: "s",
    version: "1",
    address: "127.0.0.1",
    port: 9_000,
    slots: 4,
    state: "ready" as const,
  };
  const local = daemons.slice(0, 3);
  const countInstances = () =>
    local.map(({ directory }) => directory.instances.length);
  try {
    daemons[1].directory.announce(upstream);
    await waitFor(
      "the join",
      () => countInstances().every((one) => one === 1),
      3_000,
    );
    daemons[1].directory.announce({ ...upstream, state: "draining" });
    await waitFor(
      "the drain",
      () => countInstances().every((one) => one === 0),
      3_000,
    );
    await waitFor(
      "contact with the other failure domain",
      () =>
        daemons[3].directory.remoteMembers.length > 0 &&
        daemons.every(({ directory }) =>
          SYSTEM_CLOCK.now() - directory.presentSince > 5_500
        ),
      15_000,
    );
    const key = createKey(SYSTEM_CLOCK.now(), 1, "da");
    // While an owner cannot be reached nothing is claimed, so the same key can be retried.
    const startedWaitingAt = SYSTEM_CLOCK.now();
    let first = await daemons[3].client.claim("customer", key);
    while (
      first.kind === "unavailable" &&
      SYSTEM_CLOCK.now() - startedWaitingAt < 10_000
    ) {
      first = await daemons[3].client.claim("customer", key);
    }
    assert.equal(first.kind, "granted");
    const repeats = await Promise.all(
      daemons.map((daemon) => traceClaim(daemon, key)),
    );
    if (repeats.some(({ kind }) => kind !== "claimed")) {
      repeats.forEach(({ description }) => context.diagnostic(description));
      printEvents(context, daemons, startedWaitingAt);
    }
    assert.deepEqual(
      repeats.map(({ kind }) => kind),
      daemons.map(() => "claimed"),
    );
  } finally {
    daemons.forEach((daemon) => daemon.dispose());
  }
});
