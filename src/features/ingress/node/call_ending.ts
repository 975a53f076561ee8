/**
 * Ends calls: with a response of an instance, with a local reply, or because the client has left.
 *
 * @module
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import { createEmitter, type Event } from "../../../base/common/emitter.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import { runGuarded } from "../../../base/common/run_guarded.ts";
import type { ConnectionClosePolicy } from "../../../base/node/connection_close_policy.ts";
import type { GateOutcome } from "../../gate/common/gate_call.ts";
import { createNotRunReply, type LocalReply } from "../common/local_reply.ts";
import type { ServiceRetryBudgets } from "../common/service_retry_budgets.ts";
import { type IngressCall, retryClassOf } from "./ingress_call.ts";
import type {
  CallResult,
  EndedCall,
  IngressOptions,
} from "./ingress_options.ts";
import { relayResponse, writeLocalReply } from "./response_writer.ts";
import { createUnreadResponses } from "./unread_responses.ts";

/** Used when it is not known when a call could be served. */
export const DEFAULT_RETRY_AFTER_MS: Milliseconds = 100;

export interface CallEnding {
  readonly activeCalls: Set<IngressCall>;
  readonly onCallEnded: Event<EndedCall>;
  /** Runs a step of a call. After an exception its client gets a response; other calls are not affected. */
  runStep(call: IngressCall, step: () => void): void;
  /** Answers a request that is not, or no longer, a call. */
  reply(
    request: IncomingMessage,
    response: ServerResponse,
    localReply: LocalReply,
  ): void;
  endWithLocalReply(call: IngressCall, localReply: LocalReply): void;
  deliverResponse(
    call: IngressCall,
    outcome: Extract<GateOutcome, { type: "answer" }>,
  ): void;
  /** Ends a call at its deadline: the timeout of the route or of the client. */
  expireCall(call: IngressCall): void;
  /** Ends a call whose client has disconnected. */
  abandonCall(call: IngressCall): void;
  /** Terminates the calls still in flight at the end of a stop with a local reply. */
  terminateCalls(): void;
}

export function createCallEnding(
  { clock, log }: Pick<IngressOptions, "clock" | "log">,
  { connectionEnds, retryBudgets }: {
    readonly connectionEnds: ConnectionClosePolicy;
    readonly retryBudgets: ServiceRetryBudgets;
  },
): CallEnding {
  const activeCalls = new Set<IngressCall>();
  const callEnded = createEmitter<EndedCall>();
  const unreadResponses = createUnreadResponses(log);

  /** Runs a step of a call. After an exception its client gets a response; other calls are not affected. */
  function runStep(call: IngressCall, step: () => void): void {
    runGuarded(step, {
      log,
      event: "call.step-failed",
      fields: { request: call.identity, route: call.route.name },
      onFailed: () => endAfterException(call),
    });
  }

  function endAfterException(call: IngressCall): void {
    if (call.isEnded) {
      return;
    }
    const wasOffered = call.pendingOffers.size > 0 || call.mayHaveRun;
    if (call.response.headersSent) {
      // A part of a response was written, so the client must not take what follows for the rest of it.
      call.request.socket.destroy();
      finishCall(call, "failed");
      return;
    }
    endWithLocalReply(
      call,
      wasOffered
        ? {
          status: 502,
          message: "The response failed and the call may have been executed",
        }
        : createNotRunReply("The call failed", DEFAULT_RETRY_AFTER_MS),
    );
  }

  function deliverResponse(
    call: IngressCall,
    outcome: Extract<GateOutcome, { type: "answer" }>,
  ): void {
    relayResponse(call.response, outcome, {
      closesConnection: connectionEnds.closesAfter(call.request),
      isHead: call.request.method === "HEAD",
    });
    finishCall(call, outcome.status < 500 ? "answered" : "failed");
    unreadResponses.add(call.request, call.response, outcome.body.length);
  }

  /** Ends a call at its deadline: the timeout of the route or of the client. */
  function expireCall(call: IngressCall): void {
    if (call.isEnded) {
      return;
    }
    const wasOffered = call.pendingOffers.size > 0 || call.mayHaveRun;
    log.write("info", "call.expired", {
      request: call.identity,
      route: call.route.name,
      kind: call.route.kind,
      gates: [...call.offeredHosts].join(","),
      after: Math.round(clock.now() - call.arrivedAt),
    });
    endWithLocalReply(
      call,
      wasOffered
        ? { status: 504, message: "The deadline of the call has passed" }
        : createNotRunReply(
          "The request was not received in time",
          DEFAULT_RETRY_AFTER_MS,
        ),
    );
  }

  /** Ends a call whose client has disconnected. */
  function abandonCall(call: IngressCall): void {
    if (!call.isEnded) {
      log.write("debug", "call.abandoned", {
        request: call.identity,
        route: call.route.name,
        gates: [...call.offeredHosts].join(","),
        after: Math.round(clock.now() - call.arrivedAt),
      });
      finishCall(call, "abandoned");
    }
  }

  function endWithLocalReply(call: IngressCall, localReply: LocalReply): void {
    if (!call.isEnded) {
      reply(call.request, call.response, localReply);
      finishCall(call, classifyLocalReply(localReply));
    }
  }

  function terminateCalls(): void {
    for (const call of [...activeCalls]) {
      runStep(call, () => terminateCall(call));
    }
  }

  function terminateCall(call: IngressCall): void {
    const wasOffered = call.pendingOffers.size > 0 || call.mayHaveRun;
    log.write("warn", "call.broken-off", {
      request: call.identity,
      route: call.route.name,
      kind: call.route.kind,
      gates: [...call.offeredHosts].join(","),
      after: Math.round(clock.now() - call.arrivedAt),
      timeLeft: Math.round(call.deadlineAt - clock.now()),
    });
    endWithLocalReply(
      call,
      wasOffered
        ? {
          status: 502,
          message: "The daemon stopped and the call may still be executed",
        }
        : createNotRunReply("The daemon stopped", DEFAULT_RETRY_AFTER_MS),
    );
  }

  /** Disposes of a call after its response was written or its client has left. */
  function finishCall(call: IngressCall, result: CallResult): void {
    call.isEnded = true;
    call.release();
    if (call.pendingOffers.size === 0 && !call.mayHaveRun) {
      call.permit?.giveBack();
    }
    for (const { ticket } of call.pendingOffers) {
      ticket?.cancel();
    }
    call.pendingOffers.clear();
    for (const takenAt of call.unusedRetries) {
      retryBudgets.of(call.service).returnRetry(retryClassOf(call), takenAt);
    }
    callEnded.fire({
      kind: call.route.kind,
      result,
      duration: clock.now() - call.arrivedAt,
    });
  }

  function reply(
    request: IncomingMessage,
    response: ServerResponse,
    localReply: LocalReply,
  ): void {
    writeLocalReply(response, localReply, {
      closesConnection: connectionEnds.closesAfter(request),
    });
  }

  return {
    activeCalls,
    onCallEnded: callEnded.event,
    runStep,
    reply,
    endWithLocalReply,
    deliverResponse,
    expireCall,
    abandonCall,
    terminateCalls,
  };
}

function classifyLocalReply({ status }: LocalReply): CallResult {
  switch (status) {
    case 503:
      return "refused";
    case 504:
      return "expired";
    default:
      return "failed";
  }
}
