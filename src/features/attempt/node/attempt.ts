/**
 * One attempt of a call at one instance.
 *
 * @module
 */

import { type IncomingMessage, request as sendRequest } from "node:http";
import type { Socket } from "node:net";
import { createDisposableStore } from "../../../base/common/disposable.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type {
  AnswerHead,
  AttemptFailure,
  AttemptPhase,
  FailureCause,
} from "../common/attempt_outcome.ts";
import { limitConnectTime } from "../common/deadline.ts";
import type { ConnectionPeer, ConnectionPool } from "./connection_pool.ts";
import type { Interruption } from "./interruption.ts";

/** An answer up to this size is received whole before the caller gets its first byte. */
export const MAXIMUM_COLLECTED_BYTES = 64 * 1_024;

const FIRST_SERVER_ERROR = 500;
const BODILESS_STATUS = new Set([204, 304]);

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
  /** A streamed body that turns out longer fails the attempt. */
  readonly maximumBodyBytes: number;
  readonly interruption: Interruption;
  readonly remaining: Milliseconds;
}

export interface Answer extends AnswerHead {
  readonly rawHeaders: readonly string[];
}

export type AttemptEnd =
  | { readonly kind: "failed"; readonly failure: AttemptFailure }
  | {
    readonly kind: "answered";
    readonly answer: Answer;
    readonly body: Buffer;
  }
  | StreamingAnswer;

/** An answer of which the rest is still to come; whoever gets it relays or destroys it. */
export interface StreamingAnswer {
  readonly kind: "streaming";
  readonly answer: Answer;
  readonly received: readonly Buffer[];
  readonly incoming: IncomingMessage;
  /** Ends the exchange before its end. */
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
        pool.distrust(peer.identity);
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
      const answer = describeAnswer(incoming);
      if (!isDelimited(incoming, options.method)) {
        fail("malformed");
        return;
      }
      collect(incoming, (received, isWhole) => {
        if (!isWhole) {
          settle({ kind: "streaming", answer, received, incoming, destroy });
          return;
        }
        settle({ kind: "answered", answer, body: Buffer.concat(received) });
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
      // Without an agent Node closes the connection after the answer unless told otherwise.
      outgoing.shouldKeepAlive = true;
      outgoing.on("finish", () => {
        phase = phase === "send" ? "first-byte" : phase;
      });
      outgoing.on("response", (incoming) => {
        // The rest of a request that is answered early is not sent on a reused connection.
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
          refuse: () => fail("body-too-large"),
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

function describeAnswer(incoming: IncomingMessage): Answer {
  return {
    status: incoming.statusCode ?? 0,
    headers: incoming.headers,
    rawHeaders: incoming.rawHeaders,
  };
}

/**
 * Whether the end of the answer can be told from a cut connection. An answer that ends with
 * its connection cannot be known to be whole.
 */
function isDelimited(incoming: IncomingMessage, method: string): boolean {
  return incoming.headers["content-length"] !== undefined ||
    incoming.headers["transfer-encoding"] !== undefined ||
    method === "HEAD" || BODILESS_STATUS.has(incoming.statusCode ?? 0);
}

/**
 * Collects a small answer whole. An answer that is large, or of unknown length and good, is
 * handed over after what was received so far.
 */
function collect(
  incoming: IncomingMessage,
  done: (received: readonly Buffer[], isWhole: boolean) => void,
  broken: () => void,
): void {
  const length = incoming.headers["content-length"];
  const isCollected = (incoming.statusCode ?? 0) >= FIRST_SERVER_ERROR ||
    (length !== undefined && Number(length) <= MAXIMUM_COLLECTED_BYTES);
  if (!isCollected) {
    done([], false);
    return;
  }
  const parts: Buffer[] = [];
  let size = 0;
  const onData = (part: Buffer) => {
    parts.push(part);
    size += part.length;
    if (size > MAXIMUM_COLLECTED_BYTES) {
      incoming.off("data", onData).pause();
      done(parts, false);
    }
  };
  incoming.on("data", onData);
  incoming.once("end", () => incoming.complete ? done(parts, true) : broken());
  incoming.once("error", broken);
}

/** Passes the caller's body on as it arrives, up to the limit. */
function sendStream(
  source: IncomingMessage,
  outgoing: NodeJS.WritableStream,
  { maximumBytes, refuse }: { maximumBytes: number; refuse: () => void },
): void {
  let size = 0;
  source.on("data", (part: Buffer) => {
    size += part.length;
    if (size > maximumBytes) {
      refuse();
    }
  });
  source.pipe(outgoing);
  // What the upstream no longer takes is read to its end, so that the caller can read its
  // answer on the same connection.
  outgoing.once("close", () => {
    source.unpipe(outgoing);
    source.resume();
  });
}
