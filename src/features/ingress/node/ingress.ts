/**
 * Serves the calls of clients and of the instance on this host: finds the route, offers the call to
 * gates, and relays the response.
 *
 * @module
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import { createEmitter } from "../../../base/common/emitter.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import { runGuarded } from "../../../base/common/run_guarded.ts";
import { createConnectionClosePolicy } from "../../../base/node/connection_close_policy.ts";
import {
  deferAfterStall,
  runAfterPendingEvents,
  STALL_THRESHOLD_MS,
} from "../../../base/node/loop_delay.ts";
import type { MeshRoute } from "../../../world/common/mesh_configuration.ts";
import type { HostName, ServiceName } from "../../../world/common/names.ts";
import {
  copyEndToEndHeaders,
  formatHeaderLines,
} from "../../attempt/common/call_headers.ts";
import type { GateOutcome } from "../../gate/common/gate_call.ts";
import { createMovingAverages } from "../../gate/common/moving_averages.ts";
import {
  chooseGate,
  type GatePlacement,
} from "../../placement/common/gate_choice.ts";
import { sampleCandidates } from "../../placement/common/candidate_sample.ts";
import type { VersionedCandidate } from "../../placement/common/candidates.ts";
import { decideNextStep, isCapacityRefusal } from "../common/next_step.ts";
import { createNotRunReply, type LocalReply } from "../common/local_reply.ts";
import {
  hasReachedInstance,
  isSuccess,
  serviceTimeOf,
} from "../common/outcome_properties.ts";
import {
  createRankedRetryBudget,
  type RankedRetryBudget,
} from "../common/ranked_retry_budget.ts";
import { computeHedgeDelay } from "../common/hedge_delay.ts";
import { createFullGates } from "../common/full_gates.ts";
import { selectCandidates } from "../common/candidate_selection.ts";
import { chooseService } from "../common/service_choice.ts";
import {
  type BodyReservation,
  createRequestBodyBudget,
} from "../common/request_body_budget.ts";
import { admitsCall, canEndBeforeStop } from "../common/stop_plan.ts";
import { relayResponse, writeLocalReply } from "./response_writer.ts";
import { createUnreadResponses } from "./unread_responses.ts";
import { readBody } from "./body_reader.ts";
import type { IngressCall, PendingOffer } from "./ingress_call.ts";
import type {
  CallResult,
  EndedCall,
  Ingress,
  IngressOptions,
} from "./ingress_options.ts";

/** Limits how long a retryable call waits for a lost link to resume; it can be retried elsewhere. */
const RETRYABLE_RESUME_MS: Milliseconds = 300;
/** Used when it is not known when a call could be served. */
const DEFAULT_RETRY_AFTER_MS: Milliseconds = 100;

/** A refusal by the ingress itself, before the call is offered to a gate. */
interface RefusalDetails {
  readonly reason: "stopping" | "not-ready" | "stale" | "no-memory";
  readonly retryAfter: Milliseconds;
  readonly delay?: Milliseconds;
}

