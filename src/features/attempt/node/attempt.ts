/**
 * Makes one attempt of a call at one instance.
 *
 * @module
 */

import { type IncomingMessage, request as sendRequest } from "node:http";
import type { Socket } from "node:net";
import { createDisposableStore } from "../../../base/common/disposable.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type {
  AttemptFailure,
  AttemptPhase,
  FailureCause,
  ResponseHead,
} from "../common/attempt_outcome.ts";
import { limitConnectTime } from "../common/deadline.ts";
import type { ConnectionPeer, ConnectionPool } from "./connection_pool.ts";
import type { Interruption } from "./interruption.ts";

/** A response up to this size is buffered completely before it is sent to the caller. */
export const MAXIMUM_BUFFERED_BYTES = 64 * 1_024;

const FIRST_SERVER_ERROR = 500;
const BODILESS_STATUSES = new Set([204, 304]);

export type AttemptBody =
  | { readonly kind: "whole"; readonly bytes: Buffer | undefined }
  | { readonly kind: "stream"; readonly source: IncomingMessage };

export interface AttemptOptions {
  readonly pool: ConnectionPool;
  readonly peer: ConnectionPeer;
  readonly connectionLimit: number;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly string[];
  readonly body: AttemptBody;
  /** The attempt fails if a streamed body is longer. */
  readonly maximumBodyBytes: number;
  readonly interruption: Interruption;
  readonly remaining: Milliseconds;
}

export interface UpstreamResponse extends ResponseHead {
  readonly rawHeaders: readonly string[];
}

export type AttemptEnd =
  | { readonly kind: "failed"; readonly failure: AttemptFailure }
  | {
    readonly kind: "answered";
    readonly upstreamResponse: UpstreamResponse;
    readonly body: Buffer;
  }
  | StreamingResponse;

/** A partly received response. The receiver must relay or destroy it. */
export interface StreamingResponse {
  readonly kind: "streaming";
  readonly upstreamResponse: UpstreamResponse;
  readonly received: readonly Buffer[];
  readonly incoming: IncomingMessage;
  /** Aborts the exchange and closes its connection. */
  destroy(cause: FailureCause): void;
}

export function runAttempt(options: AttemptOptions): Promise<AttemptEnd> {
  return new Promise((resolve) => {
    const { pool, peer, interruption } = options;
    const owned = createDisposableStore();
    let phase: AttemptPhase = "connect";
    let socket: Socket | undefined;
    let settled = false;

    function settle(end: AttemptEnd): void {
      if (!settled) {
        settled = true;
        owned.dispose();
        resolve(end);
      }
    }

    function destroy(cause: FailureCause): void {
      if (cause === "timeout") {
        pool.retireConnections(peer.identity);
      }
      socket?.destroy();
    }

    function fail(cause: FailureCause): void {
      if (!settled) {
        settle({ kind: "failed", failure: { phase, cause } });
        destroy(cause);
      }
    }

    function receive(incoming: IncomingMessage): void {
      phase = "response";
      incoming.on("error", () => {});
      const upstreamResponse = describeResponse(incoming);
      if (!isDelimited(incoming, options.method)) {
        fail("malformed");
        return;
      }
      bufferResponse(incoming, (received, isComplete) => {
        if (!isComplete) {
          settle({
            kind: "streaming",
            upstreamResponse,
            received,
            incoming,
            destroy,
          });
          return;
        }
        settle({
          kind: "answered",
          upstreamResponse,
          body: Buffer.concat(received),
        });
      }, () => fail("reset"));
    }

    function send(connected: Socket): void {
      socket = connected;
      phase = "send";
      const outgoing = sendRequest({
        createConnection: () => connected,
        method: options.method,
        path: options.path,
        headers: options.headers as string[],
      });
      // Without an agent, Node closes the connection after the response by default.
      outgoing.shouldKeepAlive = true;
      outgoing.on("finish", () => {
        phase = phase === "send" ? "first-byte" : phase;
      });
      outgoing.on("response", (incoming) => {
        // If the response ends before the request was sent completely, the connection is not reusable.
        incoming.once("end", () => {
          if (!outgoing.writableFinished) {
            connected.destroy();
          }
        });
        receive(incoming);
      });
      outgoing.on("error", () => fail("reset"));
      outgoing.on("close", () => fail("reset"));
      if (options.body.kind === "whole") {
        outgoing.end(options.body.bytes);
      } else {
        sendStream(options.body.source, outgoing, {
          maximumBytes: options.maximumBodyBytes,
          onTooLarge: () => fail("body-too-large"),
        });
      }
    }

    if (interruption.cause !== undefined) {
      fail(interruption.cause);
      return;
    }
    owned.add(interruption.onInterrupted(fail));
    owned.add(pool.acquire(peer, {
      timeoutMilliseconds: limitConnectTime(options.remaining),
      limit: options.connectionLimit,
    }, (result) => {
      if (typeof result === "string") {
        fail(result);
      } else {
        send(result);
      }
    }));
  });
}

function describeResponse(incoming: IncomingMessage): UpstreamResponse {
  return {
    status: incoming.statusCode ?? 0,
    headers: incoming.headers,
    rawHeaders: incoming.rawHeaders,
  };
}

/**
 * Whether the end of the response can be distinguished from a broken connection. A response that is
 * delimited by the end of its connection cannot be known to be complete.
 */
function isDelimited(incoming: IncomingMessage, method: string): boolean {
  return incoming.headers["content-length"] !== undefined ||
    incoming.headers["transfer-encoding"] !== undefined ||
    method === "HEAD" || BODILESS_STATUSES.has(incoming.statusCode ?? 0);
}

/**
 * Buffers a small response or a server error completely. Calls `onReceived` early, with the part
 * received so far, if the response is large, or of unknown length and not a server error.
 */
function bufferResponse(
  incoming: IncomingMessage,
  onReceived: (received: readonly Buffer[], isComplete: boolean) => void,
  onBroken: () => void,
): void {
  const length = incoming.headers["content-length"];
  const isBuffered = (incoming.statusCode ?? 0) >= FIRST_SERVER_ERROR ||
    (length !== undefined && Number(length) <= MAXIMUM_BUFFERED_BYTES);
  if (!isBuffered) {
    onReceived([], false);
    return;
  }
  const parts: Buffer[] = [];
  let size = 0;
  const onData = (part: Buffer) => {
    parts.push(part);
    size += part.length;
    if (size > MAXIMUM_BUFFERED_BYTES) {
      incoming.off("data", onData).pause();
      onReceived(parts, false);
    }
  };
  incoming.on("data", onData);
  incoming.once(
    "end",
    () => incoming.complete ? onReceived(parts, true) : onBroken(),
  );
  incoming.once("error", onBroken);
}

/** Forwards the caller's body as it arrives, up to the limit. */
function sendStream(
  source: IncomingMessage,
  outgoing: NodeJS.WritableStream,
  { maximumBytes, onTooLarge }: {
    maximumBytes: number;
    onTooLarge: () => void;
  },
): void {
  let size = 0;
  source.on("data", (part: Buffer) => {
    size += part.length;
    if (size > maximumBytes) {
      onTooLarge();
    }
  });
  source.pipe(outgoing);
  // After the upstream exchange has closed, the rest of the body is discarded, so that the caller can
  // read its response on the same connection.
  outgoing.once("close", () => {
    source.unpipe(outgoing);
    source.resume();
  });
}
