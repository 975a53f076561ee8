/**
 * Serves the calls of the clients on this host, and those of the instance beside the daemon:
 * finds the route, offers the call to gates, and relays the answer.
 *
 * @module
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import { createEmitter } from "../../../base/common/emitter.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import { createConnectionEnds } from "../../../base/node/connection_ends.ts";
import {
  afterPendingEvents,
  afterStall,
  STALLED_MS,
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
  type PlacedCall,
} from "../../placement/common/gate_choice.ts";
import { sampleCandidates } from "../../placement/common/candidate_sample.ts";
import type { VersionedCandidate } from "../../placement/common/candidates.ts";
import { decideNextStep, isFull } from "../common/call_course.ts";
import { type OwnAnswer, refuseNotRun } from "../common/call_refusal.ts";
import { hasArrived, isSuccess, workOf } from "../common/outcome_facts.ts";
import {
  createRepeatBudget,
  type RepeatBudget,
} from "../common/repeat_budget.ts";
import { secondSendDelay } from "../common/second_send.ts";
import { createFullGates } from "../common/full_gates.ts";
import { selectCandidates } from "../common/candidate_selection.ts";
import { chooseService } from "../common/service_choice.ts";
import { admitsCall } from "../common/stop_plan.ts";
import { relayAnswer, writeOwnAnswer } from "./answer_writer.ts";
import { readBody } from "./body_reader.ts";
import type { Call, OpenOffer } from "./ingress_call.ts";
import type {
  CallResult,
  EndedCall,
  Ingress,
  IngressOptions,
} from "./ingress_options.ts";

/** A call that may be repeated elsewhere does not wait longer for a lost link. */
const RESUME_REPEATABLE_MS: Milliseconds = 300;
/** When nothing is known about when a call could be served. */
const UNKNOWN_RETRY_MS: Milliseconds = 100;

/** Why the ingress itself refuses a call. */
interface RefusalFacts {
  readonly reason: "stopping" | "not-ready" | "stale";
  readonly retryAfter: Milliseconds;
  readonly delay?: Milliseconds;
}

