/**
 * The admission of a daemon: its accounts of all customers, and its part as a lease holder.
 *
 * @module
 */

import type { Clock } from "../../../base/common/clock.ts";
import {
  createDisposable,
  createDisposableStore,
} from "../../../base/common/disposable.ts";
import type { EventLog } from "../../../base/common/event_log.ts";
import { rankByRendezvous } from "../../../base/common/hashing.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { Configuration } from "../../../world/common/configuration.ts";
import type { Contract } from "../../../world/common/contract.ts";
import type { CustomerName, HostName } from "../../../world/common/names.ts";
import type { Peer, PeerNetwork } from "../../link/common/peer_network.ts";
import type { Directory } from "../../membership/common/directory.ts";
import type { Admission, AdmissionController } from "./admission.ts";
import {
  createCustomerAccount,
  type CustomerAccount,
  type HolderIdentity,
  isSame,
} from "./customer_account.ts";
import { answerAsk, type LeaseLedger } from "./lease_ledger.ts";
import {
  isLeaseGrant,
  isLeaseRequest,
  LEASE_GRANT,
  LEASE_REQUEST,
  type LeaseAsk,
  type LeaseGrant,
  type LeaseRequest,
} from "./lease_messages.ts";
import {
  computeEntitlement,
  computeQuota,
  countHosts,
  ESTABLISH_MS,
  judgeEstablishment,
} from "./quota.ts";

/** Twice within a lease, so that one lost request does not interrupt it. */
export const RENEWAL_MS: Milliseconds = 400;

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
  const sequences = new Map<HostName, { epoch: Milliseconds; last: number }>();
  const waitingFor = new Set<HostName>();
  const owned = createDisposableStore();
  let sequence = 0;

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
      });
      accounts.set(contract.customer, account);
      entitle(contract, account);
    }
    return account;
  }

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
      directory,
      now,
      longestCallOf(contract.customer),
    );
    account.setEntitlement(
      computeEntitlement(quota, hosts, established),
      now,
    );
  }

  function entitleAll(): void {
    const { contracts } = configuration();
    const hosts = countHosts(directory);
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
    const members = directory.localMembers.filter(({ state }) =>
      state === "alive" || state === "suspect"
    );
    const epochs = new Map([[ownIdentity.host, ownIdentity.epoch]]);
    for (const { process } of members) {
      epochs.set(process.host, process.startedAt);
    }
    const [host] = rankByRendezvous(customer, epochs.keys());
    return { host, epoch: epochs.get(host)! };
  }

  function renew(): void {
    entitleAll();
    const byHolder = new Map<
      HostName,
      { holder: HolderIdentity; customers: CustomerName[] }
    >();
    for (const customer of accounts.keys()) {
      const holder = holderOf(customer);
      const group = byHolder.get(holder.host);
      if (group === undefined) {
        byHolder.set(holder.host, { holder, customers: [customer] });
      } else {
        group.customers.push(customer);
      }
    }
    for (const { holder, customers } of byHolder.values()) {
      if (!waitingFor.has(holder.host)) {
        requestLeases(holder, customers);
      }
    }
  }

  function requestLeases(
    holder: HolderIdentity,
    customers: readonly CustomerName[],
  ): void {
    const sentAt = clock.now();
    const asks = customers.map((customer) =>
      accounts.get(customer)!.prepareAsk(holder, sentAt)
    );
    sequence += 1;
    const request: LeaseRequest = {
      kind: LEASE_REQUEST,
      epoch: holder.epoch,
      sequence,
      asks,
    };
    if (isSame(holder, ownIdentity)) {
      takeGrants(grant(self, request), holder.host, sentAt);
      return;
    }
    waitingFor.add(holder.host);
    network.request(holder.host, request, {
      timeoutMilliseconds: REQUEST_TIMEOUT_MS,
    }).then((result) => {
      waitingFor.delete(holder.host);
      if (result.ok && isLeaseGrant(result.val)) {
        takeGrants(result.val, holder.host, sentAt);
      } else if (result.err) {
        options.log.write("debug", "admission.lease-missing", {
          step: result.val.step,
          peer: holder.host,
          message: result.val.message,
        });
      }
    });
  }

  function takeGrants(
    answer: LeaseGrant,
    host: HostName,
    sentAt: Milliseconds,
  ): void {
    const receivedAt = clock.now();
    for (const { customer, amount } of answer.grants) {
      accounts.get(customer)?.takeGrant({
        holder: { host, epoch: answer.epoch },
        time: answer.time,
        sentAt,
        receivedAt,
        amount,
      });
    }
  }

  function grant(
    peer: Pick<Peer, "process" | "failureDomain">,
    request: LeaseRequest,
  ): LeaseGrant {
    const now = clock.now();
    const isCurrent = peer.failureDomain === self.failureDomain &&
      isNewest(peer.process.host, peer.process.startedAt, request.sequence);
    const grants = !isCurrent ? [] : request.asks.map((ask) => {
      // A pledge to an earlier process of this host counts for nothing.
      const valid: LeaseAsk = request.epoch === ownIdentity.epoch
        ? ask
        : { ...ask, pledgedUntil: 0 };
      const answer = answerAsk(ledgers.get(ask.customer) ?? new Map(), valid, {
        host: peer.process.host,
        now,
      });
      ledgers.set(ask.customer, answer.ledger);
      return { customer: ask.customer, amount: answer.granted };
    });
    return { kind: LEASE_GRANT, epoch: ownIdentity.epoch, time: now, grants };
  }

  function isNewest(
    host: HostName,
    epoch: Milliseconds,
    current: number,
  ): boolean {
    const seen = sequences.get(host);
    if (
      seen !== undefined &&
      (epoch < seen.epoch || (epoch === seen.epoch && current <= seen.last))
    ) {
      return false;
    }
    sequences.set(host, { epoch, last: current });
    return true;
  }

  owned.add(network.onRequest(LEASE_REQUEST, (peer, message) => {
    if (!isLeaseRequest(message)) {
      throw new Error("The lease request has invalid fields");
    }
    return grant(peer, message);
  }));
  owned.add(directory.onChanged(entitleAll));
  owned.add(clock.repeat(RENEWAL_MS, renew));

  return {
    get isEstablished() {
      return clock.now() - ownIdentity.epoch >= ESTABLISH_MS;
    },
    admit(contract): Admission {
      const account = accountOf(contract);
      const reason = account.admit(clock.now());
      return reason !== undefined ? { admitted: false, reason } : {
        admitted: true,
        permit: createDisposable(() => account.release()),
      };
    },
    findLimits: (customer) => accounts.get(customer)?.findLimits(clock.now()),
    dispose: () => owned.dispose(),
  };
}
