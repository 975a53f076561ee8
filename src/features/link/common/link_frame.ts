/**
 * The frames between two daemons: one msgpack array per WebSocket message.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { LinkMessage, Peer } from "./peer_network.ts";

/** The protocol version; daemons with different versions do not link. */
export const LINK_PROTOCOL = 2;

/** A temporary link carries requests only and is not reported as a link. */
export type LinkPurpose = "link" | "temporary";

export type LinkFrame =
  | {
    readonly type: "hello";
    readonly protocol: number;
    readonly peer: Peer;
    readonly purpose: LinkPurpose;
  }
  | {
    readonly type: "ping";
    /** The longest time until the next frame; undefined if the daemon does not announce it. */
    readonly interval?: Milliseconds;
  }
  | { readonly type: "message"; readonly message: LinkMessage }
  | {
    readonly type: "request";
    readonly id: number;
    readonly message: LinkMessage;
  }
  | {
    readonly type: "answer";
    readonly id: number;
    readonly message: LinkMessage;
  }
  | { readonly type: "failure"; readonly id: number; readonly reason: string };

const HELLO = 0;
const PING = 1;
const MESSAGE = 2;
const REQUEST = 3;
const ANSWER = 4;
const FAILURE = 5;

/** Converts a frame to its wire form, an array that is encoded as msgpack. */
export function toWireFrame(frame: LinkFrame): readonly unknown[] {
  switch (frame.type) {
    case "hello": {
      const { process, failureDomain } = frame.peer;
      return [
        HELLO,
        frame.protocol,
        process.host,
        process.startedAt,
        failureDomain,
        frame.purpose,
      ];
    }
    case "ping":
      return frame.interval === undefined ? [PING] : [PING, frame.interval];
    case "message":
      return [MESSAGE, frame.message];
    case "request":
      return [REQUEST, frame.id, frame.message];
    case "answer":
      return [ANSWER, frame.id, frame.message];
    case "failure":
      return [FAILURE, frame.id, frame.reason];
  }
}

/** Parses the wire form; undefined if it is not a frame of this protocol. */
export function fromWireFrame(wire: unknown): LinkFrame | undefined {
  if (!Array.isArray(wire)) {
    return undefined;
  }
  const [type, first, second] = wire;
  switch (type) {
    case HELLO:
      return parseHello(wire);
    case PING:
      return typeof first === "number" && first > 0
        ? { type: "ping", interval: first }
        : { type: "ping" };
    case MESSAGE:
      return isMessage(first) ? { type: "message", message: first } : undefined;
    case REQUEST:
    case ANSWER:
      return Number.isInteger(first) && isMessage(second)
        ? {
          type: type === REQUEST ? "request" : "answer",
          id: first,
          message: second,
        }
        : undefined;
    case FAILURE:
      return Number.isInteger(first) && typeof second === "string"
        ? { type: "failure", id: first, reason: second }
        : undefined;
    default:
      return undefined;
  }
}

function parseHello(wire: readonly unknown[]): LinkFrame | undefined {
  const [, protocol, host, startedAt, failureDomain, purpose] = wire;
  if (
    typeof protocol !== "number" || typeof host !== "string" ||
    typeof startedAt !== "number" || typeof failureDomain !== "string" ||
    (purpose !== "link" && purpose !== "temporary")
  ) {
    return undefined;
  }
  const peer = { process: { host, startedAt }, failureDomain };
  return { type: "hello", protocol, peer, purpose };
}

function isMessage(value: unknown): value is LinkMessage {
  return typeof value === "object" && value !== null &&
    typeof (value as { kind?: unknown }).kind === "string";
}
