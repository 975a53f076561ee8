/**
 * Offers calls to the gates of all hosts, including the local one.
 *
 * @module
 */

import type { Clock } from "../../../base/common/clock.ts";
import type { Disposable } from "../../../base/common/disposable.ts";
import type { Event } from "../../../base/common/emitter.ts";
import type { EventLog } from "../../../base/common/event_log.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { ProcessIdentity } from "../../../world/common/host.ts";
import type { HostName } from "../../../world/common/names.ts";
import type { Peer, PeerNetwork } from "../../link/common/peer_network.ts";
import type { CallHandle, Gate } from "./gate.ts";
import {
  deductElapsedTime,
  type GateLoadReport,
  type GateOutcome,
  type GateRequest,
} from "./gate_call.ts";
import {
  CANCEL_KIND,
  type CancelMessage,
  decodeOutcome,
  encodeOffer,
  OUTCOME_KIND,
} from "./gate_messages.ts";
import {
  createUnresponsiveHostDetector,
  type PendingOffer,
} from "./unresponsive_host_detector.ts";

export interface OfferOptions {
  readonly request: GateRequest;
  /** How long to wait for a lost link to reconnect before the call fails. */
  readonly resumeTimeout: Milliseconds;
  readonly settle: (outcome: GateOutcome) => void;
}

export interface GateClient extends Disposable {
  offer(host: HostName, options: OfferOptions): CallHandle;
  /** The number of calls of this daemon that are in flight at the gate of a host. */
  countOutstanding(host: HostName): number;
  /** The number of those that were offered at this instant or later. */
  countOfferedSince(host: HostName, instant: Milliseconds): number;
  /** Whether a host failed to answer a probe and has sent nothing since. */
  isUnresponsive(host: HostName): boolean;
  /** Fires when a host becomes unresponsive while calls of this daemon are in flight there. */
  readonly onUnresponsive: Event<HostName>;
}

export interface GateClientOptions {
  readonly self: ProcessIdentity;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly network: PeerNetwork;
  readonly gate: Gate;
  /** Called with the load report of each outcome. */
  readonly onLoadReport: (host: HostName, load: GateLoadReport) => void;
  /** Calls back once the frames that have already arrived are processed. */
  readonly afterPendingEvents: (callback: () => void) => void;
}

interface OutstandingCall extends PendingOffer {
  readonly peerStartedAt: Milliseconds;
  readonly options: OfferOptions;
  resumeTimer: Disposable | undefined;
}

