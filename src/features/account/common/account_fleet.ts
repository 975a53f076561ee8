/**
 * Test fixture: a fleet of daemons that admit calls of accounts, on a virtual clock and a network in memory whose
 * faults are noticed late. Counts what the fleet admits.
 *
 * @module
 */

import { VirtualClock } from "../../../base/common/clock.ts";
import { SILENT_LOG } from "../../../base/common/event_log.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import {
  createRandomSource,
  type RandomSource,
} from "../../../base/common/random_source.ts";
import type {
  AccountLimit,
  ClientAccount,
} from "../../../world/common/client_account.ts";
import type { AccountName, HostName } from "../../../world/common/names.ts";
import { PausableClock } from "../../admission/common/pausable_clock.ts";
import {
  createMemoryTransport,
  type MemoryNetwork,
} from "../../link/common/memory_network.ts";
import type { PeerNetwork } from "../../link/common/peer_network.ts";
import { type AccountLimits, createAccountLimits } from "./account_limits.ts";

/** The next heartbeat of a host is overdue after up to this time in a fleet of 85. */
const OVERDUE_MS: Milliseconds = 1_500;
const HOSTS_READ_MS: Milliseconds = 1_000;
const WINDOW_MS: Milliseconds = 5_000;
const STEP_MS: Milliseconds = 10;
const WINDOW_STEPS = WINDOW_MS / STEP_MS;

export interface FleetAccount {
  readonly name: AccountName;
  readonly limit: AccountLimit;
  /** Calls per second of all clients together. */
  demand: number;
  /** The hosts at which its clients call. */
  hosts: readonly HostName[];
}

interface Daemon {
  readonly limits: AccountLimits;
  readonly network: MemoryNetwork;
  readonly clock: PausableClock;
  readonly startedAt: Milliseconds;
  /** When links to this daemon open after its start. */
  readonly linkedAt: Milliseconds;
}

interface Count {
  readonly perStep: number[];
  /** Level of a bucket with the limit: what it contains may be admitted. */
  reference: number;
  asked: number;
  owed: number;
  refusedOwed: number;
}

export interface AccountMeasurement {
  /** The most calls of a window beyond rate x 5 s + burst, as a part of what is allowed beyond; at most 1. */
  readonly excess: number;
  readonly admittedPerSecond: number;
  /** The part of the calls below the limit that was refused. */
  readonly refusedBelowLimit: number;
  /** The part of the calls below the limit in whose place no other call was admitted either. */
  readonly shortfall: number;
  readonly owed: number;
}

export type AccountFleet = ReturnType<typeof createAccountFleet>;

export function listHostNames(count: number): HostName[] {
  return Array.from({ length: count }, (_, index) => `h${index}`);
}

export function domainOf(host: HostName): string {
  return `d${Number(host.slice(1)) % 3}`;
}

