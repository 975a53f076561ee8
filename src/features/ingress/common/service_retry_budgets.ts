/**
 * The retry budget of each service that this daemon calls.
 *
 * @module
 */

import type { ServiceName } from "../../../world/common/names.ts";
import { createRankedRetryBudget } from "./ranked_retry_budget.ts";
import {
  createSharedRetryBudget,
  type SharedRetryBudget,
} from "./shared_retry_budget.ts";

export interface ServiceRetryBudgets {
  of(service: ServiceName): SharedRetryBudget;
}

/** Creates budgets that plan the retries of the whole window while `hasAccounts` holds. */
export function createServiceRetryBudgets(
  hasAccounts: () => boolean = () => false,
): ServiceRetryBudgets {
  const withAccounts = createBudgets(createSharedRetryBudget);
  const withoutAccounts = createBudgets(createBudgetByRank);
  return {
    of: (service) =>
      hasAccounts() ? withAccounts(service) : withoutAccounts(service),
  };
}

function createBudgets(
  create: () => SharedRetryBudget,
): (service: ServiceName) => SharedRetryBudget {
  const budgets = new Map<ServiceName, SharedRetryBudget>();
  return (service) => {
    let budget = budgets.get(service);
    if (budget === undefined) {
      budget = create();
      budgets.set(service, budget);
    }
    return budget;
  };
}

function createBudgetByRank(): SharedRetryBudget {
  const budget = createRankedRetryBudget();
  return {
    recordFirstAttempt: (_, now) => budget.recordFirstAttempt(now),
    takeRetry: ({ rank }, now) => budget.takeRetry(rank, now),
    returnRetry: (_, takenAt) => budget.returnRetry(takenAt),
  };
}