export function createGateClient(options: GateClientOptions): GateClient {
  const { clock, gate, log, network, self } = options;
  const outstanding = new Map<string, OutstandingCall>();
  /** When the calls in flight at each host were offered, in ascending order. */
  const offeredAtByHost = new Map<HostName, Milliseconds[]>();
  const hostDetector = createUnresponsiveHostDetector({
    clock,
    log,
    network,
    pendingOffers: () => outstanding.values(),
    afterPendingEvents: options.afterPendingEvents,
  });

  function countOffer(host: HostName, offeredAt: Milliseconds): void {
    const instants = offeredAtByHost.get(host);
    if (instants === undefined) {
      offeredAtByHost.set(host, [offeredAt]);
    } else {
      instants.push(offeredAt);
    }
  }

  function discountOffer(host: HostName, offeredAt: Milliseconds): void {
    const instants = offeredAtByHost.get(host) ?? [];
    instants.splice(instants.indexOf(offeredAt), 1);
  }

  function countOfferedSince(host: HostName, instant: Milliseconds): number {
    const instants = offeredAtByHost.get(host) ?? [];
    let first = instants.length;
    while (first > 0 && instants[first - 1] >= instant) {
      first -= 1;
    }
    return instants.length - first;
  }

  function offerLocally({ request, settle }: OfferOptions): CallHandle {
    const offeredAt = clock.now();
    countOffer(self.host, offeredAt);
    return gate.offer(request, (outcome) => {
      discountOffer(self.host, offeredAt);
      settle(outcome);
    });
  }

  function offer(host: HostName, offerOptions: OfferOptions): CallHandle {
    if (host === self.host) {
      return offerLocally(offerOptions);
    }
    const { request, settle } = offerOptions;
    const peer = network.findPeer(host);
    const offeredAt = clock.now();
    const message = encodeOffer({ request, sentAt: offeredAt });
    if (peer === undefined || !network.send(host, message)) {
      settle({
        type: "refused",
        reason: "unreachable",
        retryAfter: 0,
        reachedInstance: false,
      });
      return { cancel() {} };
    }
    outstanding.set(request.identity, {
      host,
      peerStartedAt: peer.process.startedAt,
      options: offerOptions,
      offeredAt,
      usualMilliseconds: request.meanServiceMilliseconds,
      resumeTimer: undefined,
    });
    countOffer(host, offeredAt);
    hostDetector.handleOffered();
    return {
      cancel() {
        if (removeOutstanding(request.identity) !== undefined) {
          const cancellation: CancelMessage = {
            kind: CANCEL_KIND,
            identity: request.identity,
          };
          network.send(host, cancellation);
        }
      },
    };
  }

  function removeOutstanding(identity: string): OutstandingCall | undefined {
    const call = outstanding.get(identity);
    if (call !== undefined) {
      outstanding.delete(identity);
      call.resumeTimer?.dispose();
      discountOffer(call.host, call.offeredAt);
    }
    return call;
  }

  function failCall(identity: string, reason: string): void {
    const call = removeOutstanding(identity);
    if (call === undefined) {
      return;
    }
    log.write("info", "gate.call-lost", {
      request: call.options.request.requestIdentity,
      peer: call.host,
      reason,
      after: Math.round(clock.now() - call.offeredAt),
    });
    call.options.settle({ type: "failed", reason });
  }

  function listCallsAt(host: HostName): [string, OutstandingCall][] {
    return [...outstanding].filter(([, call]) => call.host === host);
  }

  function handleClosed(peer: Peer): void {
    for (const [identity, call] of listCallsAt(peer.process.host)) {
      call.resumeTimer ??= clock.schedule(
        call.options.resumeTimeout,
        () => failCall(identity, "the link was lost"),
      );
    }
  }

  function handleOpened(peer: Peer): void {
    const { host, startedAt } = peer.process;
    for (const [identity, call] of listCallsAt(host)) {
      if (call.peerStartedAt !== startedAt) {
        failCall(identity, "the gate has restarted");
        continue;
      }
      call.resumeTimer?.dispose();
      call.resumeTimer = undefined;
      resendOffer(call);
    }
  }

  function resendOffer(
    { host, offeredAt, options: { request } }: OutstandingCall,
  ): void {
    const now = clock.now();
    const message = encodeOffer({
      request: deductElapsedTime(request, now - offeredAt),
      sentAt: now,
    });
    log.write("info", "gate.call-resumed", {
      request: request.requestIdentity,
      peer: host,
    });
    network.send(host, message);
  }

  const registrations = [
    network.onMessage(OUTCOME_KIND, (peer, message) => {
      const decoded = decodeOutcome(message);
      if (decoded === undefined) {
        log.write("error", "gate.outcome-unreadable", {
          peer: peer.process.host,
        });
        return;
      }
      options.onLoadReport(peer.process.host, decoded.load);
      removeOutstanding(decoded.identity)?.options.settle(decoded.outcome);
    }),
    network.onLinkClosed(handleClosed),
    network.onLinkOpened(handleOpened),
  ];

  return {
    offer,
    countOutstanding: (host) => offeredAtByHost.get(host)?.length ?? 0,
    countOfferedSince,
    isUnresponsive: hostDetector.isUnresponsive,
    onUnresponsive: hostDetector.onUnresponsive,
    dispose() {
      hostDetector.dispose();
      for (const registration of registrations) {
        registration.dispose();
      }
    },
  };
}
