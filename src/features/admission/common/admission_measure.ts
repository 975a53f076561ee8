/**
 * What admission costs and refuses in one failure domain, measured with many controllers over
 * a memory exchange under a virtual clock.
 *
 * @module
 */

import { SILENT_LOG } from "../../../base/common/event_log.ts";
import { createEmitter } from "../../../base/common/emitter.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import {
  type Configuration,
  EMPTY_CONFIGURATION,
} from "../../../world/common/configuration.ts";
import type { Contract } from "../../../world/common/contract.ts";
import type { HostIdentity } from "../../../world/common/host.ts";
import {
  createMemoryTransport,
  type MemoryNetwork,
} from "../../link/common/memory_network.ts";
import type { LinkMessage } from "../../link/common/peer_network.ts";
import type { Directory, Member } from "../../membership/common/directory.ts";
import type { AdmissionController } from "./admission.ts";
import { createAdmissionController } from "./admission_controller.ts";
import { TickClock } from "./tick_clock.ts";

const START_MS: Milliseconds = 1_000_000;
const WARM_UP_MS: Milliseconds = 12_000;
const STEADY_MS: Milliseconds = 10_000;
const NEW_DEMAND_MS: Milliseconds = 3_000;
const LATENCY_MS: Milliseconds = 1;
const CALL_MS: Milliseconds = 40;
const CALL_INTERVAL_MS: Milliseconds = 100;
const RENEWAL_SPREAD_MS: Milliseconds = 400;
const SERVED_CUSTOMERS = 3;
const DOMAIN = "tacoma";

/** Calls within the first renewal period of a new demand. */
const FIRST_MS: Milliseconds = 400;

export interface AdmissionMeasureOptions {
  readonly daemons: number;
  readonly customers: number;
  /** The size of the msgpack form of a message in bytes. */
  readonly measure: (message: LinkMessage) => number;
}

export interface AdmissionMeasure {
  /** Sent and received together, for each daemon and second. */
  readonly meanBytesPerSecond: number;
  readonly highestBytesPerSecond: number;
  /** Requests that a daemon sends. */
  readonly requestsPerSecond: number;
  /** Holders that a daemon contacts in the steady part, on average. */
  readonly coordinators: number;
  /** Shares of calls within the contract. */
  readonly steadyRefusedShare: number;
  readonly firstRefusedShare: number;
  readonly newDemandRefusedShare: number;
}

interface Daemon {
  readonly controller: AdmissionController;
  readonly network: MemoryNetwork;
  readonly contacted: Set<string>;
  requests: number;
}

interface Calls {
  offered: number;
  refused: number;
}

/** Each daemon serves 3 customers; later it gets a call each 100 ms of one more. */
export async function measureAdmission(
  options: AdmissionMeasureOptions,
): Promise<AdmissionMeasure> {
  const clock = new TickClock(START_MS);
  const contracts = createContracts(options);
  const daemons = createDaemons(options, contracts, clock);
  const served = Math.min(SERVED_CUSTOMERS, contracts.length);

  async function run(
    duration: Milliseconds,
    first: number,
    count: number,
  ): Promise<Calls> {
    const calls: Calls = { offered: 0, refused: 0 };
    for (let elapsed = 0; elapsed < duration; elapsed += 1) {
      daemons.forEach((daemon, index) => {
        if ((elapsed + index * 7) % CALL_INTERVAL_MS === 0) {
          for (let place = first; place < first + count; place += 1) {
            const customer = (index * SERVED_CUSTOMERS + place) %
              contracts.length;
            offer(daemon, contracts[customer], calls, clock);
          }
        }
      });
      await clock.tick();
    }
    return calls;
  }

  await run(WARM_UP_MS, 0, served);
  const before = daemons.map(bytesOf);
  daemons.forEach((daemon) => {
    daemon.requests = 0;
    daemon.contacted.clear();
  });
  const steady = await run(STEADY_MS, 0, served);
  const seconds = STEADY_MS / 1_000;
  const rates = daemons.map((daemon, index) =>
    (bytesOf(daemon) - before[index]) / seconds
  );
  const traffic = {
    meanBytesPerSecond: mean(rates),
    highestBytesPerSecond: Math.max(...rates),
    requestsPerSecond: mean(daemons.map(({ requests }) => requests)) / seconds,
    coordinators: mean(daemons.map(({ contacted }) => contacted.size)),
  };
  // Half of the customers on, so that a daemon gets calls of one that it did not serve.
  const fresh = Math.floor(contracts.length / 2) + 1;
  const first = await run(FIRST_MS, fresh, 1);
  const rest = await run(NEW_DEMAND_MS - FIRST_MS, fresh, 1);
  // Calls that still wait for their lease.
  await run(CALL_INTERVAL_MS + 1, 0, 0);
  daemons.forEach(({ controller }) => controller.dispose());
  return {
    ...traffic,
    steadyRefusedShare: steady.refused / steady.offered,
    firstRefusedShare: first.refused / first.offered,
    newDemandRefusedShare: (first.refused + rest.refused) /
      (first.offered + rest.offered),
  };
}

