/**
 * Passes calls of other daemons to the local gate.
 *
 * A link may be lost while the instance works on a call. The caller's daemon then offers the call again
 * over the next link. Each identity runs at most once; a repeated offer receives the stored outcome.
 *
 * @module
 */

import type { Clock } from "../../../base/common/clock.ts";
import type { Disposable } from "../../../base/common/disposable.ts";
import type { EventLog } from "../../../base/common/event_log.ts";
import { runGuarded } from "../../../base/common/run_guarded.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { HostName } from "../../../world/common/names.ts";
import type { PeerNetwork } from "../../link/common/peer_network.ts";
import { usuallyEndsWithin } from "./admission_decision.ts";
import { createResponseRetention } from "./response_retention.ts";
import type { CallHandle, Gate } from "./gate.ts";
import {
  deductElapsedTime,
  type GateOutcome,
  type GateRequest,
} from "./gate_call.ts";
import {
  CANCEL_KIND,
  type CancelMessage,
  type DecodedOffer,
  decodeOffer,
  encodeOutcome,
  OFFER_KIND,
} from "./gate_messages.ts";
import { PROBE_KIND } from "./unresponsive_host_detector.ts";
import {
  createTransitDelayEstimator,
  type TransitDelayEstimator,
} from "./transit_delay_estimator.ts";

/** Outcomes are retained for this long after the deadline of their call. */
const RETENTION_MS: Milliseconds = 1_000;
const SWEEP_INTERVAL_MS: Milliseconds = 1_000;
/** Smaller delays are ignored: transit times vary by some milliseconds without congestion. */
const MINIMUM_DELAY_MS: Milliseconds = 20;

const LEAVING_REFUSAL: GateOutcome = {
  type: "refused",
  reason: "leaving",
  retryAfter: 0,
  reachedInstance: false,
};

const STEP_FAILURE: GateOutcome = {
  type: "failed",
  reason: "the call could not be handled",
};

interface RemoteCall {
  readonly host: HostName;
  readonly retainUntil: Milliseconds;
  ticket: CallHandle | undefined;
  isCancelled: boolean;
  outcome: GateOutcome | undefined;
}

export interface GateServiceOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly network: PeerNetwork;
  readonly gate: Gate;
  /** How long a message that is read now may have waited for the event loop of this process. */
  readonly loopDelay: () => Milliseconds;
  /** Whether the event loop was blocked for unusually long, so that messages may have waited. */
  readonly isStalled: () => boolean;
  /** How long a call that starts now may run; 0 or less late in a shutdown. */
  readonly remainingWorkTime: () => Milliseconds;
  /** Calls back once the messages that have already arrived are processed. */
  readonly afterPendingEvents: (callback: () => void) => void;
}

export function createGateService(options: GateServiceOptions): Disposable {
  const { clock, log, network, gate } = options;
  const calls = new Map<string, RemoteCall>();
  const retention = createResponseRetention();
  const delayEstimators = new Map<HostName, TransitDelayEstimator>();

  function sendOutcome(identity: string, call: RemoteCall): void {
    const message = encodeOutcome({
      identity,
      outcome: call.outcome!,
      load: gate.load,
    });
    // Without a link the outcome stays stored until the caller's daemon offers the call again.
    network.send(call.host, message);
  }

  function getDelayEstimator(host: HostName): TransitDelayEstimator {
    const known = delayEstimators.get(host);
    if (known !== undefined) {
      return known;
    }
    const created = createTransitDelayEstimator();
    delayEstimators.set(host, created);
    return created;
  }

  function handleOffer(
    host: HostName,
    { request, sentAt }: DecodedOffer,
  ): void {
    const delay = getDelayEstimator(host).record({
      sentAt,
      now: clock.now(),
      loopDelay: options.loopDelay(),
    });
    registerCall(
      host,
      delay < MINIMUM_DELAY_MS ? request : deductElapsedTime(request, delay),
    );
  }

  function registerCall(host: HostName, request: GateRequest): void {
    const { identity } = request;
    const known = calls.get(identity);
    if (known !== undefined) {
      if (known.outcome !== undefined) {
        sendOutcome(identity, known);
      }
      return;
    }
    const call: RemoteCall = {
      host,
      retainUntil: clock.now() + request.deadlineInMilliseconds + RETENTION_MS,
      ticket: undefined,
      isCancelled: false,
      outcome: undefined,
    };
    calls.set(identity, call);
    // After a delay, an offer and its cancellation arrive together. The frames of one socket read are
    // processed before microtasks run; after a stall the cancellation may be in a later read.
    const defer = options.isStalled()
      ? options.afterPendingEvents
      : queueMicrotask;
    defer(() => {
      if (!call.isCancelled) {
        runStep(request, call, () => passToGate(request, call));
      }
    });
  }

  /** Runs a step of a call. After an exception its caller's daemon gets a failure instead of no outcome. */
  function runStep(
    request: GateRequest,
    call: RemoteCall,
    step: () => void,
  ): void {
    runGuarded(step, {
      log,
      event: "gate.step-failed",
      fields: { request: request.requestIdentity },
      onFailed() {
        call.outcome = STEP_FAILURE;
        sendOutcome(request.identity, call);
      },
    });
  }

  function passToGate(request: GateRequest, call: RemoteCall): void {
    const workTime = options.remainingWorkTime();
    if (
      workTime <= 0 ||
      !usuallyEndsWithin(workTime, request.meanServiceMilliseconds)
    ) {
      call.outcome = LEAVING_REFUSAL;
      sendOutcome(request.identity, call);
      return;
    }
    const limitedRequest = {
      ...request,
      deadlineInMilliseconds: Math.min(
        request.deadlineInMilliseconds,
        workTime,
      ),
    };
    call.ticket = gate.offer(limitedRequest, (outcome) => {
      call.outcome = outcome;
      runStep(request, call, () => sendOutcome(request.identity, call));
      if (outcome.type === "answer") {
        retainResponse(request.identity, outcome.body.length);
      }
    });
  }

  function retainResponse(identity: string, bytes: number): void {
    for (const evicted of retention.retain(identity, bytes)) {
      const call = calls.get(evicted);
      if (call !== undefined) {
        call.outcome = {
          type: "failed",
          reason: "the response is no longer retained",
        };
      }
    }
  }

  function handleCancel({ identity }: CancelMessage): void {
    const call = calls.get(identity);
    if (call !== undefined) {
      call.isCancelled = true;
      call.ticket?.cancel();
    }
  }

  const registrations = [
    network.onMessage(
      OFFER_KIND,
      (peer, message) => {
        const decoded = decodeOffer(message);
        if (decoded === undefined) {
          log.write("error", "gate.offer-unreadable", {
            peer: peer.process.host,
          });
          return;
        }
        handleOffer(peer.process.host, decoded);
      },
    ),
    network.onMessage(
      CANCEL_KIND,
      (_, message) => handleCancel(message as CancelMessage),
    ),
    network.onRequest(PROBE_KIND, () => ({ kind: PROBE_KIND })),
    // The clock offset changes when the peer's process was suspended or restarted.
    network.onLinkOpened((peer) =>
      void delayEstimators.delete(peer.process.host)
    ),
    clock.repeat(SWEEP_INTERVAL_MS, () => {
      const now = clock.now();
      for (const [identity, call] of calls) {
        if (now > call.retainUntil) {
          calls.delete(identity);
          retention.release(identity);
        }
      }
    }),
  ];
  return {
    dispose() {
      for (const registration of registrations) {
        registration.dispose();
      }
    },
  };
}