export function createIngress(options: IngressOptions): Ingress {
  const { clock, log, headers } = options;
  const times = createMovingAverages();
  const answerBytes = createMovingAverages();
  /** Times from an offer to its answer: the time at the instance, waiting and the way. */
  const responseTimes = createMovingAverages();
  const budgets = new Map<ServiceName, RepeatBudget>();
  const fullGates = createFullGates();
  const active = new Set<Call>();
  const ended = createEmitter<EndedCall>();
  const droppedHeaders = new Set([
    headers.deadline,
    headers.expectedInstance,
    headers.callerService,
    "content-length",
    "expect",
  ]);
  const connectionEnds = createConnectionEnds(options.stopPhase);
  const usedConnections = new WeakSet<IncomingMessage["socket"]>();
  let nextNumber = 0;

  options.gates.onUnresponsive((host) => {
    for (const call of active) {
      if (
        call.route.kind === "safe" &&
        [...call.open].some((offer) => offer.host === host)
      ) {
        sendSecond(call);
      }
    }
  });

  function budgetOf(service: ServiceName): RepeatBudget {
    const known = budgets.get(service);
    if (known !== undefined) {
      return known;
    }
    const created = createRepeatBudget();
    budgets.set(service, created);
    return created;
  }

  function handle(request: IncomingMessage, response: ServerResponse): void {
    const identity = request.headers[headers.requestIdentity];
    if (!connectionEnds.noteRead(request)) {
      log.write("info", "call.behind-end", { request: String(identity) });
      request.resume();
      return;
    }
    if (typeof identity !== "string" || identity === "") {
      answer(request, response, {
        status: 400,
        message: `The request has no ${headers.requestIdentity} header`,
      });
      return;
    }
    const isNested = options.findParent(identity) !== undefined;
    if (!admitsCall(options.stopPhase(), { isNested })) {
      refuseUnread(request, response, {
        reason: "stopping",
        message: "The daemon stops",
        retryAfter: options.timeUntilStopped(),
      });
      return;
    }
    const routes = options.routes();
    if (routes === undefined) {
      refuseUnread(request, response, {
        reason: "not-ready",
        message: "No configuration is known yet",
      });
      return;
    }
    const route = routes.find(request.headers.host ?? "", request.url ?? "");
    if (route === undefined) {
      log.write("info", "call.no-route", { request: identity });
      request.resume();
      answer(request, response, { status: 404, message: "No route matches" });
      return;
    }
    const delay = options.loopDelay();
    const isStalled = delay >= STALLED_MS;
    const hasWaited = isStalled || isOnNewConnection(request);
    if (!hasWaited) {
      begin(request, response, { identity, route, delay: 0 });
      return;
    }
    // The caller may have left: the end of its connection is then right behind the request. One connection is
    // accepted in a turn of the event loop, so new ones may wait for long though no turn is long.
    afterPendingEvents(() => {
      if (request.destroyed || request.socket.destroyed) {
        log.write("info", "call.stale", {
          request: identity,
          delay: Math.round(delay),
        });
      } else {
        begin(request, response, {
          identity,
          route,
          delay: isStalled ? delay : 0,
        });
      }
    });
  }

  function isOnNewConnection({ socket }: IncomingMessage): boolean {
    const isNew = !usedConnections.has(socket);
    usedConnections.add(socket);
    return isNew;
  }

  function logRefusal(
    identity: string,
    { reason, retryAfter, delay }: RefusalFacts,
  ): void {
    log.write("info", "call.refused", {
      request: identity,
      reason,
      delay,
      retryAfter: Math.round(retryAfter),
    });
  }

  /** Refuses a call whose body is not needed. */
  function refuseUnread(
    request: IncomingMessage,
    response: ServerResponse,
    { reason, message, retryAfter = UNKNOWN_RETRY_MS, delay }:
      & Omit<RefusalFacts, "retryAfter">
      & { readonly message: string; readonly retryAfter?: Milliseconds },
  ): void {
    const identity = String(request.headers[headers.requestIdentity]);
    logRefusal(identity, { reason, retryAfter, delay });
    request.resume();
    answer(request, response, refuseNotRun(message, retryAfter));
  }

  function begin(
    request: IncomingMessage,
    response: ServerResponse,
    { identity, route, delay }: {
      readonly identity: string;
      readonly route: MeshRoute;
      /** For how long the request may have waited in this process. */
      readonly delay: Milliseconds;
    },
  ): void {
    const arrivedAt = clock.now() - delay;
    const told = Number(request.headers[headers.deadline] ?? NaN);
    const allowed = Math.min(
      Number.isFinite(told) ? told : Infinity,
      route.timeoutMilliseconds,
    );
    if (allowed <= delay) {
      refuseUnread(request, response, {
        reason: "stale",
        message: "The call was read too late",
        delay: Math.round(delay),
      });
      return;
    }
    const service = chooseService(route, options.random);
    const parent = options.findParent(identity);
    const call: Call = {
      request,
      response,
      identity,
      route,
      service,
      versions: options.chooseVersion(service, identity),
      arrivedAt,
      finalAt: arrivedAt + allowed,
      parent,
      rank: Math.max(route.rank, parent?.rank ?? route.rank),
      asked: new Set(),
      body: Buffer.alloc(0),
      open: new Set(),
      unusedRepeats: [],
      secondSend: undefined,
      instancesReached: 0,
      fullGates: 0,
      mayHaveRun: false,
      isEnded: false,
      release: () => {},
    };
    active.add(call);
    const timer = clock.schedule(allowed - delay, () => expire(call));
    const leave = () => abandon(call);
    request.socket.once("close", leave);
    call.release = () => {
      timer.dispose();
      call.secondSend?.dispose();
      request.socket.off("close", leave);
      active.delete(call);
    };
    receive(call);
  }

  function receive(call: Call): void {
    readBody(call.request, {
      limit: options.limits()?.maximumBodyBytes ?? Infinity,
      onTooLong: () =>
        end(call, { status: 413, message: "The body is longer than allowed" }),
      onBroken: () => abandon(call),
      onBody(body) {
        if (!call.isEnded) {
          call.body = body;
          start(call);
        }
      },
    });
  }

  /** Offers a call whose body is complete; a stop may have gone on while the body was read. */
  function start(call: Call): void {
    const isNested = call.parent !== undefined;
    if (!admitsCall(options.stopPhase(), { isNested })) {
      const retryAfter = options.timeUntilStopped();
      logRefusal(call.identity, { reason: "stopping", retryAfter });
      end(call, refuseNotRun("The daemon stops", retryAfter));
      return;
    }
    budgetOf(call.service).recordFirst(clock.now());
    askNext(call);
  }

  /** The time that is left for work on a call: until its end, or the end of the calls at a stop. */
  function timeLeftFor(call: Call, now: Milliseconds): Milliseconds {
    return Math.min(call.finalAt - now, options.timeUntilStopped());
  }

  /**
   * A refused nested call wastes the work of its parent, so those may ask any gate; the own gate takes
   * no message.
   */
  function isKnownFull(call: Call, host: HostName): boolean {
    return call.parent === undefined && host !== options.host &&
      fullGates.isFull(host, call.rank, clock.now());
  }

  function listCandidates(call: Call): readonly VersionedCandidate[] {
    const all = options.candidates(call.service);
    const selectUnless = (isLeftOut: (host: HostName) => boolean) =>
      selectCandidates(all, {
        asked: { has: (host) => call.asked.has(host) || isLeftOut(host) },
        versions: call.versions,
        isNext: call.fullGates > 0 || call.instancesReached > 0 ||
          call.open.size > 0,
      });
    const open = selectUnless((host) => isKnownFull(call, host));
    return open.length > 0 || call.fullGates > 0
      ? open
      : selectUnless(() => false);
  }

  function usualTime(call: Call): Milliseconds {
    return times.usual(call.route.name, call.route.objectiveMilliseconds / 3);
  }

  function place(call: Call): PlacedCall<VersionedCandidate> | undefined {
    const own = {
      ownHost: options.host,
      ownFailureDomain: options.failureDomain,
    };
    const drawn = sampleCandidates(listCandidates(call), own, options.random);
    return chooseGate(drawn, {
      ...own,
      usualMilliseconds: usualTime(call),
      objectiveMilliseconds: call.route.objectiveMilliseconds,
      relayedBytes: call.body.length + answerBytes.usual(call.route.name, 0),
    }, options.random);
  }

  function askNext(call: Call): void {
    const placed = place(call);
    if (placed === undefined) {
      proceed(call, undefined, {
        type: "refused",
        reason: "no-instance",
        retryAfter: UNKNOWN_RETRY_MS,
        reachedInstance: false,
      });
      return;
    }
    offer(call, placed);
  }

  function offer(
    call: Call,
    { candidate, wait }: PlacedCall<VersionedCandidate>,
  ): void {
    const { host, version } = candidate;
    const now = clock.now();
    const timeLeft = timeLeftFor(call, now);
    const usualMilliseconds = usualTime(call);
    const open: OpenOffer = {
      host,
      repeatTakenAt: call.unusedRepeats.pop(),
      ticket: undefined,
    };
    call.asked.add(host);
    call.open.add(open);
    nextNumber += 1;
    open.ticket = options.gates.offer(host, {
      request: {
        identity: `${options.processIdentity}#${nextNumber}`,
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
        meanServiceMilliseconds: usualMilliseconds,
      },
      resumeTimeout: call.route.kind === "safe"
        ? Math.min(RESUME_REPEATABLE_MS, timeLeft)
        : timeLeft,
      settle(outcome) {
        call.open.delete(open);
        if (open.repeatTakenAt !== undefined && !hasArrived(outcome)) {
          call.unusedRepeats.push(open.repeatTakenAt);
        }
        const settledAt = clock.now();
        if (outcome.type === "answer") {
          responseTimes.record(call.route.name, settledAt - now);
        }
        const work = workOf(outcome);
        if (host !== options.host && work !== undefined) {
          const explained = wait + work + options.loopDelay();
          options.hostDelays.record(
            host,
            settledAt - now - explained,
            settledAt,
          );
        }
        proceed(call, host, outcome);
      },
    });
    if (call.open.has(open) && call.route.kind === "safe") {
      scheduleSecondSend(call, candidate, now);
    }
  }

  function scheduleSecondSend(
    call: Call,
    { load }: VersionedCandidate,
    now: Milliseconds,
  ): void {
    const objectiveAt = call.arrivedAt + call.route.objectiveMilliseconds;
    const delay = secondSendDelay({
      usualMilliseconds: usualTime(call),
      responseMilliseconds: responseTimes.usual(call.route.name, 0),
      relativeServiceTime: load.relativeServiceTime,
      objectiveIn: objectiveAt - now,
    });
    call.secondSend?.dispose();
    call.secondSend = clock.schedule(
      delay,
      () => afterStall(options.loopDelay(), () => sendSecond(call)),
    );
  }

  function sendSecond(call: Call): void {
    const now = clock.now();
    const usualMilliseconds = usualTime(call);
    if (
      call.isEnded || call.open.size !== 1 ||
      call.instancesReached + 1 >= call.route.maximumInstances ||
      timeLeftFor(call, now) < usualMilliseconds
    ) {
      return;
    }
    const placed = place(call);
    if (
      placed === undefined || placed.wait > 0 || !takeRepeat(call, now)
    ) {
      return;
    }
    log.write("debug", "call.second-send", {
      request: call.identity,
      route: call.route.name,
      first: [...call.open][0].host,
      second: placed.candidate.host,
      after: Math.round(now - call.arrivedAt),
      usual: Math.round(usualMilliseconds),
    });
    offer(call, placed);
  }

  function takeRepeat(call: Call, now: Milliseconds): boolean {
    const isTaken = call.unusedRepeats.length > 0 ||
      budgetOf(call.service).take(call.rank, now);
    if (isTaken && call.unusedRepeats.length === 0) {
      call.unusedRepeats.push(now);
    }
    return isTaken;
  }

  function proceed(
    call: Call,
    host: HostName | undefined,
    outcome: GateOutcome,
  ): void {
    if (call.isEnded) {
      return;
    }
    noteOutcome(call, host, outcome);
    if (call.open.size > 0 && !isSuccess(outcome)) {
      logStep(call, host, outcome, "await-other");
      return;
    }
    const now = clock.now();
    const next = decideNextStep(outcome, {
      kind: call.route.kind,
      instancesReached: call.instancesReached,
      fullGates: call.fullGates,
      maximumInstances: call.route.maximumInstances,
      mayHaveRun: call.mayHaveRun,
      hasCandidate: () => listCandidates(call).length > 0,
      timeLeft: timeLeftFor(call, now),
      usualMilliseconds: usualTime(call),
    }, () => takeRepeat(call, now));
    if (next.type !== "deliver" || !isSuccess(outcome)) {
      logStep(call, host, outcome, next.type);
    }
    switch (next.type) {
      case "deliver":
        if (outcome.type === "answer") {
          deliver(call, outcome);
        }
        break;
      case "ask-next":
        askNext(call);
        break;
      case "refuse":
        call.parent?.recordNestedRefusal();
        end(
          call,
          refuseNotRun(
            "No instance can serve the call in time",
            next.retryAfter,
          ),
        );
        break;
      case "fail":
        end(call, {
          status: next.status,
          message: "The call failed and may have run",
        });
        break;
    }
  }

  function noteOutcome(
    call: Call,
    host: HostName | undefined,
    outcome: GateOutcome,
  ): void {
    if (outcome.type === "answer") {
      if (isSuccess(outcome)) {
        times.record(call.route.name, outcome.serviceMilliseconds);
      }
      answerBytes.record(call.route.name, outcome.body.length);
    }
    if (isFull(outcome)) {
      call.fullGates += 1;
      if (host !== undefined) {
        fullGates.note(host, call.rank, clock.now());
      }
    }
    if (outcome.type !== "refused") {
      call.mayHaveRun = true;
    }
    if (hasArrived(outcome)) {
      call.instancesReached += 1;
    }
  }

  function logStep(
    call: Call,
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
      timeLeft: Math.round(call.finalAt - clock.now()),
    });
  }

  function deliver(
    call: Call,
    outcome: Extract<GateOutcome, { type: "answer" }>,
  ): void {
    finish(call, outcome.status < 500 ? "answered" : "failed");
    relayAnswer(call.response, outcome, {
      closesConnection: connectionEnds.endsBehind(call.request),
      isHead: call.request.method === "HEAD",
    });
  }

  /** The time of the route or of the client is over. */
  function expire(call: Call): void {
    if (call.isEnded) {
      return;
    }
    const wasOffered = call.open.size > 0 || call.mayHaveRun;
    log.write("info", "call.expired", {
      request: call.identity,
      route: call.route.name,
      kind: call.route.kind,
      gates: [...call.asked].join(","),
      after: Math.round(clock.now() - call.arrivedAt),
    });
    end(
      call,
      wasOffered
        ? { status: 504, message: "The time for the call is over" }
        : refuseNotRun("The call did not arrive in time", UNKNOWN_RETRY_MS),
    );
  }

  /** The client has left. */
  function abandon(call: Call): void {
    if (!call.isEnded) {
      log.write("debug", "call.abandoned", {
        request: call.identity,
        route: call.route.name,
        gates: [...call.asked].join(","),
        after: Math.round(clock.now() - call.arrivedAt),
      });
      finish(call, "abandoned");
    }
  }

  function end(call: Call, own: OwnAnswer): void {
    if (!call.isEnded) {
      finish(call, describeOwn(own));
      answer(call.request, call.response, own);
    }
  }

  function endCalls(): void {
    for (const call of [...active]) {
      const wasOffered = call.open.size > 0 || call.mayHaveRun;
      log.write("warn", "call.broken-off", {
        request: call.identity,
        route: call.route.name,
        kind: call.route.kind,
        gates: [...call.asked].join(","),
        after: Math.round(clock.now() - call.arrivedAt),
        timeLeft: Math.round(call.finalAt - clock.now()),
      });
      end(
        call,
        wasOffered
          ? { status: 502, message: "The daemon ended and the call may run" }
          : refuseNotRun("The daemon ended", UNKNOWN_RETRY_MS),
      );
    }
  }

  function finish(call: Call, result: CallResult): void {
    call.isEnded = true;
    ended.fire({
      kind: call.route.kind,
      result,
      duration: clock.now() - call.arrivedAt,
    });
    call.release();
    for (const { ticket } of call.open) {
      ticket?.cancel();
    }
    call.open.clear();
    for (const takenAt of call.unusedRepeats) {
      budgetOf(call.service).giveBack(takenAt);
    }
  }

  function answer(
    request: IncomingMessage,
    response: ServerResponse,
    own: OwnAnswer,
  ): void {
    writeOwnAnswer(response, own, {
      closesConnection: connectionEnds.endsBehind(request),
    });
  }

  return {
    get activeCalls() {
      return active.size;
    },
    onCallEnded: ended.event,
    terminateCalls: endCalls,
    handle,
  };
}

function describeOwn({ status }: OwnAnswer): CallResult {
  switch (status) {
    case 503:
      return "refused";
    case 504:
      return "expired";
    default:
      return "failed";
  }
}
