/**
 * Accepts requests: finds the route of a request and decides whether it becomes a call.
 *
 * @module
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import { runGuarded } from "../../../base/common/run_guarded.ts";
import type { ConnectionClosePolicy } from "../../../base/node/connection_close_policy.ts";
import {
  runAfterPendingEvents,
  STALL_THRESHOLD_MS,
} from "../../../base/node/loop_delay.ts";
import {
  type CallerIdentification,
  identifyCaller,
} from "../../account/common/caller_identification.ts";
import { createNotRunReply } from "../common/local_reply.ts";
import type { RouteMeasurements } from "../common/route_measurements.ts";
import { admitsCall, canEndBeforeStop } from "../common/stop_plan.ts";
import { type CallEnding, DEFAULT_RETRY_AFTER_MS } from "./call_ending.ts";
import type { CallStart } from "./call_start.ts";
import { readTimeout } from "./call_timeout.ts";
import type { IngressOptions } from "./ingress_options.ts";
import type { RequestRefusals } from "./request_refusals.ts";

export interface RequestAcceptanceParts {
  readonly connectionEnds: ConnectionClosePolicy;
  readonly measurements: RouteMeasurements;
  readonly ending: CallEnding;
  readonly refusals: RequestRefusals;
  readonly callStart: CallStart;
}

export interface RequestAcceptance {
  handle(request: IncomingMessage, response: ServerResponse): void;
}

export function createRequestAcceptance(
  options: IngressOptions,
  { connectionEnds, measurements, ending, refusals, callStart }:
    RequestAcceptanceParts,
): RequestAcceptance {
  const { log, headers } = options;
  const knownConnections = new WeakSet<IncomingMessage["socket"]>();

  /** Runs a step of a request that is not a call yet, so that nothing of it has run. */
  function runFirstStep(
    request: IncomingMessage,
    response: ServerResponse,
    step: () => void,
  ): void {
    runGuarded(step, {
      log,
      event: "call.step-failed",
      fields: { request: String(request.headers[headers.requestIdentity]) },
      onFailed() {
        request.resume();
        if (!response.headersSent) {
          ending.reply(
            request,
            response,
            createNotRunReply("The call failed", DEFAULT_RETRY_AFTER_MS),
          );
        }
      },
    });
  }

  function accept(request: IncomingMessage, response: ServerResponse): void {
    const identity = request.headers[headers.requestIdentity];
    if (!connectionEnds.acceptRequest(request)) {
      log.write("info", "call.behind-end", { request: String(identity) });
      request.resume();
      return;
    }
    if (typeof identity !== "string" || identity === "") {
      ending.reply(request, response, {
        status: 400,
        message: `The request has no ${headers.requestIdentity} header`,
      });
      return;
    }
    const key = readHeader(request, headers.clientKey);
    // Whatever its identity looks like, a request with a key is a client's.
    const parent = key === undefined ? options.findParent(identity) : undefined;
    if (!admitsCall(options.stopPhase(), { isNested: parent !== undefined })) {
      refusals.refuseWithoutBody(request, response, {
        reason: "stopping",
        message: "The daemon is stopping",
        retryAfter: options.timeUntilStopped(),
      });
      return;
    }
    const routes = options.routes();
    if (routes === undefined) {
      refusals.refuseWithoutBody(request, response, {
        reason: "not-ready",
        message: "No configuration has been loaded yet",
      });
      return;
    }
    const route = routes.find(request.headers.host ?? "", request.url ?? "");
    if (route === undefined) {
      log.write("info", "call.no-route", { request: identity });
      request.resume();
      ending.reply(request, response, {
        status: 404,
        message: "No route matches",
      });
      return;
    }
    const caller = identifyCaller({
      directory: options.accounts(),
      key,
      route,
      parent,
      hasUnclearParent: () => options.hasUnclearParent(identity),
      uptime: options.uptime(),
    });
    if (caller.type !== "identified") {
      refuseCaller(request, response, { identity, caller });
      return;
    }
    if (
      !canEndBeforeStop(options.stopPhase(), {
        meanServiceMilliseconds: measurements.meanServiceTime(route),
        timeLeft: readTimeout(request, { route, headers }),
      }, options.timeUntilStopped())
    ) {
      refusals.refuseWithoutBody(request, response, {
        reason: "stopping",
        message: "The daemon stops before the call could end",
        retryAfter: options.timeUntilStopped(),
      });
      return;
    }
    const delay = options.loopDelay();
    const isStalled = delay >= STALL_THRESHOLD_MS;
    const mayBeStale = isStalled || isOnNewConnection(request);
    if (!mayBeStale) {
      callStart.beginCall(request, response, {
        identity,
        route,
        caller,
        parent,
        delay: 0,
      });
      return;
    }
    // The client may have disconnected; the end of its connection is then read right after the request.
    // Only one connection is accepted per event loop iteration, so new connections may wait long even
    // if no iteration takes long.
    runAfterPendingEvents(() => {
      if (request.destroyed || request.socket.destroyed) {
        log.write("info", "call.stale", {
          request: identity,
          delay: Math.round(delay),
        });
      } else {
        runFirstStep(
          request,
          response,
          () =>
            callStart.beginCall(request, response, {
              identity,
              route,
              caller,
              parent,
              delay: isStalled ? delay : 0,
            }),
        );
      }
    });
  }

  function refuseCaller(
    request: IncomingMessage,
    response: ServerResponse,
    { identity, caller }: {
      readonly identity: string;
      readonly caller: Exclude<CallerIdentification, { type: "identified" }>;
    },
  ): void {
    if (caller.type === "unknown-parent") {
      refusals.refuseWithoutBody(request, response, {
        reason: "unknown-parent",
        message: "The call for which this call is made is not known",
      });
      return;
    }
    // The key itself is a secret.
    log.write("info", "call.unauthorized", {
      request: identity,
      reason: caller.reason,
    });
    request.resume();
    ending.reply(request, response, {
      status: 401,
      message: caller.reason === "no-key"
        ? `The request has no ${headers.clientKey} header`
        : "The key belongs to no account",
    });
  }

  function isOnNewConnection({ socket }: IncomingMessage): boolean {
    const isNew = !knownConnections.has(socket);
    knownConnections.add(socket);
    return isNew;
  }

  return {
    handle: (request, response) =>
      runFirstStep(request, response, () => accept(request, response)),
  };
}

/** Returns the value of a header; several values belong to no account, so they are joined. */
function readHeader(
  { headers }: IncomingMessage,
  name: string,
): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value.join(", ") : value;
}
