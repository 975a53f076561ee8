/**
 * Offers calls to the gates of all hosts, this one included.
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
  type GateLoadReport,
  type GateOutcome,
  type GateRequest,
  shorten,
} from "./gate_call.ts";
import {
  CANCEL_KIND,
  type CancelMessage,
  decodeOutcome,
  encodeOffer,
  OUTCOME_KIND,
} from "./gate_messages.ts";
import { createSilenceWatch, type WaitingOffer } from "./silence_watch.ts";

export interface OfferOptions {
  readonly request: GateRequest;
  /** How long a lost link may take to come back before the call counts as failed. */
  readonly resumeTimeout: Milliseconds;
  readonly settle: (outcome: GateOutcome) => void;
}

export interface GateClient extends Disposable {
  offer(host: HostName, options: OfferOptions): CallHandle;
  /** The number of calls that this daemon has under way at the gate of a host. */
  countOutstanding(host: HostName): number;
  /** Whether a host has not answered a probe and has sent nothing since. */
  isUnresponsive(host: HostName): boolean;
  /** A host has fallen silent while calls of this daemon wait for it. */
  readonly onUnresponsive: Event<HostName>;
}

export interface GateClientOptions {
  readonly self: ProcessIdentity;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly network: PeerNetwork;
  readonly gate: Gate;
  /** Called with the load that came with an outcome. */
  readonly onLoadReport: (host: HostName, load: GateLoadReport) => void;
  /** Calls back when the frames that have already arrived are handled. */
  readonly afterPendingEvents: (callback: () => void) => void;
}

interface Outstanding extends WaitingOffer {
  readonly peerStartedAt: Milliseconds;
  readonly options: OfferOptions;
  timer: Disposable | undefined;
}

export function createGateClient(options: GateClientOptions): GateClient {
  const { clock, gate, log, network, self } = options;
  const outstanding = new Map<string, Outstanding>();
  const counts = new Map<HostName, number>();
  const silence = createSilenceWatch({
    clock,
    log,
    network,
    waiting: () => outstanding.values(),
    afterPendingEvents: options.afterPendingEvents,
  });

  function count(host: HostName, change: number): void {
    counts.set(host, (counts.get(host) ?? 0) + change);
  }

  function offerLocally({ request, settle }: OfferOptions): CallHandle {
    count(self.host, 1);
    return gate.offer(request, (outcome) => {
      count(self.host, -1);
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
      timer: undefined,
    });
    count(host, 1);
    silence.noteOffered();
    return {
      cancel() {
        if (take(request.identity) !== undefined) {
          const cancellation: CancelMessage = {
            kind: CANCEL_KIND,
            identity: request.identity,
          };
          network.send(host, cancellation);
        }
      },
    };
  }

  function take(identity: string): Outstanding | undefined {
    const call = outstanding.get(identity);
    if (call !== undefined) {
      outstanding.delete(identity);
      call.timer?.dispose();
      count(call.host, -1);
    }
    return call;
  }

  function fail(identity: string, reason: string): void {
    const call = take(identity);
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

  function callsAt(host: HostName): [string, Outstanding][] {
    return [...outstanding].filter(([, call]) => call.host === host);
  }

  function handleClosed(peer: Peer): void {
    for (const [identity, call] of callsAt(peer.process.host)) {
      call.timer ??= clock.schedule(
        call.options.resumeTimeout,
        () => fail(identity, "the link was lost"),
      );
    }
  }

  function handleOpened(peer: Peer): void {
    const { host, startedAt } = peer.process;
    for (const [identity, call] of callsAt(host)) {
      if (call.peerStartedAt !== startedAt) {
        fail(identity, "the gate has restarted");
        continue;
      }
      call.timer?.dispose();
      call.timer = undefined;
      resume(call);
    }
  }

  function resume(
    { host, offeredAt, options: { request } }: Outstanding,
  ): void {
    const now = clock.now();
    const message = encodeOffer({
      request: shorten(request, now - offeredAt),
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
      take(decoded.identity)?.options.settle(decoded.outcome);
    }),
    network.onLinkClosed(handleClosed),
    network.onLinkOpened(handleOpened),
  ];

  return {
    offer,
    countOutstanding: (host) => counts.get(host) ?? 0,
    isUnresponsive: silence.isUnresponsive,
    onUnresponsive: silence.onSilent,
    dispose() {
      silence.dispose();
      for (const registration of registrations) {
        registration.dispose();
      }
    },
  };
}
