/**
 * Serves the calls of clients and of the instance on this host: finds the route, offers the call to
 * gates, and relays the response. Connects the steps of a call.
 *
 * @module
 */

import { createConnectionClosePolicy } from "../../../base/node/connection_close_policy.ts";
import { createRouteMeasurements } from "../common/route_measurements.ts";
import { createServiceRetryBudgets } from "../common/service_retry_budgets.ts";
import { createCallEnding } from "./call_ending.ts";
import { createCallOffers } from "./call_offers.ts";
import { createCallOutcomes } from "./call_outcomes.ts";
import { createCallPlacement } from "./call_placement.ts";
import { createCallStart } from "./call_start.ts";
import type { Ingress, IngressOptions } from "./ingress_options.ts";
import { createRequestAcceptance } from "./request_acceptance.ts";
import { createRequestRefusals } from "./request_refusals.ts";

export function createIngress(options: IngressOptions): Ingress {
  const measurements = createRouteMeasurements();
  const retryBudgets = createServiceRetryBudgets(() =>
    options.accounts() !== undefined
  );
  const connectionEnds = createConnectionClosePolicy(options.stopPhase);
  const ending = createCallEnding(options, { connectionEnds, retryBudgets });
  const refusals = createRequestRefusals(options, ending);
  const placement = createCallPlacement(options, measurements);
  const outcomes = createCallOutcomes(options, {
    measurements,
    placement,
    ending,
    offers: () => offers,
  });
  const offers = createCallOffers(options, {
    measurements,
    retryBudgets,
    placement,
    ending,
    handleOutcome: outcomes.handleOutcome,
  });
  const callStart = createCallStart(options, {
    measurements,
    retryBudgets,
    ending,
    offers,
    refusals,
  });
  const acceptance = createRequestAcceptance(options, {
    connectionEnds,
    measurements,
    ending,
    refusals,
    callStart,
  });
  options.gates.onUnresponsive(offers.hedgeCallsAt);
  return {
    get activeCalls() {
      return ending.activeCalls.size;
    },
    onCallEnded: ending.onCallEnded,
    terminateCalls: ending.terminateCalls,
    handle: acceptance.handle,
  };
}
