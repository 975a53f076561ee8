/**
 * Selects the member of the failure domain that grants the leases of a customer.
 *
 * @module
 */

import { hashText, rankByRendezvous } from "../../../base/common/hashing.ts";
import type { CustomerName, HostName } from "../../../world/common/names.ts";
import type { Directory } from "../../membership/common/directory.ts";
import type { CoordinatorIdentity } from "./customer_account.ts";

/**
 * Customers of one group have the same coordinator, so that one request covers several customers.
 * Fewer groups would concentrate the requests of 320 daemons on fewer coordinators.
 */
export const CUSTOMER_GROUPS = 64;

export interface LeaseCoordinators {
  find(customer: CustomerName, isLarge: boolean): CoordinatorIdentity;
  /** Clears the cache after the members have changed. */
  reset(): void;
}

export function createLeaseCoordinators(
  directory: Directory,
  self: CoordinatorIdentity,
): LeaseCoordinators {
  const cache = new Map<string, CoordinatorIdentity>();

  function compute(key: string): CoordinatorIdentity {
    const epochs = new Map<HostName, number>([[self.host, self.epoch]]);
    for (const { process, state } of directory.localMembers) {
      if (state === "alive" || state === "suspect") {
        epochs.set(process.host, process.startedAt);
      }
    }
    const [host] = rankByRendezvous(key, epochs.keys());
    return { host, epoch: epochs.get(host)! };
  }

  return {
    find(customer, isLarge) {
      const key = isLarge
        ? `group ${hashText(customer) % CUSTOMER_GROUPS}`
        : customer;
      let coordinator = cache.get(key);
      if (coordinator === undefined) {
        coordinator = compute(key);
        cache.set(key, coordinator);
      }
      return coordinator;
    },
    reset: () => cache.clear(),
  };
}
