/**
 * The interface through which features exchange messages with other daemons.
 *
 * @module
 */

import type { Disposable } from "../../../base/common/disposable.ts";
import type { Event } from "../../../base/common/emitter.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { Result } from "../../../base/common/result.ts";
import type { StepError } from "../../../base/common/step_error.ts";
import type { ProcessIdentity } from "../../../world/common/host.ts";
import type {
  FailureDomainName,
  HostName,
} from "../../../world/common/names.ts";

/**
 * A message of a feature. The feature that owns the kind validates the fields of received messages; a
 * message with an unknown kind is logged and dropped.
 */
export interface LinkMessage {
  readonly kind: string;
}

/** The daemon at the other end of a link. */
export interface Peer {
  readonly process: ProcessIdentity;
  readonly failureDomain: FailureDomainName;
}

/** The address at which a daemon accepts links. */
export interface LinkTarget {
  readonly host: HostName;
  readonly address: string;
  readonly port: number;
}

export interface RequestOptions {
  readonly timeoutMilliseconds: Milliseconds;
}

/** Traffic counters of all links, for the metric of control traffic in bytes. */
export interface LinkTraffic {
  readonly sentBytes: number;
  readonly receivedBytes: number;
  readonly sentMessages: number;
  readonly receivedMessages: number;
}

export interface PeerNetwork extends Disposable {
  /** Peers with an open link, whichever side opened it. */
  readonly peers: readonly Peer[];
  readonly traffic: LinkTraffic;
  /** The peer with an open link to a host. */
  findPeer(host: HostName): Peer | undefined;
  /**
   * The time in milliseconds by which the next frame of a host is overdue; 0 if it is not. The host may be
   * overloaded or unreachable.
   */
  getOverdueTime(host: HostName): Milliseconds;
  /** The time since the last frame from a host over an open link, in milliseconds; 0 without a link. */
  getIdleTime(host: HostName): Milliseconds;
  readonly onLinkOpened: Event<Peer>;
  readonly onLinkClosed: Event<Peer>;
  /** Fires when another host responds at the address of a target. */
  readonly onTargetReplaced: Event<LinkTarget>;

  /** Sets the daemons to which links are kept open; links that this side opened to other daemons are closed. */
  setTargets(targets: readonly LinkTarget[]): void;

  /** Sets how `request` resolves the address of a host that is not a target. */
  setAddressResolver(find: (host: HostName) => LinkTarget | undefined): void;

  /** Sends over an open link. Returns false if there is none, it is congested or the message is too large. */
  send(host: HostName, message: LinkMessage): boolean;

  /** Sends one message to several hosts. Hosts that `send` would return false for do not get it. */
  sendToAll(hosts: readonly HostName[], message: LinkMessage): void;

  /**
   * Sends a message and waits for its answer, over a temporary link if no link is open. The error's outcome
   * is `not-run` if the message was certainly not sent, otherwise `unknown`.
   */
  request(
    host: HostName,
    message: LinkMessage,
    options: RequestOptions,
  ): Promise<Result<LinkMessage, StepError>>;

  /** Registers the handler of a message kind that has no answer. */
  onMessage(
    kind: string,
    handler: (peer: Peer, message: LinkMessage) => void,
  ): Disposable;

  /** Registers the handler of a request kind; it returns the answer. */
  onRequest(
    kind: string,
    handler: (
      peer: Peer,
      message: LinkMessage,
    ) => LinkMessage | Promise<LinkMessage>,
  ): Disposable;
}
