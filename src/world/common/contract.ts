import type { CustomerName, RouteName } from "./names.ts";

/** The limits on the traffic of a customer, summed over all failure domains. */
export interface ContractLimits {
  readonly requestsPerSecond: number;
  /** Calls in flight. */
  readonly concurrency: number;
  /** The maximum ratio of retries to first attempts, 0 to 1. */
  readonly retryShare: number;
}

/** The routes and traffic limits that an operator has agreed with a customer. */
export interface Contract {
  readonly customer: CustomerName;
  readonly routes: readonly RouteName[];
  readonly limits: ContractLimits;
}