function offer(
  daemon: Daemon,
  contract: Contract,
  calls: Calls,
  clock: TickClock,
): void {
  calls.offered += 1;
  daemon.controller.admitWaitingForLease(contract).then((answer) => {
    if (answer.admitted) {
      clock.schedule(CALL_MS, () => answer.permit.dispose());
    } else {
      calls.refused += 1;
    }
  });
}

/** Limits of four times the calls that are offered to each customer. */
function createContracts(
  { daemons, customers }: AdmissionMeasureOptions,
): Contract[] {
  const callers = Math.max(
    1,
    daemons * Math.min(SERVED_CUSTOMERS, customers) / customers,
  );
  const rate = 4 * callers * 1_000 / CALL_INTERVAL_MS;
  return Array.from({ length: customers }, (_, index) => ({
    customer: `customer-${index}`,
    routes: ["availability"],
    limits: {
      requestsPerSecond: rate,
      concurrency: Math.ceil(rate),
      retryShare: 0.1,
    },
  }));
}

function createDaemons(
  options: AdmissionMeasureOptions,
  contracts: readonly Contract[],
  clock: TickClock,
): Daemon[] {
  const sizes = new WeakMap<LinkMessage, number>();
  const exchange = createMemoryTransport({
    clock,
    latencyMilliseconds: LATENCY_MS,
    measure(message) {
      const size = sizes.get(message) ?? options.measure(message);
      sizes.set(message, size);
      return size;
    },
  });
  const configuration = createConfiguration(contracts);
  // The daemons are old, so that all parts are established.
  const members = Array.from(
    { length: options.daemons },
    (_, index) => memberOf(`host-${index}`),
  );
  return members.map((self, index) => {
    clock.advanceTo(
      START_MS + Math.floor(index * RENEWAL_SPREAD_MS / members.length),
    );
    return createDaemon(self, { configuration, members, clock, exchange });
  });
}

function createDaemon(self: Member, { configuration, ...context }: {
  configuration: Configuration;
  members: readonly Member[];
  clock: TickClock;
  exchange: ReturnType<typeof createMemoryTransport>;
}): Daemon {
  const network = context.exchange.createNetwork(self);
  const daemon = { requests: 0, contacted: new Set<string>(), network };
  const controller = createAdmissionController({
    configuration: () => configuration,
    directory: createDirectory(self, context.members),
    network: {
      ...network,
      request(host, message, requestOptions) {
        daemon.requests += 1;
        daemon.contacted.add(host);
        return network.request(host, message, requestOptions);
      },
    },
    clock: context.clock,
    log: SILENT_LOG,
  });
  return Object.assign(daemon, { controller });
}

function createConfiguration(contracts: readonly Contract[]): Configuration {
  return {
    ...EMPTY_CONFIGURATION,
    version: 1,
    failureDomains: new Set([DOMAIN]),
    contracts: new Map(
      contracts.map((contract) => [contract.customer, contract]),
    ),
  };
}

function memberOf(host: string): Member {
  return {
    process: { host, startedAt: START_MS - 600_000 },
    failureDomain: DOMAIN,
    addresses: {
      address: "10.0.0.1",
      proxyPort: 0,
      administrationPort: 0,
      linkPort: 0,
    },
    incarnation: 0,
    state: "alive",
    appliedVersion: 1,
    upstreams: [],
  };
}

function createDirectory(
  self: HostIdentity,
  members: readonly Member[],
): Directory {
  return {
    self,
    localMembers: members,
    remoteMembers: [],
    departures: [],
    instances: [],
    onChanged: createEmitter<void>().event,
    findMember: (host) => members.find(({ process }) => process.host === host),
    announce() {},
    leave() {},
    dispose() {},
  };
}

function bytesOf({ network }: Daemon): number {
  return network.traffic.sentBytes + network.traffic.receivedBytes;
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
