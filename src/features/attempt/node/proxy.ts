/**
 * The proxy for callers: matches, admits, dispatches and answers their calls.
 *
 * @module
 */

import type { Disposable } from "../../../base/common/disposable.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import { describeError } from "../../../base/common/step_error.ts";
import type { HttpHandler } from "../../../base/node/http_server.ts";
import type { StopPhase } from "../../../base/common/stop_phase.ts";
import { createConnectionEnds } from "../../../base/node/connection_ends.ts";
import type { CustomerName } from "../../../world/common/names.ts";
import { createRetryBudget, type RetryBudget } from "../common/retry_budget.ts";
import { createStaleCache } from "../common/stale_cache.ts";
import { sendRefusal } from "./answer.ts";
import { runCall } from "./call.ts";
import type { CallContext, ProxyCounts, ProxyOptions } from "./call_context.ts";
import { DEFAULT_CALL_LIMITS } from "./call_limits.ts";
import { createConnectionPool } from "./connection_pool.ts";

/** In this time most callers with open connections have made a call and closed theirs. */
const DRAIN_NOTICE_MS: Milliseconds = 500;

export interface Proxy extends Disposable {
  readonly handle: HttpHandler;
  readonly counts: Readonly<ProxyCounts>;
  /** Calls that have no whole answer yet. */
  readonly callsInFlight: number;
  /**
   * Asks callers to close their connections, and resolves when the notice time has passed and no call is in
   * flight. Calls that arrive in the notice time are served, so that none is cut; later ones are refused as not
   * run, since callers that do not leave would keep the drain from ending. The listener drains afterwards: it
   * closes idle connections at once, also one whose next request is on its way.
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
    staleAnswers: 0,
    cutAnswers: 0,
  };
  const waiting: (() => void)[] = [];
  let callsInFlight = 0;
  let stopPhase: StopPhase = "serving";
  const connectionEnds = createConnectionEnds(() => stopPhase);

  const context: CallContext = {
    ...options,
    limits: options.limits ?? DEFAULT_CALL_LIMITS,
    callsInFlight: () => callsInFlight,
    pool,
    cache: createStaleCache(),
    counts,
    takesCalls: () => stopPhase !== "finishing",
    endsConnection: (response) => connectionEnds.endsBehind(response.req),
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
      waiting.splice(0).forEach((resolve) => resolve());
    }
  }

  const handle: HttpHandler = (request, response) => {
    if (!connectionEnds.noteRead(request)) {
      options.log.write("info", "call.behind-end", {
        peer: request.socket.remoteAddress,
      });
      request.resume();
      return;
    }
    counts.calls += 1;
    callsInFlight += 1;
    // Errors of a connection that the caller closed; its `close` event ends the call.
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
          waiting.push(resolve);
        }
      });
    },
    dispose: () => pool.dispose(),
  };
}
