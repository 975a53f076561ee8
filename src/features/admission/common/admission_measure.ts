/**
 * Measures the control traffic and the refused calls of admission in one failure domain, with
 * many controllers on an in-memory network and a virtual clock.
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
const STEADY_PHASE_MS: Milliseconds = 10_000;
const NEW_DEMAND_MS: Milliseconds = 3_000;
const LATENCY_MS: Milliseconds = 1;
const CALL_MS: Milliseconds = 40;
const CALL_INTERVAL_MS: Milliseconds = 100;
const RENEWAL_SPREAD_MS: Milliseconds = 400;
const SERVED_CUSTOMERS = 3;
const DOMAIN = "tacoma";

/** The first renewal interval after a daemon gets calls of a new customer. */
const FIRST_RENEWAL_MS: Milliseconds = 400;

export interface AdmissionMeasureOptions {
  readonly daemons: number;
  readonly customers: number;
  /** Returns the size of a message in msgpack format, in bytes. */
  readonly measure: (message: LinkMessage) => number;
}

export interface AdmissionMeasure {
  /** Bytes sent and received per second and daemon. */
  readonly meanBytesPerSecond: number;
  readonly highestBytesPerSecond: number;
  /** Requests that a daemon sends per second, on average. */
  readonly requestsPerSecond: number;
  /** Lease coordinators that a daemon contacts in the steady phase, on average. */
  readonly coordinators: number;
  /** Fractions of the offered calls that are refused although they are within the contract. */
  readonly steadyRefusedShare: number;
  readonly firstRefusedShare: number;
  readonly newDemandRefusedShare: number;
}

interface Daemon {
  readonly controller: AdmissionController;
  readonly network: MemoryNetwork;
  readonly contactedHosts: Set<string>;
  requests: number;
}

interface Calls {
  offered: number;
  refused: number;
}

/** Each daemon gets a call every 100 ms from each of 3 customers, then from one new customer. */
export async function measureAdmission(
  options: AdmissionMeasureOptions,
): Promise<AdmissionMeasure> {
  const clock = new TickClock(START_MS);
  const contracts = createContracts(options);
  const daemons = createDaemons(options, contracts, clock);
  const served = Math.min(SERVED_CUSTOMERS, contracts.length);

  async function run(
    duration: Milliseconds,
    firstOffset: number,
    customerCount: number,
  ): Promise<Calls> {
    const calls: Calls = { offered: 0, refused: 0 };
    for (let elapsed = 0; elapsed < duration; elapsed += 1) {
      daemons.forEach((daemon, index) => {
        if ((elapsed + index * 7) % CALL_INTERVAL_MS === 0) {
          for (
            let offset = firstOffset;
            offset < firstOffset + customerCount;
            offset += 1
          ) {
            const customer = (index * SERVED_CUSTOMERS + offset) %
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
  const bytesBefore = daemons.map(getTrafficBytes);
  daemons.forEach((daemon) => {
    daemon.requests = 0;
    daemon.contactedHosts.clear();
  });
  const steady = await run(STEADY_PHASE_MS, 0, served);
  const seconds = STEADY_PHASE_MS / 1_000;
  const rates = daemons.map((daemon, index) =>
    (getTrafficBytes(daemon) - bytesBefore[index]) / seconds
  );
  const traffic = {
    meanBytesPerSecond: mean(rates),
    highestBytesPerSecond: Math.max(...rates),
    requestsPerSecond: mean(daemons.map(({ requests }) => requests)) / seconds,
    coordinators: mean(
      daemons.map(({ contactedHosts }) => contactedHosts.size),
    ),
  };
  // An offset of half of the customers selects one that the daemon has not served yet.
  const newCustomerOffset = Math.floor(contracts.length / 2) + 1;
  const first = await run(FIRST_RENEWAL_MS, newCustomerOffset, 1);
  const rest = await run(
    NEW_DEMAND_MS - FIRST_RENEWAL_MS,
    newCustomerOffset,
    1,
  );
  // Waits for the calls that are still waiting for a lease.
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

/** Creates contracts whose limits are four times the calls that each customer makes. */
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
    measureBytes(message) {
      const size = sizes.get(message) ?? options.measure(message);
      sizes.set(message, size);
      return size;
    },
  });
  const configuration = createConfiguration(contracts);
  // The daemons have run long enough for all of their shares to be established.
  const members = Array.from(
    { length: options.daemons },
    (_, index) => createMember(`host-${index}`),
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
  const daemon = { requests: 0, contactedHosts: new Set<string>(), network };
  const controller = createAdmissionController({
    configuration: () => configuration,
    directory: createDirectory(self, context.members),
    network: {
      ...network,
      request(host, message, requestOptions) {
        daemon.requests += 1;
        daemon.contactedHosts.add(host);
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

function createMember(host: string): Member {
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

function getTrafficBytes({ network }: Daemon): number {
  return network.traffic.sentBytes + network.traffic.receivedBytes;
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
