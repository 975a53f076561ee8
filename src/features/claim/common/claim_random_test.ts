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
import { createKey } from "./claim_session.ts";
import { createClaimClient } from "./create_claim_client.ts";

const SEEDS = [
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

/** Loses some claim messages or their answers, and delivers others seconds late. */
function createUnreliable(
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
        // Late: the requester has given up by the time at which the peer takes the message.
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

interface World {
  readonly fleet: MembershipFleet;
  readonly random: RandomSource;
  readonly clients: Map<string, ClaimClient>;
  readonly keys: Key[];
  readonly counts: Record<string, number>;
  readonly faults: string[];
}

function startDaemon(world: World, host: string): void {
  const daemon = world.fleet.start(host);
  const client = createClaimClient({
    self: daemon.self,
    directory: daemon.directory,
    network: createUnreliable(daemon, world.random),
    clock: daemon.clock,
    log: SILENT_LOG,
  });
  world.clients.set(host, client);
}

/** One change of the members or of their connections, most of them undone later. */
function disturb(world: World): void {
  const { fleet, random } = world;
  const host = HOSTS[random.nextInteger(HOSTS.length)];
  const other = HOSTS[random.nextInteger(HOSTS.length)];
  const daemon = fleet.daemons.get(host);
  const later = (run: () => void) =>
    fleet.clock.schedule(random.nextFraction() * 25_000, run);
  const end = () => {
    world.clients.get(host)?.dispose();
    world.clients.delete(host);
    fleet.kill(host);
    later(() => startDaemon(world, host));
  };
  if (daemon === undefined || daemon.isPaused) {
    return;
  }
  switch (random.nextInteger(6)) {
    case 0:
      end();
      break;
    case 1:
      daemon.directory.leave();
      end();
      break;
    case 2:
    case 3:
      daemon.pause();
      later(() => daemon.resume());
      break;
    case 4:
      split(world);
      break;
    default:
      if (host !== other) {
        fleet.exchange.cut(host, other);
        later(() => fleet.exchange.restore(host, other));
      }
  }
}

/** Cuts the failure domain into two parts for up to 40 s. */
function split({ fleet, random }: World): void {
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

function claimOne(world: World): void {
  const { fleet, random, keys, counts } = world;
  const clients = [...world.clients].filter(([host]) =>
    fleet.daemons.get(host)?.isPaused === false
  );
  if (clients.length === 0) {
    return;
  }
  if (keys.length === 0 || random.nextInteger(3) === 0) {
    // Callers' clocks differ from those of the daemons by up to 2 s.
    const createdAt = Math.round(
      fleet.clock.now() + (random.nextFraction() - 0.5) * 4_000,
    );
    const text = createKey(createdAt, keys.length, "domain-1");
    keys.push({ text, holder: undefined, grants: 0, releases: 0 });
  }
  const recent = Math.min(keys.length, 40);
  const key = keys[keys.length - 1 - random.nextInteger(recent)];
  const [host, client] = clients[random.nextInteger(clients.length)];
  client.claim("customer", key.text).then((answer) => {
    counts[answer.kind] = (counts[answer.kind] ?? 0) + 1;
    if (answer.kind !== "granted") {
      return;
    }
    key.grants += 1;
    if (key.grants > key.releases + 1) {
      world.faults.push(`${key.text} granted again at ${host}`);
    }
    const { claim } = answer;
    const fate = random.nextInteger(4);
    if (fate === 0) {
      key.releases += 1;
      claim.release();
    } else if (fate === 1) {
      claim.complete();
    } else if (fate === 2) {
      claim.abandon();
    }
  });
}

async function runSession(seed: number): Promise<World> {
  const world: World = {
    fleet: createMembershipFleet({ seed, seeds: HOSTS }),
    random: createRandomSource(hashText(`claims ${seed}`)),
    clients: new Map(),
    keys: [],
    counts: {},
    faults: [],
  };
  HOSTS.forEach((host) => startDaemon(world, host));
  await world.fleet.advance(10_000);
  for (let round = 0; round < ROUNDS; round += 1) {
    if (world.random.nextInteger(12) === 0) {
      disturb(world);
    }
    for (let count = 0; count < 4; count += 1) {
      claimOne(world);
    }
    await world.fleet.advance(ROUND_MS);
  }
  return world;
}

test("no key is granted twice without a release, whatever happens to owners and messages", async () => {
  const total: Record<string, number> = {};
  for (const seed of SEEDS) {
    const { faults, counts } = await runSession(seed);
    assert.deepEqual(faults, [], `seed ${seed}`);
    for (const [kind, count] of Object.entries(counts)) {
      total[kind] = (total[kind] ?? 0) + count;
    }
  }
  for (const kind of ["granted", "claimed", "unknown", "unavailable"]) {
    assert.ok(total[kind] > 100, `${kind}: ${total[kind]}`);
  }
});
