/**
 * A simulated fleet of claim clients in one process, whose membership views the caller sets; for
 * tests and measurements.
 *
 * @module
 */

import { VirtualClock } from "../../../base/common/clock.ts";
import { createEmitter } from "../../../base/common/emitter.ts";
import { SILENT_LOG } from "../../../base/common/event_log.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { HostIdentity } from "../../../world/common/host.ts";
import {
  type FailureDomainName,
  type HostName,
  NO_VERSION,
} from "../../../world/common/names.ts";
import { createMemoryTransport } from "../../link/common/memory_network.ts";
import type { Departure, Member } from "../../membership/common/directory.ts";
import type { ClaimAnswer, ClaimClient } from "./claim_client.ts";
import { createClaimClient } from "./create_claim_client.ts";

const STEP_MS: Milliseconds = 10;
const MICROTASK_TURNS = 30;
const TIMESTAMP_DIGITS = 12;
const COUNTER_DIGITS = 12;

/** Creates a key of a failure domain; the number distinguishes keys with the same timestamp. */
export function createKey(
  createdAt: Milliseconds,
  number: number,
  homeDomain: FailureDomainName = "d1",
): string {
  const time = createdAt.toString(16).padStart(TIMESTAMP_DIGITS, "0");
  const rest = number.toString(16).padStart(COUNTER_DIGITS, "0");
  return `${homeDomain}.${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${rest}`;
}

/** Lets pending promises settle, so that clients receive their answers. */
export async function settle(): Promise<void> {
  for (let turn = 0; turn < MICROTASK_TURNS; turn += 1) {
    await Promise.resolve();
  }
}

/** A daemon with its membership view, which tests change. */
export interface ClaimDaemon {
  readonly self: HostIdentity;
  readonly client: ClaimClient;
  members: Member[];
  remoteMembers: Member[];
  departures: Departure[];
  presentSince: Milliseconds;
}

export interface ClaimFleet {
  readonly clock: VirtualClock;
  readonly daemons: Map<HostName, ClaimDaemon>;
  readonly cut: (first: HostName, second: HostName) => void;
  readonly restore: (first: HostName, second: HostName) => void;
  /** Replaces the process of a host by a new one; all members see it immediately. */
  replace(host: HostName): void;
  /** Removes a host from the members of the observing daemons; all daemons by default. */
  depart(
    host: HostName,
    cause: Departure["cause"],
    observers?: readonly HostName[],
  ): void;
  /** Claims a key and advances the clock until the answer arrives. */
  claim(host: HostName, key: string): Promise<ClaimAnswer>;
  advance(duration: Milliseconds): Promise<void>;
}

export interface ClaimFleetOptions {
  readonly startAt: Milliseconds;
  readonly hosts: ReadonlyMap<HostName, FailureDomainName>;
  readonly claimLimit?: number;
}

export function createClaimFleet(options: ClaimFleetOptions): ClaimFleet {
  const clock = new VirtualClock(options.startAt);
  const exchange = createMemoryTransport({ clock, latencyMilliseconds: 1 });
  const daemons = new Map<HostName, ClaimDaemon>();

  function toMember({ self }: ClaimDaemon): Member {
    return {
      ...self,
      incarnation: 0,
      state: "alive",
      appliedVersion: NO_VERSION,
      upstreams: [],
    };
  }

  function start(host: HostName, failureDomain: FailureDomainName): void {
    const self: HostIdentity = {
      process: { host, startedAt: clock.now() },
      failureDomain,
      addresses: {
        address: host,
        proxyPort: 1,
        administrationPort: 2,
        linkPort: 3,
      },
    };
    const network = exchange.createNetwork(self);
    const changed = createEmitter<void>();
    const daemon: ClaimDaemon = {
      self,
      members: [],
      remoteMembers: [],
      departures: [],
      presentSince: clock.now(),
      client: createClaimClient({
        self,
        network,
        clock,
        log: SILENT_LOG,
        claimLimit: options.claimLimit,
        directory: {
          self,
          get localMembers() {
            return daemon.members;
          },
          get remoteMembers() {
            return daemon.remoteMembers;
          },
          get departures() {
            return daemon.departures;
          },
          get presentSince() {
            return daemon.presentSince;
          },
          instances: [],
          onChanged: changed.event,
          findMember: () => undefined,
          announce() {},
          leave() {},
          dispose() {},
        },
      }),
    };
    daemons.set(host, daemon);
  }

  function updateViews(): void {
    const all = [...daemons.values()].map(toMember);
    for (const daemon of daemons.values()) {
      const { failureDomain } = daemon.self;
      daemon.members = all.filter((one) => one.failureDomain === failureDomain);
      daemon.remoteMembers = all.filter((one) =>
        one.failureDomain !== failureDomain
      );
    }
  }

  function recordDeparture(
    host: HostName,
    cause: Departure["cause"],
    observers: Iterable<HostName>,
  ): void {
    const { process, failureDomain } = daemons.get(host)!.self;
    for (const observer of observers) {
      const daemon = daemons.get(observer)!;
      daemon.departures = [
        ...daemon.departures,
        { process, failureDomain, departedAt: clock.now(), cause },
      ];
    }
  }

  async function advance(duration: Milliseconds): Promise<void> {
    const endAt = clock.now() + duration;
    while (clock.now() < endAt) {
      clock.advance(Math.min(STEP_MS, endAt - clock.now()));
      await settle();
    }
  }

  options.hosts.forEach((domain, host) => start(host, domain));
  updateViews();
  return {
    clock,
    daemons,
    cut: exchange.cut,
    restore: exchange.restore,
    advance,
    replace(host) {
      const { failureDomain } = daemons.get(host)!.self;
      daemons.get(host)!.client.dispose();
      recordDeparture(host, "replaced", daemons.keys());
      start(host, failureDomain);
      updateViews();
    },
    depart(host, cause, observers = [...daemons.keys()]) {
      recordDeparture(host, cause, observers);
      for (const observer of observers) {
        const daemon = daemons.get(observer)!;
        daemon.members = daemon.members.filter(({ process }) =>
          process.host !== host
        );
      }
    },
    async claim(host, key) {
      let answer: ClaimAnswer | undefined;
      daemons.get(host)!.client.claim("customer", key).then((result) =>
        answer = result
      );
      await settle();
      while (answer === undefined) {
        await advance(STEP_MS);
      }
      return answer;
    },
  };
}
