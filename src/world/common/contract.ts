import type { CustomerName, RouteName } from "./names.ts";

/** The limits of a customer's traffic over all failure domains together. */
export interface ContractLimits {
  readonly requestsPerSecond: number;
  /** Calls in flight. */
  readonly concurrency: number;
  /** Retries as a share of first attempts, 0 to 1. */
  readonly retryShare: number;
}

/** What an operator agrees with one customer. */
export interface Contract {
  readonly customer: CustomerName;
  readonly routes: readonly RouteName[];
  readonly limits: ContractLimits;
}
