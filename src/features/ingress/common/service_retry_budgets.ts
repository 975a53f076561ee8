/**
 * The retry budget of each service that this daemon calls.
 *
 * @module
 */

import type { ServiceName } from "../../../world/common/names.ts";
import {
  createRankedRetryBudget,
  type RankedRetryBudget,
} from "./ranked_retry_budget.ts";

export interface ServiceRetryBudgets {
  of(service: ServiceName): RankedRetryBudget;
}

export function createServiceRetryBudgets(): ServiceRetryBudgets {
  const budgets = new Map<ServiceName, RankedRetryBudget>();
  return {
    of(service) {
      let budget = budgets.get(service);
      if (budget === undefined) {
        budget = createRankedRetryBudget();
        budgets.set(service, budget);
      }
      return budget;
    },
  };
}