export function createIngress(options: IngressOptions): Ingress {
  const { clock, log, headers } = options;
  const serviceTimes = createMovingAverages();
  const responseBytes = createMovingAverages();
  /** Times from an offer to its response: service time, queueing and transit. */
  const responseTimes = createMovingAverages();
  const retryBudgets = new Map<ServiceName, RankedRetryBudget>();
  const fullGates = createFullGates();
  const activeCalls = new Set<IngressCall>();
  const callEnded = createEmitter<EndedCall>();
  const droppedHeaders = new Set([
    headers.deadline,
    headers.expectedInstance,
    headers.callerService,
    "content-length",
    "expect",
  ]);
  const connectionEnds = createConnectionClosePolicy(options.stopPhase);
  const unreadResponses = createUnreadResponses(log);
  const bodyBudget = createRequestBodyBudget();
  const knownConnections = new WeakSet<IncomingMessage["socket"]>();
  let lastOfferNumber = 0;

  options.gates.onUnresponsive((host) => {
    for (const call of activeCalls) {
      if (
        call.route.kind === "safe" &&
        [...call.pendingOffers].some((offer) => offer.host === host)
      ) {
        runStep(call, () => sendHedge(call));
      }
    }
  });

  function retryBudgetOf(service: ServiceName): RankedRetryBudget {
    const known = retryBudgets.get(service);
    if (known !== undefined) {
      return known;
    }
    const created = createRankedRetryBudget();
    retryBudgets.set(service, created);
    return created;
  }

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
          sendLocalReply(
            request,
            response,
            createNotRunReply("The call failed", DEFAULT_RETRY_AFTER_MS),
          );
        }
      },
    });
  }

  function handle(request: IncomingMessage, response: ServerResponse): void {
    runFirstStep(request, response, () => accept(request, response));
  }

  function accept(request: IncomingMessage, response: ServerResponse): void {
    const identity = request.headers[headers.requestIdentity];
    if (!connectionEnds.acceptRequest(request)) {
      log.write("info", "call.behind-end", { request: String(identity) });
      request.resume();
      return;
    }
    if (typeof identity !== "string" || identity === "") {
      sendLocalReply(request, response, {
        status: 400,
        message: `The request has no ${headers.requestIdentity} header`,
      });
      return;
    }
    const isNested = options.findParent(identity) !== undefined;
    if (!admitsCall(options.stopPhase(), { isNested })) {
      refuseWithoutBody(request, response, {
        reason: "stopping",
        message: "The daemon is stopping",
        retryAfter: options.timeUntilStopped(),
      });
      return;
    }
    const routes = options.routes();
    if (routes === undefined) {
      refuseWithoutBody(request, response, {
        reason: "not-ready",
        message: "No configuration has been loaded yet",
      });
      return;
    }
    const route = routes.find(request.headers.host ?? "", request.url ?? "");
    if (route === undefined) {
      log.write("info", "call.no-route", { request: identity });
      request.resume();
      sendLocalReply(request, response, {
        status: 404,
        message: "No route matches",
      });
      return;
    }
    if (
      !canEndBeforeStop(meanServiceTime(route), options.timeUntilStopped())
    ) {
      refuseWithoutBody(request, response, {
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
      beginCall(request, response, { identity, route, delay: 0 });
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
        runFirstStep(request, response, () =>
          beginCall(request, response, {
            identity,
            route,
            delay: isStalled ? delay : 0,
          }));
      }
    });
  }

  function isOnNewConnection({ socket }: IncomingMessage): boolean {
    const isNew = !knownConnections.has(socket);
    knownConnections.add(socket);
    return isNew;
  }

  function logRefusal(
    identity: string,
    { reason, retryAfter, delay }: RefusalDetails,
  ): void {
    log.write("info", "call.refused", {
      request: identity,
      reason,
      delay,
      retryAfter: Math.round(retryAfter),
    });
  }

  /** Refuses a call and discards its body. */
  function refuseWithoutBody(
    request: IncomingMessage,
    response: ServerResponse,
    { reason, message, retryAfter = DEFAULT_RETRY_AFTER_MS, delay }:
      & Omit<RefusalDetails, "retryAfter">
      & { readonly message: string; readonly retryAfter?: Milliseconds },
  ): void {
    const identity = String(request.headers[headers.requestIdentity]);
    logRefusal(identity, { reason, retryAfter, delay });
    request.resume();
    sendLocalReply(request, response, createNotRunReply(message, retryAfter));
  }

  function beginCall(
    request: IncomingMessage,
    response: ServerResponse,
    { identity, route, delay }: {
      readonly identity: string;
      readonly route: MeshRoute;
      /** How long the request may have waited for the event loop of this process. */
      readonly delay: Milliseconds;
    },
  ): void {
    const arrivedAt = clock.now() - delay;
    const clientTimeout = Number(request.headers[headers.deadline] ?? NaN);
    const timeout = Math.min(
      Number.isFinite(clientTimeout) ? clientTimeout : Infinity,
      route.timeoutMilliseconds,
    );
    if (timeout <= delay) {
      refuseWithoutBody(request, response, {
        reason: "stale",
        message: "The deadline of the call passed before it was read",
        delay: Math.round(delay),
      });
      return;
    }
    const service = chooseService(route, options.random);
    const parent = options.findParent(identity);
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
      rank: Math.max(route.rank, parent?.rank ?? route.rank),
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
    activeCalls.add(call);
    const timer = clock.schedule(
      timeout - delay,
      () => runStep(call, () => expireCall(call)),
    );
    const onClose = () => runStep(call, () => abandonCall(call));
    request.socket.once("close", onClose);
    const bodyReservation = bodyBudget.reserve();
    call.release = () => {
      bodyReservation.dispose();
      timer.dispose();
      call.hedgeTimer?.dispose();
      request.socket.off("close", onClose);
      activeCalls.delete(call);
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
          endWithLocalReply(call, {
            status: 413,
            message: "The request body exceeds the size limit",
          })),
      onNoMemory: () => runStep(call, () => refuseForMemory(call)),
      onAborted: () => runStep(call, () => abandonCall(call)),
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
    const retryAfter = meanServiceTime(call.route);
    logRefusal(call.identity, { reason: "no-memory", retryAfter });
    endWithLocalReply(
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
      !canEndBeforeStop(
        meanServiceTime(call.route),
        options.timeUntilStopped(),
      )
    ) {
      const retryAfter = options.timeUntilStopped();
      logRefusal(call.identity, { reason: "stopping", retryAfter });
      endWithLocalReply(
        call,
        createNotRunReply("The daemon is stopping", retryAfter),
      );
      return;
    }
    retryBudgetOf(call.service).recordFirstAttempt(clock.now());
    offerToNextGate(call);
  }

  /** The time left for a call: until its deadline, or until calls are terminated during a stop. */
  function timeLeftFor(call: IngressCall, now: Milliseconds): Milliseconds {
    return Math.min(call.deadlineAt - now, options.timeUntilStopped());
  }

  /**
   * Never true for nested calls, since refusing one wastes the work of its parent, nor for the own gate,
   * since offering a call to it needs no message.
   */
  function isKnownFull(call: IngressCall, host: HostName): boolean {
    return call.parent === undefined && host !== options.host &&
      fullGates.isFull(host, call.rank, clock.now());
  }

  function listCandidates(call: IngressCall): readonly VersionedCandidate[] {
    const all = options.candidates(call.service);
    const selectExcept = (isExcluded: (host: HostName) => boolean) =>
      selectCandidates(all, {
        excludedHosts: {
          has: (host) => call.offeredHosts.has(host) || isExcluded(host),
        },
        versionPreference: call.versionPreference,
        wasOffered: call.fullGateCount > 0 || call.instancesReached > 0 ||
          call.pendingOffers.size > 0,
      });
    const notFull = selectExcept((host) => isKnownFull(call, host));
    return notFull.length > 0 || call.fullGateCount > 0
      ? notFull
      : selectExcept(() => false);
  }

  function meanServiceTime(route: MeshRoute): Milliseconds {
    return serviceTimes.averageOf(
      route.name,
      route.objectiveMilliseconds / 3,
    );
  }

  function placeCall(
    call: IngressCall,
  ): GatePlacement<VersionedCandidate> | undefined {
    const origin = {
      ownHost: options.host,
      ownFailureDomain: options.failureDomain,
    };
    const sampled = sampleCandidates(
      listCandidates(call),
      origin,
      options.random,
    );
    return chooseGate(sampled, {
      ...origin,
      meanServiceMilliseconds: meanServiceTime(call.route),
      objectiveMilliseconds: call.route.objectiveMilliseconds,
      transferredBytes: call.body.length +
        responseBytes.averageOf(call.route.name, 0),
    }, options.random);
  }

  function offerToNextGate(call: IngressCall): void {
    const placed = placeCall(call);
    if (placed === undefined) {
      handleOutcome(call, undefined, {
        type: "refused",
        reason: "no-instance",
        retryAfter: DEFAULT_RETRY_AFTER_MS,
        reachedInstance: false,
      });
      return;
    }
    sendOffer(call, placed);
  }

  function sendOffer(
    call: IngressCall,
    { candidate, expectedWait }: GatePlacement<VersionedCandidate>,
  ): void {
    const { host, version } = candidate;
    const now = clock.now();
    const timeLeft = timeLeftFor(call, now);
    const meanServiceMilliseconds = meanServiceTime(call.route);
    const pendingOffer: PendingOffer = {
      host,
      retryTakenAt: call.unusedRetries.pop(),
      ticket: undefined,
    };
    call.offeredHosts.add(host);
    call.pendingOffers.add(pendingOffer);
    lastOfferNumber += 1;
    pendingOffer.ticket = options.gates.offer(host, {
      request: {
        identity: `${options.processIdentity}#${lastOfferNumber}`,
        requestIdentity: call.identity,
        service: call.service,
        version,
        route: call.route.name,
        method: call.request.method ?? "GET",
        target: call.request.url ?? "/",
        headerLines: formatHeaderLines(
          copyEndToEndHeaders(call.request.rawHeaders, droppedHeaders),
        ),
        body: call.body,
        callerService: options.callerService(),
        isNested: call.parent !== undefined,
        rank: call.rank,
        objectiveInMilliseconds: call.arrivedAt +
          call.route.objectiveMilliseconds - now,
        deadlineInMilliseconds: timeLeft,
        meanServiceMilliseconds,
      },
      resumeTimeout: call.route.kind === "safe"
        ? Math.min(RETRYABLE_RESUME_MS, timeLeft)
        : timeLeft,
      settle: (outcome) => runStep(call, () => settleOffer(outcome)),
    });

    function settleOffer(outcome: GateOutcome): void {
      call.pendingOffers.delete(pendingOffer);
      call.mayHaveRun ||= outcome.type !== "refused";
      if (
        pendingOffer.retryTakenAt !== undefined &&
        !hasReachedInstance(outcome)
      ) {
        call.unusedRetries.push(pendingOffer.retryTakenAt);
      }
      const settledAt = clock.now();
      if (outcome.type === "answer") {
        responseTimes.record(call.route.name, settledAt - now);
      }
      const serviceTime = serviceTimeOf(outcome);
      if (host !== options.host && serviceTime !== undefined) {
        const explainedTime = expectedWait + serviceTime +
          options.loopDelay();
        options.hostDelays.record(
          host,
          settledAt - now - explainedTime,
          settledAt,
        );
      }
      handleOutcome(call, host, outcome);
    }

    if (call.pendingOffers.has(pendingOffer) && call.route.kind === "safe") {
      scheduleHedge(call, candidate, now);
    }
  }

  function scheduleHedge(
    call: IngressCall,
    { load }: VersionedCandidate,
    now: Milliseconds,
  ): void {
    const objectiveAt = call.arrivedAt + call.route.objectiveMilliseconds;
    const delay = computeHedgeDelay({
      meanServiceMilliseconds: meanServiceTime(call.route),
      meanResponseMilliseconds: responseTimes.averageOf(call.route.name, 0),
      relativeServiceTime: load.relativeServiceTime,
      objectiveIn: objectiveAt - now,
    });
    call.hedgeTimer?.dispose();
    call.hedgeTimer = clock.schedule(
      delay,
      () =>
        deferAfterStall(
          options.loopDelay(),
          () => runStep(call, () => sendHedge(call)),
        ),
    );
  }

  function sendHedge(call: IngressCall): void {
    const now = clock.now();
    const meanServiceMilliseconds = meanServiceTime(call.route);
    if (
      call.isEnded || call.pendingOffers.size !== 1 ||
      call.instancesReached + 1 >= call.route.maximumInstances ||
      timeLeftFor(call, now) < meanServiceMilliseconds
    ) {
      return;
    }
    const placed = placeCall(call);
    if (
      placed === undefined || placed.expectedWait > 0 || !takeRetry(call, now)
    ) {
      return;
    }
    log.write("debug", "call.second-send", {
      request: call.identity,
      route: call.route.name,
      first: [...call.pendingOffers][0].host,
      second: placed.candidate.host,
      after: Math.round(now - call.arrivedAt),
      usual: Math.round(meanServiceMilliseconds),
    });
    sendOffer(call, placed);
  }

  function takeRetry(call: IngressCall, now: Milliseconds): boolean {
    const isTaken = call.unusedRetries.length > 0 ||
      retryBudgetOf(call.service).takeRetry(call.rank, now);
    if (isTaken && call.unusedRetries.length === 0) {
      call.unusedRetries.push(now);
    }
    return isTaken;
  }

  function handleOutcome(
    call: IngressCall,
    host: HostName | undefined,
    outcome: GateOutcome,
  ): void {
    if (call.isEnded) {
      return;
    }
    recordOutcome(call, host, outcome);
    if (call.pendingOffers.size > 0 && !isSuccess(outcome)) {
      logStep(call, host, outcome, "await-other");
      return;
    }
    const now = clock.now();
    const next = decideNextStep(outcome, {
      kind: call.route.kind,
      instancesReached: call.instancesReached,
      fullGateCount: call.fullGateCount,
      maximumInstances: call.route.maximumInstances,
      mayHaveRun: call.mayHaveRun,
      hasCandidate: () => listCandidates(call).length > 0,
      timeLeft: timeLeftFor(call, now),
      meanServiceMilliseconds: meanServiceTime(call.route),
    }, () => takeRetry(call, now));
    if (next.type !== "deliver" || !isSuccess(outcome)) {
      logStep(call, host, outcome, next.type);
    }
    switch (next.type) {
      case "deliver":
        if (outcome.type === "answer") {
          deliverResponse(call, outcome);
        }
        break;
      case "ask-next":
        offerToNextGate(call);
        break;
      case "refuse":
        call.parent?.recordNestedRefusal();
        endWithLocalReply(
          call,
          createNotRunReply(
            "No instance can serve the call in time",
            next.retryAfter,
          ),
        );
        break;
      case "fail":
        endWithLocalReply(call, {
          status: next.status,
          message: "The call failed and may have been executed",
        });
        break;
    }
  }

  function recordOutcome(
    call: IngressCall,
    host: HostName | undefined,
    outcome: GateOutcome,
  ): void {
    if (outcome.type === "answer") {
      if (isSuccess(outcome)) {
        serviceTimes.record(call.route.name, outcome.serviceMilliseconds);
      }
      responseBytes.record(call.route.name, outcome.body.length);
    }
    if (isCapacityRefusal(outcome)) {
      call.fullGateCount += 1;
      if (host !== undefined) {
        fullGates.recordFull(host, call.rank, clock.now());
      }
    }
    if (hasReachedInstance(outcome)) {
      call.instancesReached += 1;
    }
  }

  function logStep(
    call: IngressCall,
    host: HostName | undefined,
    outcome: GateOutcome,
    next: string,
  ): void {
    log.write("info", "call.step", {
      request: call.identity,
      route: call.route.name,
      kind: call.route.kind,
      nested: call.parent !== undefined,
      rank: call.rank,
      gate: host,
      outcome: outcome.type,
      reason: "reason" in outcome ? outcome.reason : undefined,
      status: "status" in outcome ? outcome.status : undefined,
      next,
      reached: call.instancesReached,
      timeLeft: Math.round(call.deadlineAt - clock.now()),
    });
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
      sendLocalReply(call.request, call.response, localReply);
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
    for (const { ticket } of call.pendingOffers) {
      ticket?.cancel();
    }
    call.pendingOffers.clear();
    for (const takenAt of call.unusedRetries) {
      retryBudgetOf(call.service).returnRetry(takenAt);
    }
    callEnded.fire({
      kind: call.route.kind,
      result,
      duration: clock.now() - call.arrivedAt,
    });
  }

  function sendLocalReply(
    request: IncomingMessage,
    response: ServerResponse,
    localReply: LocalReply,
  ): void {
    writeLocalReply(response, localReply, {
      closesConnection: connectionEnds.closesAfter(request),
    });
  }

  return {
    get activeCalls() {
      return activeCalls.size;
    },
    onCallEnded: callEnded.event,
    terminateCalls,
    handle,
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
