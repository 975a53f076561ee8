/**
 * Dispatches messages and requests from all links to the handlers that features have registered.
 *
 * A frame is handled synchronously in the event in which its bytes arrived. A queue would cost an
 * iteration of the event loop per frame, which is half of the system calls of a relayed call.
 *
 * @module
 */

import type { Disposable } from "../../../base/common/disposable.ts";
import { registerHandler } from "../../../base/common/handler_map.ts";
import type { EventLog } from "../../../base/common/event_log.ts";
import { describeError } from "../../../base/common/step_error.ts";
import type { LinkFrame } from "../common/link_frame.ts";
import type { LinkMessage, Peer, PeerNetwork } from "../common/peer_network.ts";

/** A frame that is passed to a feature's handler. */
export type FeatureFrame = Extract<
  LinkFrame,
  { type: "message" | "request" }
>;

interface Delivery {
  readonly peer: Peer;
  readonly frame: FeatureFrame;
  readonly reply: (frame: LinkFrame) => void;
}

export interface FrameDispatcher
  extends Disposable, Pick<PeerNetwork, "onMessage" | "onRequest"> {
  /** Passes a frame to its handler; `reply` is called if it is a request. */
  dispatch(delivery: Delivery): void;
}

export function createFrameDispatcher(log: EventLog): FrameDispatcher {
  const messageHandlers = new Map<string, MessageHandler>();
  const requestHandlers = new Map<string, RequestHandler>();
  let isClosed = false;

  function deliver({ peer, frame, reply }: Delivery): void {
    if (frame.type === "request") {
      answer(peer, frame).then(reply);
      return;
    }
    const handler = messageHandlers.get(frame.message.kind);
    if (handler === undefined) {
      log.write("debug", "link.unknown-kind", { kind: frame.message.kind });
    }
    handler?.(peer, frame.message);
  }

  async function answer(
    peer: Peer,
    { id, message }: Extract<FeatureFrame, { type: "request" }>,
  ): Promise<LinkFrame> {
    const handler = requestHandlers.get(message.kind);
    if (handler === undefined) {
      return { type: "failure", id, reason: `No handler for ${message.kind}` };
    }
    try {
      return { type: "answer", id, message: await handler(peer, message) };
    } catch (error) {
      const reason = describeError(error);
      log.write("error", "link.request-failed", { kind: message.kind, reason });
      return { type: "failure", id, reason };
    }
  }

  return {
    dispatch(delivery) {
      if (isClosed) {
        return;
      }
      try {
        deliver(delivery);
      } catch (error) {
        log.write("error", "link.handler-failed", {
          peer: delivery.peer.process.host,
          error: describeError(error),
        });
      }
    },
    onMessage: (kind, handler) =>
      registerHandler(messageHandlers, kind, handler),
    onRequest: (kind, handler) =>
      registerHandler(requestHandlers, kind, handler),
    dispose() {
      isClosed = true;
    },
  };
}

type MessageHandler = (peer: Peer, message: LinkMessage) => void;
type RequestHandler = (
  peer: Peer,
  message: LinkMessage,
) => LinkMessage | Promise<LinkMessage>;
