/**
 * The admission of a daemon: its accounts of all customers, and its part as a lease holder.
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
  createCustomerAccount,
  type CustomerAccount,
  type HolderIdentity,
  isSame,
} from "./customer_account.ts";
import { createLeaseHolders } from "./lease_holders.ts";
import { answerAsk, type LeaseLedger, takeIdlePledge } from "./lease_ledger.ts";
import {
  isLeaseGrant,
  isLeaseRequest,
  LEASE_GRANT,
  LEASE_MS,
  LEASE_REQUEST,
  type LeaseAsk,
  type LeaseGrant,
  type LeaseRequest,
} from "./lease_messages.ts";
import {
  addDue,
  chooseRequest,
  type DueCustomers,
  EARLY_FLUSH_MS,
  EARLY_INTERVAL_MS,
  isLargeDomain,
  isPossiblyLarge,
  nextPledgeAt,
  RENEWAL_MS,
} from "./lease_schedule.ts";
import {
  computeEntitlement,
  computeQuota,
  countHosts,
  ESTABLISH_MS,
  judgeEstablishment,
  type MembershipView,
} from "./quota.ts";
import { createRequestOrder } from "./request_order.ts";
import { createSuspectWatch } from "./suspect_watch.ts";

/** An answer after this time would be of use for half of the lease only. */
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
  const ownIdentity: HolderIdentity = {
    host: self.process.host,
    epoch: self.process.startedAt,
  };
  const accounts = new Map<CustomerName, CustomerAccount>();
  const ledgers = new Map<CustomerName, LeaseLedger>();
  const requestOrder = createRequestOrder();
  const waitingFor = new Set<HostName>();
  const owned = createDisposableStore();
  const holders = createLeaseHolders(directory, ownIdentity);
  const early = new Set<CustomerName>();
  const waiting = createWaitingCalls(clock);
  let earlyAt = -Infinity;
  let earlyTimer: Disposable | undefined;
  let sequence = 0;
  let isLarge = false;

  function longestCallOf(customer: CustomerName): Milliseconds {
    const { contracts, routes } = configuration();
    const names = contracts.get(customer)?.routes ?? [];
    return Math.max(
      0,
      ...names.map((name) => routes.get(name)?.deadlineMilliseconds ?? 0),
    );
  }

  function accountOf(contract: Contract): CustomerAccount {
    let account = accounts.get(contract.customer);
    if (account === undefined) {
      account = createCustomerAccount({
        customer: contract.customer,
        now: clock.now(),
        longestCall: () => longestCallOf(contract.customer),
        isLarge: () => isLarge,
      });
      accounts.set(contract.customer, account);
      entitle(contract, account);
    }
    return account;
  }

  const suspects = createSuspectWatch();
  const view: MembershipView = {
    self,
    get localMembers() {
      return directory.localMembers;
    },
    get departures() {
      return directory.departures;
    },
    suspectedAt: suspects.suspectedAt,
  };

  function entitle(
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
    const established = judgeEstablishment(
      view,
      now,
      longestCallOf(contract.customer),
      hasLongPledges(hosts),
    );
    account.setEntitlement(
      computeEntitlement(quota, hosts, established),
      now,
    );
  }

  /** A daemon without a configuration cannot tell how many customers the others have. */
  function hasLongPledges(hosts: number): boolean {
    const { contracts, version } = configuration();
    return version === NO_VERSION || isPossiblyLarge(hosts, contracts.size);
  }

  function entitleAll(): void {
    suspects.note(directory.localMembers, clock.now());
    const { contracts } = configuration();
    const hosts = countHosts(directory);
    isLarge = isLargeDomain(hosts, contracts.size);
    for (const contract of contracts.values()) {
      entitle(contract, accountOf(contract), hosts);
    }
    for (const [customer, account] of accounts) {
      if (!contracts.has(customer) && account.inFlight === 0) {
        accounts.delete(customer);
      }
    }
  }

  function holderOf(customer: CustomerName): HolderIdentity {
    return holders.find(customer, isLarge);
  }

  function renew(): void {
    entitleAll();
    const now = clock.now();
    const due = new Map<HostName, DueCustomers>();
    for (const [customer, account] of accounts) {
      const holder = holderOf(customer);
      const kind = chooseRequest(account, { holder, now, isLarge });
      if (kind !== "none") {
        addDue(due, holder, kind).push(customer);
      }
    }
    sendDue(due);
  }

  /** Sends what is due, but one request at a time to a holder. */
  function sendDue(due: Map<HostName, DueCustomers>): void {
    for (const customers of due.values()) {
      if (!waitingFor.has(customers.holder.host)) {
        requestLeases(customers);
      }
    }
  }

  /** A call came for which the account has nothing: asks without waiting for the renewal. */
  function askEarly(customer: CustomerName, account: CustomerAccount): void {
    if (clock.now() - account.lastAskAt < EARLY_INTERVAL_MS) {
      return;
    }
    early.add(customer);
    if (early.size === 1) {
      const delay = earlyAt + EARLY_FLUSH_MS - clock.now();
      earlyTimer = clock.schedule(Math.max(0, delay), flushEarly);
    }
  }

  function flushEarly(): void {
    earlyAt = clock.now();
    const due = new Map<HostName, DueCustomers>();
    for (const customer of early) {
      if (accounts.has(customer)) {
        addDue(due, holderOf(customer), "ask").push(customer);
      }
    }
    early.clear();
    sendDue(due);
  }

  function requestLeases({ holder, ask, pledge }: DueCustomers): void {
    const sentAt = clock.now();
    const asks = ask.map((customer) =>
      accounts.get(customer)!.prepareAsk(holder, sentAt)
    );
    sequence += 1;
    const request: LeaseRequest = {
      kind: LEASE_REQUEST,
      epoch: holder.epoch,
      sequence,
      asks,
      ...(pledge.length === 0 ? {} : {
        idle: pledge.map((customer) =>
          accounts.get(customer)!.preparePledge(holder, sentAt)
        ),
      }),
    };
    if (isSame(holder, ownIdentity)) {
      takeAnswer(grant(self, request), { holder, ask, pledge }, sentAt);
      return;
    }
    waitingFor.add(holder.host);
    network.request(holder.host, request, {
      timeoutMilliseconds: REQUEST_TIMEOUT_MS,
    }).then((result) => {
      waitingFor.delete(holder.host);
      if (result.ok && isLeaseGrant(result.val)) {
        takeAnswer(result.val, { holder, ask, pledge }, sentAt);
      } else if (result.err) {
        options.log.write("debug", "admission.lease-missing", {
          step: result.val.step,
          peer: holder.host,
          message: result.val.message,
        });
      }
    });
  }

  function takeAnswer(
    answer: LeaseGrant,
    { holder: { host }, pledge }: DueCustomers,
    sentAt: Milliseconds,
  ): void {
    const receivedAt = clock.now();
    const holder = { host, epoch: answer.epoch };
    const { time } = answer;
    for (const { customer, amount, leaseMilliseconds } of answer.grants) {
      accounts.get(customer)?.takeGrant({
        holder,
        time,
        sentAt,
        receivedAt,
        amount,
        leaseMilliseconds,
      });
      waiting.wake(customer);
    }
    const nextAt = nextPledgeAt(ownIdentity.host, host, receivedAt);
    for (const customer of pledge) {
      accounts.get(customer)?.confirmPledge({
        holder,
        time,
        receivedAt,
        nextAt,
      });
    }
  }

  function grant(
    peer: Pick<Peer, "process" | "failureDomain">,
    request: LeaseRequest,
  ): LeaseGrant {
    const now = clock.now();
    const isCurrent = peer.failureDomain === self.failureDomain &&
      requestOrder.isNewest(peer.process, request.sequence);
    if (!isCurrent) {
      return {
        kind: LEASE_GRANT,
        epoch: ownIdentity.epoch,
        time: now,
        grants: [],
      };
    }
    // A pledge to an earlier process of this host counts for nothing.
    const isValid = request.epoch === ownIdentity.epoch;
    const from = { host: peer.process.host, now, keepsSpare: isLarge };
    for (const pledge of isValid ? request.idle ?? [] : []) {
      const [customer] = pledge;
      const ledger = ledgers.get(customer) ?? new Map();
      ledgers.set(customer, takeIdlePledge(ledger, pledge, from));
    }
    const grants = request.asks.map((ask) => {
      const ledger = ledgers.get(ask.customer) ?? new Map();
      const valid: LeaseAsk = isValid ? ask : { ...ask, pledgedUntil: 0 };
      const answer = answerAsk(ledger, valid, from);
      ledgers.set(ask.customer, answer.ledger);
      return {
        customer: ask.customer,
        amount: answer.granted,
        ...(answer.leaseMilliseconds === LEASE_MS
          ? {}
          : { leaseMilliseconds: answer.leaseMilliseconds }),
      };
    });
    return { kind: LEASE_GRANT, epoch: ownIdentity.epoch, time: now, grants };
  }

  function admit(contract: Contract): Admission {
    const account = accountOf(contract);
    const now = clock.now();
    const reason = account.admit(now);
    if (reason !== undefined || account.needsLease(now)) {
      askEarly(contract.customer, account);
    }
    return reason !== undefined ? { admitted: false, reason } : {
      admitted: true,
      permit: createDisposable(() => account.release()),
    };
  }

  owned.add(network.onRequest(LEASE_REQUEST, (peer, message) => {
    if (!isLeaseRequest(message)) {
      throw new Error("The lease request has invalid fields");
    }
    return grant(peer, message);
  }));
  owned.add(directory.onChanged(() => {
    holders.reset();
    entitleAll();
  }));
  owned.add(clock.repeat(RENEWAL_MS, renew));

  return {
    get isEstablished() {
      return clock.now() - ownIdentity.epoch >= ESTABLISH_MS;
    },
    admit,
    async admitWaitingForLease(contract) {
      let admission = admit(contract);
      const until = clock.now() + LEASE_WAIT_MS;
      const { customer } = contract;
      // A lease in force, even of nothing, is the holder's answer to the demand.
      if (admission.admitted || !accountOf(contract).needsLease(clock.now())) {
        return admission;
      }
      while (
        !admission.admitted && clock.now() < until &&
        await waiting.wait(customer, until)
      ) {
        admission = admit(contract);
      }
      return admission;
    },
    dispose() {
      earlyTimer?.dispose();
      owned.dispose();
    },
    findLimits: (customer) => accounts.get(customer)?.findLimits(clock.now()),
  };
}
