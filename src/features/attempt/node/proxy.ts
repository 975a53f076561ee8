/**
 * The HTTP proxy for callers: matches, admits and dispatches their calls.
 *
 * @module
 */

import type { Disposable } from "../../../base/common/disposable.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import { describeError } from "../../../base/common/step_error.ts";
import type { HttpHandler } from "../../../base/node/http_server.ts";
import type { StopPhase } from "../../../base/common/stop_phase.ts";
import { createConnectionClosePolicy } from "../../../base/node/connection_close_policy.ts";
import type { CustomerName } from "../../../world/common/names.ts";
import { createRetryBudget, type RetryBudget } from "../common/retry_budget.ts";
import { createStaleCache } from "../common/stale_cache.ts";
import { sendRefusal } from "./caller_response.ts";
import { runCall } from "./call.ts";
import type { CallContext, ProxyCounts, ProxyOptions } from "./call_context.ts";
import { DEFAULT_CALL_LIMITS } from "./call_limits.ts";
import { createConnectionPool } from "./connection_pool.ts";

/** Long enough that most callers with open connections make a call and then close their connection. */
const DRAIN_NOTICE_MS: Milliseconds = 500;

export interface Proxy extends Disposable {
  readonly handle: HttpHandler;
  readonly counts: Readonly<ProxyCounts>;
  /** Calls whose response is not complete yet. */
  readonly callsInFlight: number;
  /**
   * Asks callers to close their connections. Resolves when the notice time has passed and no call is
   * in flight. Calls that arrive during the notice time are served, so that none is aborted. Later
   * calls are refused as not run, because callers that keep calling would prevent the drain from
   * ending. The listener must be drained afterwards, because it closes idle connections immediately,
   * even if a request is in transit.
   */
  drain(): Promise<void>;
}

export function createProxy(options: ProxyOptions): Proxy {
  const pool = createConnectionPool(options.clock);
  const budgets = new Map<CustomerName, RetryBudget>();
  const counts: ProxyCounts = {
    calls: 0,
    attempts: 0,
    retries: 0,
    refusals: 0,
    staleResponses: 0,
    truncatedResponses: 0,
  };
  const drainWaiters: (() => void)[] = [];
  let callsInFlight = 0;
  let stopPhase: StopPhase = "serving";
  const connectionEnds = createConnectionClosePolicy(() => stopPhase);

  const context: CallContext = {
    ...options,
    limits: options.limits ?? DEFAULT_CALL_LIMITS,
    callsInFlight: () => callsInFlight,
    pool,
    cache: createStaleCache(),
    counts,
    acceptsCalls: () => stopPhase !== "finishing",
    shouldCloseConnection: (response) =>
      connectionEnds.closesAfter(response.req),
    budgetOf(customer) {
      let budget = budgets.get(customer);
      if (budget === undefined) {
        budget = createRetryBudget();
        budgets.set(customer, budget);
      }
      return budget;
    },
  };

  function finishCall(): void {
    callsInFlight -= 1;
    if (callsInFlight === 0) {
      drainWaiters.splice(0).forEach((resolve) => resolve());
    }
  }

  const handle: HttpHandler = (request, response) => {
    if (!connectionEnds.acceptRequest(request)) {
      options.log.write("info", "call.behind-end", {
        peer: request.socket.remoteAddress,
      });
      request.resume();
      return;
    }
    counts.calls += 1;
    callsInFlight += 1;
    // Ignored: if the caller closed the connection, the `close` event ends the call.
    request.on("error", () => {});
    response.on("error", () => {});
    runCall(context, request, response).catch((error) => {
      options.log.write("error", "call.error", {
        step: "attempt.call",
        message: describeError(error),
      });
      sendRefusal(response, {
        reason: "internal-error",
        outcome: "unknown",
        message: "The proxy failed",
      }, true);
    }).finally(finishCall);
  };

  return {
    handle,
    counts,
    get callsInFlight() {
      return callsInFlight;
    },
    async drain() {
      stopPhase = "leaving";
      await options.clock.sleep(DRAIN_NOTICE_MS);
      stopPhase = "finishing";
      await new Promise<void>((resolve) => {
        if (callsInFlight === 0) {
          resolve();
        } else {
          drainWaiters.push(resolve);
        }
      });
    },
    dispose: () => pool.dispose(),
  };
}
