/**
 * Offers the calls of other daemons to the own gate.
 *
 * A link may break while the instance works. The caller's daemon then offers the same call again
 * over the next link; the gate runs an identity at most once and repeats its outcome.
 *
 * @module
 */

import type { Clock } from "../../../base/common/clock.ts";
import type { Disposable } from "../../../base/common/disposable.ts";
import type { EventLog } from "../../../base/common/event_log.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { HostName } from "../../../world/common/names.ts";
import type { PeerNetwork } from "../../link/common/peer_network.ts";
import { createAnswerRetention } from "./answer_retention.ts";
import type { CallHandle, Gate } from "./gate.ts";
import { type GateOutcome, type GateRequest, shorten } from "./gate_call.ts";
import {
  CANCEL_KIND,
  type CancelMessage,
  type DecodedOffer,
  decodeOffer,
  encodeOutcome,
  OFFER_KIND,
} from "./gate_messages.ts";
import { PROBE_KIND } from "./silence_watch.ts";
import { createTransitDelay, type TransitDelay } from "./transit_delay.ts";

/** Outcomes are kept for this long after the deadline of their call. */
const RETENTION_MS: Milliseconds = 1_000;
const SWEEP_INTERVAL_MS: Milliseconds = 1_000;
/** Messages vary by some milliseconds without having been held up. */
const LEAST_DELAY_MS: Milliseconds = 20;

const LEAVING: GateOutcome = {
  type: "refused",
  reason: "leaving",
  retryAfter: 0,
  reachedInstance: false,
};

interface RemoteCall {
  readonly host: HostName;
  readonly keepUntil: Milliseconds;
  ticket: CallHandle | undefined;
  isCancelled: boolean;
  outcome: GateOutcome | undefined;
}

export interface GateServiceOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly network: PeerNetwork;
  readonly gate: Gate;
  /** For how long a message that is read now may have waited in this process. */
  readonly loopDelay: () => Milliseconds;
  /** Whether messages may have waited in this process for longer than is usual. */
  readonly isStalled: () => boolean;
  /** For how long a call that is passed on now may be worked on; none is late in a stop. */
  readonly remainingWorkTime: () => Milliseconds;
  /** Calls back when the messages that have already arrived are handled. */
  readonly afterPendingEvents: (callback: () => void) => void;
}

export function createGateService(options: GateServiceOptions): Disposable {
  const { clock, log, network, gate } = options;
  const calls = new Map<string, RemoteCall>();
  const retention = createAnswerRetention();
  const delays = new Map<HostName, TransitDelay>();

  function sendOutcome(identity: string, call: RemoteCall): void {
    const message = encodeOutcome({
      identity,
      outcome: call.outcome!,
      load: gate.load,
    });
    // Without a link the outcome is kept; the caller's daemon asks for it over the next one.
    network.send(call.host, message);
  }

  function delayOf(host: HostName): TransitDelay {
    const known = delays.get(host);
    if (known !== undefined) {
      return known;
    }
    const created = createTransitDelay();
    delays.set(host, created);
    return created;
  }

  function take(host: HostName, { request, sentAt }: DecodedOffer): void {
    const delay = delayOf(host).record({
      sentAt,
      now: clock.now(),
      loopDelay: options.loopDelay(),
    });
    offer(host, delay < LEAST_DELAY_MS ? request : shorten(request, delay));
  }

  function offer(host: HostName, request: GateRequest): void {
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
      keepUntil: clock.now() + request.deadlineInMilliseconds + RETENTION_MS,
      ticket: undefined,
      isCancelled: false,
      outcome: undefined,
    };
    calls.set(identity, call);
    // What was held up delivers an offer and its cancellation together. The frames of one read are
    // handled before microtasks; after a stall the cancellation may be in a later read.
    const defer = options.isStalled()
      ? options.afterPendingEvents
      : queueMicrotask;
    defer(() => {
      if (!call.isCancelled) {
        pass(request, call);
      }
    });
  }

  function pass(request: GateRequest, call: RemoteCall): void {
    const workTime = options.remainingWorkTime();
    if (workTime <= 0) {
      call.outcome = LEAVING;
      sendOutcome(request.identity, call);
      return;
    }
    const limited = {
      ...request,
      deadlineInMilliseconds: Math.min(
        request.deadlineInMilliseconds,
        workTime,
      ),
    };
    call.ticket = gate.offer(limited, (outcome) => {
      call.outcome = outcome;
      sendOutcome(request.identity, call);
      if (outcome.type === "answer") {
        keepAnswer(request.identity, outcome.body.length);
      }
    });
  }

  function keepAnswer(identity: string, bytes: number): void {
    for (const dropped of retention.keep(identity, bytes)) {
      const call = calls.get(dropped);
      if (call !== undefined) {
        call.outcome = {
          type: "failed",
          reason: "the answer is not kept any longer",
        };
      }
    }
  }

  function cancel({ identity }: CancelMessage): void {
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
        take(peer.process.host, decoded);
      },
    ),
    network.onMessage(
      CANCEL_KIND,
      (_, message) => cancel(message as CancelMessage),
    ),
    network.onRequest(PROBE_KIND, () => ({ kind: PROBE_KIND })),
    // A process that was suspended or restarted has another clock behind its next link.
    network.onLinkOpened((peer) => void delays.delete(peer.process.host)),
    clock.repeat(SWEEP_INTERVAL_MS, () => {
      const now = clock.now();
      for (const [identity, call] of calls) {
        if (now > call.keepUntil) {
          calls.delete(identity);
          retention.forget(identity);
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
