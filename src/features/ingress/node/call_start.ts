/**
 * Starts calls: registers an accepted request, reads its body and offers it to a gate.
 *
 * @module
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { MeshRoute } from "../../../world/common/mesh_configuration.ts";
import type { CallerIdentity } from "../../account/common/caller_identification.ts";
import type { ParentCall } from "../../gate/common/gate.ts";
import { createNotRunReply } from "../common/local_reply.ts";
import {
  type BodyReservation,
  createRequestBodyBudget,
} from "../common/request_body_budget.ts";
import type { RouteMeasurements } from "../common/route_measurements.ts";
import { chooseService } from "../common/service_choice.ts";
import type { ServiceRetryBudgets } from "../common/service_retry_budgets.ts";
import { admitsCall, canEndBeforeStop } from "../common/stop_plan.ts";
import { readBody } from "./body_reader.ts";
import type { CallEnding } from "./call_ending.ts";
import type { CallOffers } from "./call_offers.ts";
import { readTimeout } from "./call_timeout.ts";
import { type IngressCall, retryClassOf } from "./ingress_call.ts";
import type { IngressOptions } from "./ingress_options.ts";
import type { RequestRefusals } from "./request_refusals.ts";

export interface AcceptedRequest {
  readonly identity: string;
  readonly route: MeshRoute;
  readonly caller: CallerIdentity;
  /** The running call for which the instance on this host makes the request. */
  readonly parent: ParentCall | undefined;
  /** How long the request may have waited for the event loop of this process. */
  readonly delay: Milliseconds;
}

export interface CallStart {
  beginCall(
    request: IncomingMessage,
    response: ServerResponse,
    accepted: AcceptedRequest,
  ): void;
}

export interface CallStartParts {
  readonly measurements: RouteMeasurements;
  readonly retryBudgets: ServiceRetryBudgets;
  readonly ending: CallEnding;
  readonly offers: CallOffers;
  readonly refusals: RequestRefusals;
}

export function createCallStart(
  options: IngressOptions,
  { measurements, retryBudgets, ending, offers, refusals }: CallStartParts,
): CallStart {
  const { clock, headers } = options;
  const { runStep } = ending;
  const bodyBudget = createRequestBodyBudget();

  function beginCall(
    request: IncomingMessage,
    response: ServerResponse,
    { identity, route, caller, parent, delay }: AcceptedRequest,
  ): void {
    const arrivedAt = clock.now() - delay;
    const timeout = readTimeout(request, { route, headers });
    if (timeout <= delay) {
      refusals.refuseWithoutBody(request, response, {
        reason: "stale",
        message: "The deadline of the call passed before it was read",
        delay: Math.round(delay),
      });
      return;
    }
    const admission = caller.account === undefined || parent !== undefined
      ? undefined
      : options.admitCall(caller.account);
    if (admission?.type === "refused") {
      refusals.refuseWithoutBody(request, response, {
        reason: "account-limit",
        message: "The account has reached its limit",
        retryAfter: admission.retryAfter,
      });
      return;
    }
    const service = chooseService(route, options.random);
    const call: IngressCall = {
      request,
      response,
      identity,
      route,
      service,
      versionPreference: options.chooseVersion(service, identity),
      arrivedAt,
      deadlineAt: arrivedAt + timeout,
      parent,
      account: caller.account,
      permit: admission?.permit,
      rank: caller.rank,
      offeredHosts: new Set(),
      body: Buffer.alloc(0),
      pendingOffers: new Set(),
      unusedRetries: [],
      hedgeTimer: undefined,
      instancesReached: 0,
      fullGateCount: 0,
      mayHaveRun: false,
      isEnded: false,
      release: () => {},
    };
    ending.activeCalls.add(call);
    const timer = clock.schedule(
      timeout - delay,
      () => runStep(call, () => ending.expireCall(call)),
    );
    const onClose = () => runStep(call, () => ending.abandonCall(call));
    request.socket.once("close", onClose);
    const bodyReservation = bodyBudget.reserve();
    call.release = () => {
      bodyReservation.dispose();
      timer.dispose();
      call.hedgeTimer?.dispose();
      request.socket.off("close", onClose);
      ending.activeCalls.delete(call);
    };
    runStep(call, () => receiveBody(call, bodyReservation));
  }

  function receiveBody(
    call: IngressCall,
    reservation: BodyReservation,
  ): void {
    readBody(call.request, {
      limit: options.limits()?.maximumBodyBytes ?? Infinity,
      reservation,
      onTooLong: () =>
        runStep(call, () =>
          ending.endWithLocalReply(call, {
            status: 413,
            message: "The request body exceeds the size limit",
          })),
      onNoMemory: () => runStep(call, () => refuseForMemory(call)),
      onAborted: () => runStep(call, () => ending.abandonCall(call)),
      onBody(body) {
        if (!call.isEnded) {
          call.body = body;
          runStep(call, () => startCall(call));
        }
      },
    });
  }

  /** Refuses a call whose body does not fit beside those of the calls in progress. */
  function refuseForMemory(call: IngressCall): void {
    if (call.isEnded) {
      return;
    }
    const retryAfter = measurements.meanServiceTime(call.route);
    refusals.logRefusal(call.identity, { reason: "no-memory", retryAfter });
    ending.endWithLocalReply(
      call,
      createNotRunReply(
        "The request body does not fit into the memory of the daemon",
        retryAfter,
      ),
    );
  }

  /** Offers a call whose body is complete; the stop phase may have changed while the body was read. */
  function startCall(call: IngressCall): void {
    const isNested = call.parent !== undefined;
    if (
      !admitsCall(options.stopPhase(), { isNested }) ||
      !canEndBeforeStop(options.stopPhase(), {
        meanServiceMilliseconds: measurements.meanServiceTime(call.route),
        timeLeft: call.deadlineAt - clock.now(),
      }, options.timeUntilStopped())
    ) {
      const retryAfter = options.timeUntilStopped();
      refusals.logRefusal(call.identity, { reason: "stopping", retryAfter });
      ending.endWithLocalReply(
        call,
        createNotRunReply("The daemon is stopping", retryAfter),
      );
      return;
    }
    retryBudgets.of(call.service).recordFirstAttempt(
      retryClassOf(call),
      clock.now(),
    );
    offers.offerToNextGate(call);
  }

  return { beginCall };
}
