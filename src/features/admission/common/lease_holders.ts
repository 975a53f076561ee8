/**
 * Which member of the failure domain holds the leases of a customer.
 *
 * @module
 */

import { hashText, rankByRendezvous } from "../../../base/common/hashing.ts";
import type { CustomerName, HostName } from "../../../world/common/names.ts";
import type { Directory } from "../../membership/common/directory.ts";
import type { HolderIdentity } from "./customer_account.ts";

/**
 * Customers of one group have the same holder, so that a request carries several customers.
 * Fewer groups would concentrate the requests of 320 daemons on fewer holders.
 */
export const CUSTOMER_GROUPS = 64;

export interface LeaseHolders {
  find(customer: CustomerName, isLarge: boolean): HolderIdentity;
  /** Forgets the holders that were computed from earlier members. */
  reset(): void;
}

export function createLeaseHolders(
  directory: Directory,
  self: HolderIdentity,
): LeaseHolders {
  const found = new Map<string, HolderIdentity>();

  function compute(key: string): HolderIdentity {
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
      let holder = found.get(key);
      if (holder === undefined) {
        holder = compute(key);
        found.set(key, holder);
      }
      return holder;
    },
    reset: () => found.clear(),
  };
}
