/**
 * One link over a WebSocket: sends and receives frames, limits unsent bytes and records the times for
 * liveness checks.
 *
 * @module
 */

import type { WebSocket } from "ws";
import type { Clock } from "../../../base/common/clock.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import {
  decodeMessage,
  encodeMessage,
} from "../../../base/common/message_codec.ts";
import type { HostName } from "../../../world/common/names.ts";
import {
  fromWireFrame,
  LINK_PROTOCOL,
  type LinkFrame,
  type LinkPurpose,
  toWireFrame,
} from "../common/link_frame.ts";
import type { Peer } from "../common/peer_network.ts";

/** The maximum size of a message; limits the memory that a frame from a faulty peer can use. */
export const MAXIMUM_MESSAGE_BYTES = 4 * 1024 * 1024;

/**
 * A link with more unsent bytes than this is congested and refuses further messages, so that their senders
 * learn of it. Twelve links at this limit stay under the memory limit of a daemon.
 */
export const MAXIMUM_UNSENT_BYTES = 1024 * 1024;

/** A link is destroyed after this number of intervals without a frame or with congestion. */
export const MAXIMUM_MISSED_INTERVALS = 3;

/** Allows more time to a peer that has not announced its interval; it may be slow because it is starting. */
const UNANNOUNCED_INTERVAL_FACTOR = 2;

/** Counters of all links of a daemon. */
export interface TrafficCounters {
  sentBytes: number;
  receivedBytes: number;
  sentMessages: number;
  receivedMessages: number;
}

export interface LinkOptions {
  readonly clock: Clock;
  readonly traffic: TrafficCounters;
  /** The heartbeat interval that both sides use until one announces another. */
  readonly heartbeatInterval: Milliseconds;
  /** The host that opened the connection; undefined until the hello if the peer opened it. */
  readonly openedBy: HostName | undefined;
  readonly onFrame: (link: Link, frame: LinkFrame) => void;
  readonly onClosed: (link: Link) => void;
}

/** A connection to a peer, which is undefined until its hello has arrived. */
export interface Link {
  peer: Peer | undefined;
  purpose: LinkPurpose;
  openedBy: HostName | undefined;
  establishedAt: Milliseconds;
  lastReceivedAt: Milliseconds;
  lastSentAt: Milliseconds;
  /** The longest time between two frames from the peer, as it has announced. */
  peerInterval: Milliseconds;
  /** The longest time between two frames to the peer, as announced to it. */
  announcedInterval: Milliseconds;
  lastUsedAt: Milliseconds;
  readonly isOpen: boolean;
  /** Returns false if the link is closed or congested, or the frame is too large. */
  send(frame: LinkFrame): boolean;
  /** Sends a frame that {@linkcode encodeFrame} has encoded. */
  sendEncoded(bytes: Buffer): boolean;
  sendHello(self: Peer, purpose: LinkPurpose): void;
  /** The time at which the unsent bytes exceeded the limit; undefined if the link is not congested. */
  congestedSince(now: Milliseconds): Milliseconds | undefined;
  /** Closes gracefully: frames in flight still arrive. */
  close(): void;
  /** Terminates the connection without a closing handshake. */
  destroy(): void;
}

/** Encodes a frame, so that it can be sent over several links. */
export function encodeFrame(frame: LinkFrame): Buffer {
  return encodeMessage(toWireFrame(frame));
}

export function createLink(socket: WebSocket, options: LinkOptions): Link {
  const { clock, traffic } = options;
  let congestedAt: Milliseconds | undefined;
  let closed = false;

  function canSend(): boolean {
    return link.isOpen && link.congestedSince(clock.now()) === undefined;
  }

  const link: Link = {
    peer: undefined,
    purpose: "link",
    openedBy: options.openedBy,
    establishedAt: clock.now(),
    lastReceivedAt: clock.now(),
    lastSentAt: clock.now(),
    peerInterval: UNANNOUNCED_INTERVAL_FACTOR * options.heartbeatInterval,
    announcedInterval: options.heartbeatInterval,
    lastUsedAt: clock.now(),
    get isOpen() {
      return !closed && socket.readyState === socket.OPEN;
    },
    send: (frame) => canSend() && link.sendEncoded(encodeFrame(frame)),
    sendEncoded(bytes) {
      if (!canSend() || bytes.length > MAXIMUM_MESSAGE_BYTES) {
        return false;
      }
      socket.send(bytes);
      link.lastSentAt = clock.now();
      traffic.sentBytes += bytes.length;
      traffic.sentMessages += 1;
      return true;
    },
    sendHello(self, purpose) {
      link.send({
        type: "hello",
        protocol: LINK_PROTOCOL,
        peer: self,
        purpose,
      });
    },
    congestedSince(now) {
      congestedAt = socket.bufferedAmount > MAXIMUM_UNSENT_BYTES
        ? congestedAt ?? now
        : undefined;
      return congestedAt;
    },
    close: () => socket.close(),
    destroy: () => socket.terminate(),
  };
  socket.on("message", (data: Buffer, isBinary) => {
    link.lastReceivedAt = clock.now();
    traffic.receivedBytes += data.length;
    traffic.receivedMessages += 1;
    const decoded = isBinary ? decodeMessage(data, "link.receive") : undefined;
    const frame = decoded?.ok ? fromWireFrame(decoded.val) : undefined;
    if (frame === undefined) {
      link.destroy();
      return;
    }
    options.onFrame(link, frame);
  });
  socket.on("error", () => socket.terminate());
  socket.on("close", () => {
    closed = true;
    options.onClosed(link);
  });
  return link;
}
