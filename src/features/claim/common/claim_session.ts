/**
 * Claim clients of two failure domains in one process, whose view of the members a session sets,
 * for tests and measurements.
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
const SETTLE_TURNS = 30;
const TIMESTAMP_DIGITS = 12;
const COUNTER_DIGITS = 12;

/** A key of a failure domain; the number tells keys of the same time apart. */
export function createKey(
  createdAt: Milliseconds,
  number: number,
  home: FailureDomainName = "d1",
): string {
  const time = createdAt.toString(16).padStart(TIMESTAMP_DIGITS, "0");
  const rest = number.toString(16).padStart(COUNTER_DIGITS, "0");
  return `${home}.${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${rest}`;
}

/** Lets the answers between clients settle. */
export async function settle(): Promise<void> {
  for (let turn = 0; turn < SETTLE_TURNS; turn += 1) {
    await Promise.resolve();
  }
}

/** What one daemon sees; a session changes it. */
export interface SessionDaemon {
  readonly self: HostIdentity;
  readonly client: ClaimClient;
  members: Member[];
  remoteMembers: Member[];
  departures: Departure[];
  presentSince: Milliseconds;
}

export interface ClaimSession {
  readonly clock: VirtualClock;
  readonly daemons: Map<HostName, SessionDaemon>;
  readonly cut: (first: HostName, second: HostName) => void;
  readonly restore: (first: HostName, second: HostName) => void;
  /** Ends a process and starts another one on its host, as all members see at once. */
  replace(host: HostName): void;
  /** Removes a host from the members of the daemons that see it go. */
  depart(
    host: HostName,
    cause: Departure["cause"],
    seenBy?: readonly HostName[],
  ): void;
  /** Claims and waits for the answer. */
  claim(host: HostName, key: string): Promise<ClaimAnswer>;
  advance(duration: Milliseconds): Promise<void>;
}

export interface ClaimSessionOptions {
  readonly startAt: Milliseconds;
  readonly hosts: ReadonlyMap<HostName, FailureDomainName>;
  readonly claimLimit?: number;
}

export function createClaimSession(options: ClaimSessionOptions): ClaimSession {
  const clock = new VirtualClock(options.startAt);
  const exchange = createMemoryTransport({ clock, latencyMilliseconds: 1 });
  const daemons = new Map<HostName, SessionDaemon>();

  function toMember({ self }: SessionDaemon): Member {
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
    const daemon: SessionDaemon = {
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

  function refresh(): void {
    const all = [...daemons.values()].map(toMember);
    for (const daemon of daemons.values()) {
      const { failureDomain } = daemon.self;
      daemon.members = all.filter((one) => one.failureDomain === failureDomain);
      daemon.remoteMembers = all.filter((one) =>
        one.failureDomain !== failureDomain
      );
    }
  }

  function noteDeparture(
    host: HostName,
    cause: Departure["cause"],
    seenBy: Iterable<HostName>,
  ): void {
    const { process, failureDomain } = daemons.get(host)!.self;
    for (const observer of seenBy) {
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
  refresh();
  return {
    clock,
    daemons,
    cut: exchange.cut,
    restore: exchange.restore,
    advance,
    replace(host) {
      const { failureDomain } = daemons.get(host)!.self;
      daemons.get(host)!.client.dispose();
      noteDeparture(host, "replaced", daemons.keys());
      start(host, failureDomain);
      refresh();
    },
    depart(host, cause, seenBy = [...daemons.keys()]) {
      noteDeparture(host, cause, seenBy);
      for (const observer of seenBy) {
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