export function createAccountFleet(
  {
    hosts,
    accounts,
    seed,
    latency = 4,
    oldHosts = [],
    unconfiguredHosts = [],
  }: {
    readonly hosts: readonly HostName[];
    readonly accounts: readonly FleetAccount[];
    readonly seed: number;
    /** How long a message takes. */
    readonly latency?: Milliseconds;
    /** Hosts whose daemons know no account messages. */
    readonly oldHosts?: readonly HostName[];
    /** Hosts whose daemons have no configuration yet. */
    readonly unconfiguredHosts?: readonly HostName[];
  },
) {
  const clock = new VirtualClock(1_000_000);
  const random = createRandomSource(seed);
  const bytes = { all: 0, acrossDomains: 0, messages: 0, hostReads: 0 };
  const transport = createMemoryTransport({
    clock,
    latencyMilliseconds: latency,
  });
  const daemons = new Map<HostName, Daemon>();
  const killedAt = new Map<HostName, Milliseconds>();
  const cutDomains = new Map<string, Milliseconds>();
  const counts = new Map<AccountName, Count>();
  let configured = new Map<AccountName, ClientAccount>(
    accounts.map(({ name, limit }) => [name, { name, keys: [], limit }]),
  );

  /** Returns since when two hosts have no link. */
  function lostSince(from: HostName, to: HostName): Milliseconds | undefined {
    const cut = domainOf(from) === domainOf(to)
      ? undefined
      : cutDomains.get(domainOf(from)) ?? cutDomains.get(domainOf(to));
    const starting = [from, to].some((host) =>
      clock.now() < (daemons.get(host)?.linkedAt ?? 0)
    );
    return killedAt.get(to) ?? cut ?? (starting ? -Infinity : undefined);
  }

  function isKnownAsLost(from: HostName, to: HostName): boolean {
    const since = lostSince(from, to);
    return since !== undefined && clock.now() - since > OVERDUE_MS;
  }

  function wrapNetwork(
    network: MemoryNetwork,
    pausable: PausableClock,
  ): PeerNetwork {
    const host = network.self.process.host;
    const send: PeerNetwork["send"] = (to, message) => {
      const size = JSON.stringify(message).length + 5;
      bytes.all += size;
      bytes.messages += 1;
      bytes.acrossDomains += domainOf(host) === domainOf(to) ? 0 : size;
      return lostSince(host, to) === undefined
        ? network.send(to, message)
        : !isKnownAsLost(host, to);
    };
    return {
      ...network,
      get peers() {
        return network.peers.filter(({ process }) =>
          lostSince(host, process.host) !== -Infinity
        );
      },
      send,
      sendToAll: (targets, message) =>
        targets.forEach((to) => send(to, message)),
      onMessage: (kind, handler) =>
        network.onMessage(
          kind,
          (peer, message) => pausable.whenRunning(() => handler(peer, message)),
        ),
    };
  }

  function start(host: HostName, linkDelay: Milliseconds = 0): void {
    killedAt.delete(host);
    const startedAt = clock.now();
    const pausable = new PausableClock(clock);
    const network = transport.createNetwork({
      process: { host, startedAt },
      failureDomain: domainOf(host),
    });
    network.setTargets(
      hosts.map((other) => ({ host: other, address: "", port: 0 })),
    );
    const limits = createAccountLimits({
      self: { host, failureDomain: domainOf(host), startedAt },
      clock: pausable,
      log: SILENT_LOG,
      network: oldHosts.includes(host)
        ? {
          ...wrapNetwork(network, pausable),
          onMessage: () => ({ dispose() {} }),
        }
        : wrapNetwork(network, pausable),
      random: createRandomSource(seed + startedAt + Number(host.slice(1))),
      loopDelay: () => 0,
      areHostsListed: () => true,
      listHosts() {
        bytes.hostReads += 1;
        return clock.now() - startedAt < HOSTS_READ_MS && startedAt > 1_000_000
          ? [{ host, isReachable: true }]
          : hosts.map((other) => ({
            host: other,
            isReachable: other === host || !isKnownAsLost(host, other),
          }));
      },
    });
    if (!unconfiguredHosts.includes(host)) {
      limits.setAccounts(configured);
    }
    daemons.set(host, {
      limits,
      network,
      clock: pausable,
      startedAt,
      linkedAt: startedAt + linkDelay,
    });
  }

  function kill(host: HostName): void {
    const daemon = daemons.get(host)!;
    killedAt.set(host, clock.now());
    daemons.delete(host);
    daemon.limits.dispose();
    daemon.network.dispose();
  }

  function offer(account: FleetAccount, count: Count): void {
    const { hosts: callers, name } = account;
    const host = callers[random.nextInteger(callers.length)];
    const daemon = daemons.get(host);
    if (daemon === undefined || daemon.clock.isPaused) {
      return;
    }
    count.asked += 1;
    const isOwed = count.reference >= 1;
    const { type } = oldHosts.includes(host)
      ? { type: "refused" }
      : daemon.limits.admit(name);
    if (isOwed) {
      count.reference -= 1;
      count.owed += 1;
      count.refusedOwed += type === "refused" ? 1 : 0;
    }
    if (type === "admitted") {
      count.perStep[count.perStep.length - 1] += 1;
    }
  }

  function runStep(): void {
    for (const account of accounts) {
      const count = counts.get(account.name)!;
      const { requestsPerSecond, burst } = configured.get(account.name)!.limit!;
      count.perStep.push(0);
      count.reference = Math.min(
        burst,
        count.reference + requestsPerSecond * STEP_MS / 1_000,
      );
      const calls = samplePoisson(account.demand * STEP_MS / 1_000, random);
      for (let call = 0; call < calls; call += 1) {
        offer(account, count);
      }
    }
    clock.advance(STEP_MS);
  }

  function resetCounts(): void {
    for (const { name, limit } of accounts) {
      counts.set(name, {
        perStep: [],
        reference: limit.burst,
        asked: 0,
        owed: 0,
        refusedOwed: 0,
      });
    }
  }

  hosts.forEach((host) => start(host));
  resetCounts();
  return {
    clock,
    bytes,
    start,
    kill,
    resetCounts,
    pause(host: HostName, duration: Milliseconds) {
      const { clock: pausable } = daemons.get(host)!;
      pausable.isPaused = true;
      clock.schedule(duration, () => pausable.resume());
    },
    cut(domain: string, duration: Milliseconds) {
      cutDomains.set(domain, clock.now());
      clock.schedule(duration, () => cutDomains.delete(domain));
    },
    setLimit(name: AccountName, limit: AccountLimit) {
      configured = new Map(configured).set(name, { name, keys: [], limit });
      daemons.forEach(({ limits }) => limits.setAccounts(configured));
    },
    clearAccounts: () =>
      daemons.forEach(({ limits }) => limits.setAccounts(undefined)),
    run(duration: Milliseconds) {
      for (let elapsed = 0; elapsed < duration; elapsed += STEP_MS) {
        runStep();
      }
    },
    measure(name: AccountName, limit: AccountLimit): AccountMeasurement {
      const count = counts.get(name)!;
      const usual = limit.requestsPerSecond * WINDOW_MS / 1_000 + limit.burst;
      const admitted = count.perStep.reduce((sum, calls) => sum + calls, 0);
      return {
        excess: (findLargestWindow(count.perStep) - usual) / (usual * 0.1 + 20),
        admittedPerSecond: admitted / (count.perStep.length * STEP_MS / 1_000),
        shortfall: Math.max(0, 1 - admitted / Math.max(1, count.owed)),
        refusedBelowLimit: count.refusedOwed / Math.max(1, count.owed),
        owed: count.owed,
      };
    },
  };
}

function findLargestWindow(perStep: readonly number[]): number {
  let sum = 0;
  let largest = 0;
  perStep.forEach((calls, index) => {
    sum += calls - (perStep[index - WINDOW_STEPS] ?? 0);
    largest = Math.max(largest, sum);
  });
  return largest;
}

function samplePoisson(mean: number, random: RandomSource): number {
  const limit = Math.exp(-mean);
  let count = -1;
  for (let product = 1; product > limit; count += 1) {
    product *= random.nextFraction();
  }
  return count;
}
