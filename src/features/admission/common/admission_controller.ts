/**
 * A daemon's admission controller: it keeps an account for each customer and acts as lease
 * coordinator for the other daemons of its failure domain.
 *
 * @module
 */

import type { Clock } from "../../../base/common/clock.ts";
import {
  createDisposable,
  createDisposableStore,
  type Disposable,
} from "../../../base/common/disposable.ts";
import type { EventLog } from "../../../base/common/event_log.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { Configuration } from "../../../world/common/configuration.ts";
import type { Contract } from "../../../world/common/contract.ts";
import { createWaitingCalls, LEASE_WAIT_MS } from "./waiting_calls.ts";
import {
  type CustomerName,
  type HostName,
  NO_VERSION,
} from "../../../world/common/names.ts";
import type { Peer, PeerNetwork } from "../../link/common/peer_network.ts";
import type { Directory } from "../../membership/common/directory.ts";
import type { Admission, AdmissionController } from "./admission.ts";
import {
  type CoordinatorIdentity,
  createCustomerAccount,
  type CustomerAccount,
  isSameCoordinator,
} from "./customer_account.ts";
import { createLeaseCoordinators } from "./lease_coordinators.ts";
import {
  grantLease,
  type LeaseLedger,
  recordIdlePledge,
} from "./lease_ledger.ts";
import {
  type CustomerLeaseRequest,
  isLeaseGrant,
  isLeaseRequest,
  LEASE_GRANT,
  LEASE_MS,
  LEASE_REQUEST,
  type LeaseGrant,
  type LeaseRequest,
} from "./lease_messages.ts";
import {
  chooseRequest,
  computeNextPledgeTime,
  type DueCustomers,
  EARLY_REQUEST_BATCH_MS,
  EARLY_REQUEST_INTERVAL_MS,
  getDueCustomers,
  isLargeDomain,
  mayBeLargeDomain,
  RENEWAL_MS,
} from "./lease_schedule.ts";
import {
  computeEntitlement,
  computeQuota,
  countHosts,
  ESTABLISHMENT_DELAY_MS,
  findEstablishedLimits,
  type MembershipView,
} from "./quota.ts";
import { createRequestOrder } from "./request_order.ts";
import { createSuspectTracker } from "./suspect_tracker.ts";

/** A later response would be useful for less than half of the lease. */
const REQUEST_TIMEOUT_MS: Milliseconds = 500;

export interface AdmissionControllerOptions {
  readonly configuration: () => Configuration;
  readonly directory: Directory;
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly log: EventLog;
}

