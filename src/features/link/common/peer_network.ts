/**
 * Messages between daemons, as the other features see them.
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
 * A message of a feature. The feature that owns the kind checks the fields of a message that
 * arrives; a message with an unknown kind is counted and dropped.
 */
export interface LinkMessage {
  readonly kind: string;
}

/** The daemon at the other end of a link. */
export interface Peer {
  readonly process: ProcessIdentity;
  readonly failureDomain: FailureDomainName;
}

/** Where a daemon accepts links. */
export interface LinkTarget {
  readonly host: HostName;
  readonly address: string;
  readonly port: number;
}

export interface RequestOptions {
  readonly timeoutMilliseconds: Milliseconds;
}

/** What the links carried, for the measure of control bytes. */
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
   * For how long the next frame of a host has been overdue; 0 when none is. The host may be overloaded
   * or cut off.
   */
  getOverdueTime(host: HostName): Milliseconds;
  /** For how long nothing has come from a host over an open link; 0 without a link. */
  getIdleTime(host: HostName): Milliseconds;
  readonly onLinkOpened: Event<Peer>;
  readonly onLinkClosed: Event<Peer>;
  /** The address of a target has been given to another host. */
  readonly onTargetReplaced: Event<LinkTarget>;

  /** Sets the daemons to which links are kept open; links that this side opened to others close. */
  setTargets(targets: readonly LinkTarget[]): void;

  /** Tells how to reach a host that is not among the targets, for `request`. */
  setAddressResolver(find: (host: HostName) => LinkTarget | undefined): void;

  /** Sends over an open link. Returns false when there is none or it is congested. */
  send(host: HostName, message: LinkMessage): boolean;

  /**
   * Sends a message and waits for its answer, over a temporary link when none is open. The
   * error's outcome is `not-run` when the message was certainly not sent.
   */
  request(
    host: HostName,
    message: LinkMessage,
    options: RequestOptions,
  ): Promise<Result<LinkMessage, StepError>>;

  /** Registers the handler of a kind that is sent without an answer. */
  onMessage(
    kind: string,
    handler: (peer: Peer, message: LinkMessage) => void,
  ): Disposable;

  /** Registers the handler of a kind that is answered. */
  onRequest(
    kind: string,
    handler: (
      peer: Peer,
      message: LinkMessage,
    ) => LinkMessage | Promise<LinkMessage>,
  ): Disposable;
}
