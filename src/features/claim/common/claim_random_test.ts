import assert from "node:assert/strict";
import { test } from "node:test";
import { SILENT_LOG } from "../../../base/common/event_log.ts";
import { hashText } from "../../../base/common/hashing.ts";
import {
  createRandomSource,
  type RandomSource,
} from "../../../base/common/random_source.ts";
import { Err, Ok } from "../../../base/common/result.ts";
import { StepError } from "../../../base/common/step_error.ts";
import type { PeerNetwork } from "../../link/common/peer_network.ts";
import {
  createMembershipFleet,
  type FleetDaemon,
  type MembershipFleet,
} from "../../membership/common/membership_fleet.ts";
import type { Claim, ClaimClient } from "./claim_client.ts";
import { createKey } from "./claim_fleet.ts";
import { createClaimClient } from "./create_claim_client.ts";

const SEEDS = [
  100_356,
  1,
  2,
  3,
  5,
  8,
  13,
  21,
  34,
  55,
  89,
  144,
  233,
  377,
  610,
  987,
  1597,
];
const HOSTS = ["h0", "h1", "h2", "h3", "h4", "h5", "h6"];
const ROUNDS = 400;
const ROUND_MS = 200;

/** Drops some claim messages or their answers, and delivers others up to 5 s late. */
function createUnreliableNetwork(
  daemon: FleetDaemon,
  random: RandomSource,
): PeerNetwork {
  const { network, clock } = daemon;
  return {
    ...network,
    async request(host, message, options) {
      const chance = random.nextFraction();
      const lost = Err(new StepError("test", "lost", { outcome: "unknown" }));
      if (chance < 0.05) {
        return lost;
      }
      if (chance < 0.15) {
        // The requester times out, and the peer receives the message up to 5 s after it was sent.
        clock.schedule(
          random.nextFraction() * 5_000,
          () => void network.request(host, message, options),
        );
        await clock.sleep(options.timeoutMilliseconds);
        return lost;
      }
      const result = await network.request(host, message, options);
      return result.ok && chance > 0.95
        ? lost
        : result.ok
        ? Ok(result.val)
        : result;
    },
  };
}

interface Key {
  readonly text: string;
  holder: Claim | undefined;
  grants: number;
  releases: number;
}

interface Simulation {
  readonly fleet: MembershipFleet;
  readonly random: RandomSource;
  readonly clients: Map<string, ClaimClient>;
  readonly keys: Key[];
  readonly counts: Record<string, number>;
  readonly violations: string[];
}

function startDaemon(simulation: Simulation, host: string): void {
  const daemon = simulation.fleet.start(host);
  const client = createClaimClient({
    self: daemon.self,
    directory: daemon.directory,
    network: createUnreliableNetwork(daemon, simulation.random),
    clock: daemon.clock,
    log: SILENT_LOG,
  });
  simulation.clients.set(host, client);
}

/** Injects a random fault into the members or their connections and schedules its reversal. */
function injectFault(simulation: Simulation): void {
  const { fleet, random } = simulation;
  const host = HOSTS[random.nextInteger(HOSTS.length)];
  const other = HOSTS[random.nextInteger(HOSTS.length)];
  const daemon = fleet.daemons.get(host);
  const scheduleUndo = (run: () => void) =>
    fleet.clock.schedule(random.nextFraction() * 25_000, run);
  const endProcess = () => {
    simulation.clients.get(host)?.dispose();
    simulation.clients.delete(host);
    fleet.kill(host);
    scheduleUndo(() => startDaemon(simulation, host));
  };
  if (daemon === undefined || daemon.isPaused) {
    return;
  }
  switch (random.nextInteger(6)) {
    case 0:
      endProcess();
      break;
    case 1:
      daemon.directory.leave();
      endProcess();
      break;
    case 2:
    case 3:
      daemon.pause();
      scheduleUndo(() => daemon.resume());
      break;
    case 4:
      partition(simulation);
      break;
    default:
      if (host !== other) {
        fleet.exchange.cut(host, other);
        scheduleUndo(() => fleet.exchange.restore(host, other));
      }
  }
}

/** Partitions the failure domain into two sides for up to 40 s. */
function partition({ fleet, random }: Simulation): void {
  const side = new Map(HOSTS.map((host) => [host, random.nextInteger(2)]));
  const pairs = HOSTS.flatMap((first) =>
    HOSTS.filter((second) => side.get(first)! < side.get(second)!)
      .map((second) => [first, second] as const)
  );
  pairs.forEach(([first, second]) => fleet.exchange.cut(first, second));
  fleet.clock.schedule(
    random.nextFraction() * 40_000,
    () =>
      pairs.forEach(([first, second]) => fleet.exchange.restore(first, second)),
  );
}

function claimRandomKey(simulation: Simulation): void {
  const { fleet, random, keys, counts } = simulation;
  const clients = [...simulation.clients].filter(([host]) =>
    fleet.daemons.get(host)?.isPaused === false
  );
  if (clients.length === 0) {
    return;
  }
  if (keys.length === 0 || random.nextInteger(8) === 0) {
    // The clocks of callers and daemons differ by up to 2 s.
    const createdAt = Math.round(
      fleet.clock.now() + (random.nextFraction() - 0.5) * 4_000,
    );
    const text = createKey(createdAt, keys.length, "domain-1");
    keys.push({ text, holder: undefined, grants: 0, releases: 0 });
  }
  const recent = Math.min(keys.length, random.nextInteger(2) === 0 ? 10 : 120);
  const key = keys[keys.length - 1 - random.nextInteger(recent)];
  const [host, client] = clients[random.nextInteger(clients.length)];
  client.claim("customer", key.text).then((answer) => {
    counts[answer.kind] = (counts[answer.kind] ?? 0) + 1;
    if (answer.kind !== "granted") {
      return;
    }
    key.grants += 1;
    if (key.grants > key.releases + 1) {
      simulation.violations.push(`${key.text} granted again at ${host}`);
    }
    const { claim } = answer;
    const ending = random.nextInteger(4);
    if (ending === 0) {
      key.releases += 1;
      claim.release();
    } else if (ending === 1) {
      claim.complete();
    } else if (ending === 2) {
      claim.abandon();
    }
  });
}

async function runSimulation(seed: number): Promise<Simulation> {
  const simulation: Simulation = {
    fleet: createMembershipFleet({ seed, seeds: HOSTS }),
    random: createRandomSource(hashText(`claims ${seed}`)),
    clients: new Map(),
    keys: [],
    counts: {},
    violations: [],
  };
  HOSTS.forEach((host) => startDaemon(simulation, host));
  await simulation.fleet.advance(10_000);
  for (let round = 0; round < ROUNDS; round += 1) {
    if (simulation.random.nextInteger(12) === 0) {
      injectFault(simulation);
    }
    for (let count = 0; count < 4; count += 1) {
      claimRandomKey(simulation);
    }
    await simulation.fleet.advance(ROUND_MS);
  }
  return simulation;
}

test("no key is granted twice without a release, under restarts, pauses, partitions and lost or late messages", async () => {
  const total: Record<string, number> = {};
  for (const seed of SEEDS) {
    const { violations, counts } = await runSimulation(seed);
    assert.deepEqual(violations, [], `seed ${seed}`);
    for (const [kind, count] of Object.entries(counts)) {
      total[kind] = (total[kind] ?? 0) + count;
    }
  }
  for (const kind of ["granted", "claimed", "unknown", "unavailable"]) {
    assert.ok(total[kind] > 100, `${kind}: ${total[kind]}`);
  }
});