export function createAdmissionController(
  options: AdmissionControllerOptions,
): AdmissionController {
  const { configuration, directory, network, clock } = options;
  const self = directory.self;
  const ownIdentity: CoordinatorIdentity = {
    host: self.process.host,
    epoch: self.process.startedAt,
  };
  const accounts = new Map<CustomerName, CustomerAccount>();
  const ledgers = new Map<CustomerName, LeaseLedger>();
  const requestOrder = createRequestOrder();
  const pendingCoordinators = new Set<HostName>();
  const disposables = createDisposableStore();
  const coordinators = createLeaseCoordinators(
    directory,
    ownIdentity,
  );
  const earlyCustomers = new Set<CustomerName>();
  const waitingCalls = createWaitingCalls(clock);
  let lastEarlyFlushAt = -Infinity;
  let earlyTimer: Disposable | undefined;
  let sequence = 0;
  let isLarge = false;

  function findLongestCall(customer: CustomerName): Milliseconds {
    const { contracts, routes } = configuration();
    const names = contracts.get(customer)?.routes ?? [];
    return Math.max(
      0,
      ...names.map((name) => routes.get(name)?.deadlineMilliseconds ?? 0),
    );
  }

  function getAccount(contract: Contract): CustomerAccount {
    let account = accounts.get(contract.customer);
    if (account === undefined) {
      account = createCustomerAccount({
        customer: contract.customer,
        now: clock.now(),
        longestCall: () => findLongestCall(contract.customer),
        isLarge: () => isLarge,
      });
      accounts.set(contract.customer, account);
      updateEntitlement(contract, account);
    }
    return account;
  }

  const suspectTracker = createSuspectTracker();
  const view: MembershipView = {
    self,
    get localMembers() {
      return directory.localMembers;
    },
    get departures() {
      return directory.departures;
    },
    suspectedAt: suspectTracker.suspectedAt,
  };

  function updateEntitlement(
    contract: Contract,
    account: CustomerAccount,
    hosts: number = countHosts(directory),
  ): void {
    const now = clock.now();
    const quota = computeQuota(
      contract.limits,
      configuration().failureDomains,
      self.failureDomain,
    );
    const establishedLimits = findEstablishedLimits(
      view,
      now,
      findLongestCall(contract.customer),
      hasLongPledges(hosts),
    );
    account.setEntitlement(
      computeEntitlement(quota, hosts, establishedLimits),
      now,
    );
  }

  /**
   * Whether other daemons may have long pledges. A daemon without a configuration does not know
   * how many customers they have.
   */
  function hasLongPledges(hosts: number): boolean {
    const { contracts, version } = configuration();
    return version === NO_VERSION || mayBeLargeDomain(hosts, contracts.size);
  }

  function updateAllEntitlements(): void {
    suspectTracker.update(directory.localMembers, clock.now());
    const { contracts } = configuration();
    const hosts = countHosts(directory);
    isLarge = isLargeDomain(hosts, contracts.size);
    for (const contract of contracts.values()) {
      updateEntitlement(contract, getAccount(contract), hosts);
    }
    for (const [customer, account] of accounts) {
      if (!contracts.has(customer) && account.inFlight === 0) {
        accounts.delete(customer);
      }
    }
  }

  function findCoordinator(customer: CustomerName): CoordinatorIdentity {
    return coordinators.find(customer, isLarge);
  }

  function renewLeases(): void {
    updateAllEntitlements();
    const now = clock.now();
    const due = new Map<HostName, DueCustomers>();
    for (const [customer, account] of accounts) {
      const coordinator = findCoordinator(customer);
      const kind = chooseRequest(account, { coordinator, now, isLarge });
      if (kind !== "none") {
        getDueCustomers(due, coordinator, kind).push(customer);
      }
    }
    sendDue(due);
  }

  /** Sends the due requests, except to coordinators with a request in flight. */
  function sendDue(due: Map<HostName, DueCustomers>): void {
    for (const customers of due.values()) {
      if (!pendingCoordinators.has(customers.coordinator.host)) {
        requestLeases(customers);
      }
    }
  }

  /** Requests a lease without waiting for the next renewal, because a call needs one. */
  function requestLeaseEarly(
    customer: CustomerName,
    account: CustomerAccount,
  ): void {
    if (clock.now() - account.lastLeaseRequestAt < EARLY_REQUEST_INTERVAL_MS) {
      return;
    }
    earlyCustomers.add(customer);
    if (earlyCustomers.size === 1) {
      const delay = lastEarlyFlushAt + EARLY_REQUEST_BATCH_MS - clock.now();
      earlyTimer = clock.schedule(Math.max(0, delay), sendEarlyRequests);
    }
  }

  function sendEarlyRequests(): void {
    lastEarlyFlushAt = clock.now();
    const due = new Map<HostName, DueCustomers>();
    for (const customer of earlyCustomers) {
      if (accounts.has(customer)) {
        getDueCustomers(due, findCoordinator(customer), "lease").push(customer);
      }
    }
    earlyCustomers.clear();
    sendDue(due);
  }

  function requestLeases({ coordinator, lease, pledge }: DueCustomers): void {
    const sentAt = clock.now();
    const asks = lease.map((customer) =>
      accounts.get(customer)!.prepareLeaseRequest(coordinator, sentAt)
    );
    sequence += 1;
    const request: LeaseRequest = {
      kind: LEASE_REQUEST,
      epoch: coordinator.epoch,
      sequence,
      asks,
      ...(pledge.length === 0 ? {} : {
        idle: pledge.map((customer) =>
          accounts.get(customer)!.preparePledge(coordinator, sentAt)
        ),
      }),
    };
    if (isSameCoordinator(coordinator, ownIdentity)) {
      applyResponse(
        grantLeases(self, request),
        { coordinator, lease, pledge },
        sentAt,
      );
      return;
    }
    pendingCoordinators.add(coordinator.host);
    network.request(coordinator.host, request, {
      timeoutMilliseconds: REQUEST_TIMEOUT_MS,
    }).then((result) => {
      pendingCoordinators.delete(coordinator.host);
      if (result.ok && isLeaseGrant(result.val)) {
        applyResponse(result.val, { coordinator, lease, pledge }, sentAt);
      } else if (result.err) {
        options.log.write("debug", "admission.lease-missing", {
          step: result.val.step,
          peer: coordinator.host,
          message: result.val.message,
        });
      }
    });
  }

  function applyResponse(
    response: LeaseGrant,
    { coordinator: { host }, pledge }: DueCustomers,
    sentAt: Milliseconds,
  ): void {
    const receivedAt = clock.now();
    const coordinator = { host, epoch: response.epoch };
    const { time } = response;
    for (const { customer, amount, leaseMilliseconds } of response.grants) {
      accounts.get(customer)?.applyGrant({
        coordinator,
        time,
        sentAt,
        receivedAt,
        amount,
        leaseMilliseconds,
      });
      waitingCalls.wake(customer);
    }
    const nextAt = computeNextPledgeTime(
      ownIdentity.host,
      host,
      receivedAt,
    );
    for (const customer of pledge) {
      accounts.get(customer)?.confirmPledge({
        coordinator,
        time,
        receivedAt,
        nextAt,
      });
    }
  }

  function grantLeases(
    peer: Pick<Peer, "process" | "failureDomain">,
    request: LeaseRequest,
  ): LeaseGrant {
    const now = clock.now();
    const isAccepted = peer.failureDomain === self.failureDomain &&
      requestOrder.acceptIfNewest(peer.process, request.sequence);
    if (!isAccepted) {
      return {
        kind: LEASE_GRANT,
        epoch: ownIdentity.epoch,
        time: now,
        grants: [],
      };
    }
    // Pledges to an earlier process of this host are ignored.
    const isForThisProcess = request.epoch === ownIdentity.epoch;
    const context = {
      host: peer.process.host,
      now,
      limitsHeadroom: isLarge,
    };
    for (const pledge of isForThisProcess ? request.idle ?? [] : []) {
      const [customer] = pledge;
      const ledger = ledgers.get(customer) ?? new Map();
      ledgers.set(customer, recordIdlePledge(ledger, pledge, context));
    }
    const grants = request.asks.map((ask) => {
      const ledger = ledgers.get(ask.customer) ?? new Map();
      const customerRequest: CustomerLeaseRequest = isForThisProcess
        ? ask
        : { ...ask, pledgedUntil: 0 };
      const decision = grantLease(ledger, customerRequest, context);
      ledgers.set(ask.customer, decision.ledger);
      return {
        customer: ask.customer,
        amount: decision.granted,
        ...(decision.leaseMilliseconds === LEASE_MS
          ? {}
          : { leaseMilliseconds: decision.leaseMilliseconds }),
      };
    });
    return {
      kind: LEASE_GRANT,
      epoch: ownIdentity.epoch,
      time: now,
      grants,
    };
  }

  function admit(contract: Contract): Admission {
    const account = getAccount(contract);
    const now = clock.now();
    const reason = account.admit(now);
    if (reason !== undefined || account.needsLease(now)) {
      requestLeaseEarly(contract.customer, account);
    }
    return reason !== undefined ? { admitted: false, reason } : {
      admitted: true,
      permit: createDisposable(() => account.release()),
    };
  }

  disposables.add(network.onRequest(LEASE_REQUEST, (peer, message) => {
    if (!isLeaseRequest(message)) {
      throw new Error("The lease request has invalid fields");
    }
    return grantLeases(peer, message);
  }));
  disposables.add(directory.onChanged(() => {
    coordinators.reset();
    updateAllEntitlements();
  }));
  disposables.add(clock.repeat(RENEWAL_MS, renewLeases));

  return {
    get isEstablished() {
      return clock.now() - ownIdentity.epoch >=
        ESTABLISHMENT_DELAY_MS;
    },
    admit,
    async admitWaitingForLease(contract) {
      let admission = admit(contract);
      const until = clock.now() + LEASE_WAIT_MS;
      const { customer } = contract;
      // With a lease in force, even one of zero, the coordinator has already answered the demand.
      if (admission.admitted || !getAccount(contract).needsLease(clock.now())) {
        return admission;
      }
      while (
        !admission.admitted && clock.now() < until &&
        await waitingCalls.wait(customer, until)
      ) {
        admission = admit(contract);
      }
      return admission;
    },
    dispose() {
      earlyTimer?.dispose();
      disposables.dispose();
    },
    findLimits: (customer) => accounts.get(customer)?.findLimits(clock.now()),
  };
}
