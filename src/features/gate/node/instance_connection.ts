/**
 * An HTTP/1.1 connection to an instance that carries one call at a time.
 *
 * @module
 */

import { connect, type Socket } from "node:net";
import type { Clock } from "../../../base/common/clock.ts";
import type { Disposable } from "../../../base/common/disposable.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { ResponseBufferBudget } from "../common/response_buffer_budget.ts";
import {
  createResponseDecoder,
  type DecodedResponse,
  type DecodeResult,
} from "../common/response_decoder.ts";
import {
  MAXIMUM_RESPONSE_BODY_BYTES,
  MAXIMUM_UNMATCHED_RESPONSES,
} from "../common/response_limits.ts";

/** A local instance accepts a connection almost immediately or not at all. */
const CONNECT_TIMEOUT_MS: Milliseconds = 500;
/** Idle connections are no longer reused this long before the instance would close them. */
const IDLE_MARGIN_MS: Milliseconds = 1_500;
/** The assumed idle timeout of an instance that doesn't announce one. */
const DEFAULT_IDLE_TIMEOUT_MS: Milliseconds = 5_000;
/** How long after the end of its side an instance may reset a connection whose request it has not read. */
const RESET_DELAY_MS: Milliseconds = 40;
const KEEP_ALIVE_TIMEOUT = /timeout\s*=\s*(\d+)/i;

/** Reasons of exchanges that the instance has ended without a response. */
const RESET_REASONS: ReadonlySet<string> = new Set([
  "ECONNRESET",
  "EPIPE",
  "the connection ended",
  "the connection closed",
]);

export function isResetReason(reason: string): boolean {
  return RESET_REASONS.has(reason);
}

export interface InstanceRequest {
  readonly requestIdentity: string;
  /** The complete header section. */
  readonly head: string;
  readonly body: Uint8Array;
  readonly isHead: boolean;
}

export type ExchangeOutcome =
  | { readonly type: "response"; readonly response: DecodedResponse }
  /** The request was not sent. */
  | { readonly type: "not-sent"; readonly reason: string }
  | { readonly type: "broken"; readonly reason: string };

export interface InstanceConnection extends Disposable {
  /** Whether another call can use the connection. */
  isReusable(now: Milliseconds): boolean;
  exchange(
    request: InstanceRequest,
    done: (outcome: ExchangeOutcome) => void,
  ): void;
}

export interface InstanceConnectionOptions {
  readonly address: string;
  readonly port: number;
  readonly clock: Clock;
  /** The response header with the request identity, in lower case. */
  readonly identityHeader: string;
  /** The memory budget that all connections of a gate share. */
  readonly budget?: ResponseBufferBudget;
  readonly onClosed: () => void;
}

export function createInstanceConnection(
  options: InstanceConnectionOptions,
): InstanceConnection {
  const { clock, identityHeader } = options;
  let current: {
    request: InstanceRequest;
    done: (outcome: ExchangeOutcome) => void;
    sent: boolean;
    /** The number of skipped responses to other requests, and the total bytes of their bodies. */
    unmatchedResponses: number;
    unmatchedBytes: number;
  } | undefined;
  let connected = false;
  let closed = false;
  let idleTimeout: Milliseconds = DEFAULT_IDLE_TIMEOUT_MS;
  let idleSince: Milliseconds = clock.now();
  let confirmationTimer: Disposable | undefined;

  const decoder = createResponseDecoder({
    isHeadRequest: () => current?.request.isHead ?? false,
  });
  const reservation = options.budget?.reserve(() =>
    close("incomplete responses use too much memory")
  );
  const socket: Socket = connect({
    host: options.address,
    port: options.port,
    noDelay: true,
    allowHalfOpen: true,
  });
  const connectTimer = clock.schedule(
    CONNECT_TIMEOUT_MS,
    () => close("the connection was not accepted in time"),
  );
  socket.on("connect", () => {
    connected = true;
    connectTimer.dispose();
    sendRequest();
  });
  socket.on("data", (bytes: Buffer) => {
    decoder.push(bytes);
    if (current === undefined) {
      close("bytes were received without a request");
      return;
    }
    readResponses();
    reservation?.resize(closed ? 0 : decoder.bufferedBytes);
  });
  socket.on("end", () => {
    if (current?.sent && decoder.isCloseDelimited) {
      finishCloseDelimited();
    } else {
      close("the connection ended");
    }
  });
  socket.on(
    "error",
    (error: NodeJS.ErrnoException) => close(error.code ?? error.message),
  );
  socket.on("close", () => close("the connection closed"));

  /**
   * A close-delimited response is complete only after an orderly close. A reset can be reported as `end`
   * too; only a write distinguishes the two. Servers ignore the empty line (RFC 9112, section 2.2).
   *
   * An instance that has not read the whole request may end its side first and reset the connection then, so
   * the response to a request with a body is checked somewhat later: a write would fail after the reset.
   * There is one write only, because the instance resets the connection on a write after it has closed it.
   */
  function finishCloseDelimited(): void {
    if (socket.writableLength > 0) {
      close("the connection ended before the request was sent");
    } else if (current!.request.body.length > 0) {
      confirmationTimer = clock.schedule(
        RESET_DELAY_MS,
        completeUnlessReset,
      );
    } else {
      completeUnlessReset();
    }
  }

  function completeUnlessReset(): void {
    socket.write("\r\n", (error) => {
      if (!closed && (error === undefined || error === null)) {
        handleResult(decoder.finish(), "the connection ended");
        close("the connection ended");
      }
    });
  }

  function sendRequest(): void {
    if (current === undefined || current.sent || !connected) {
      return;
    }
    current.sent = true;
    const { head, body } = current.request;
    if (body.length === 0) {
      socket.write(head, "latin1");
      return;
    }
    socket.cork();
    socket.write(head, "latin1");
    socket.write(body);
    socket.uncork();
  }

  function readResponses(): void {
    while (current !== undefined) {
      const result = decoder.next();
      if (result.type === "more") {
        closeBehindUnmatched();
        return;
      }
      if (!handleResult(result, "the response is malformed")) {
        return;
      }
    }
    if (decoder.hasUnreadBytes) {
      close("bytes were received after the response");
    }
  }

  /** Returns whether to continue reading. */
  function handleResult(result: DecodeResult, reason: string): boolean {
    if (result.type !== "response") {
      close(result.type === "malformed" ? result.reason : reason);
      return false;
    }
    const { response } = result;
    if (!matchesRequest(response, current!.request.requestIdentity)) {
      // A duplicate response to an earlier request; the expected one may follow.
      if (!response.keepsConnection) {
        close("a response to another request ends the connection");
        return false;
      }
      return skipUnmatched(response);
    }
    settle({ type: "response", response });
    if (!response.keepsConnection) {
      close("the instance closes the connection");
      return false;
    }
    idleTimeout = readIdleTimeout(response);
    idleSince = clock.now();
    return true;
  }

  /** Ends the exchange if the response to another request, once complete, ends the connection. */
  function closeBehindUnmatched(): void {
    const head = decoder.incompleteHead;
    if (
      head !== undefined && !head.keepsConnection &&
      !matchesRequest(head, current!.request.requestIdentity)
    ) {
      close("a response to another request ends the connection");
    }
  }

  /** Returns whether to continue reading. */
  function skipUnmatched({ body }: DecodedResponse): boolean {
    const exchange = current!;
    exchange.unmatchedResponses += 1;
    exchange.unmatchedBytes += body.length;
    if (
      exchange.unmatchedResponses > MAXIMUM_UNMATCHED_RESPONSES ||
      exchange.unmatchedBytes > MAXIMUM_RESPONSE_BODY_BYTES
    ) {
      close("there are too many responses to other requests");
      return false;
    }
    return true;
  }

  function matchesRequest(
    { rawHeaders }: Pick<DecodedResponse, "rawHeaders">,
    identity: string,
  ): boolean {
    return findHeader(rawHeaders, identityHeader) === identity;
  }

  function settle(outcome: ExchangeOutcome): void {
    const done = current?.done;
    current = undefined;
    done?.(outcome);
  }

  function close(reason: string): void {
    if (closed) {
      return;
    }
    closed = true;
    connectTimer.dispose();
    confirmationTimer?.dispose();
    socket.destroy();
    const sent = current?.sent ?? false;
    decoder.discard();
    reservation?.dispose();
    options.onClosed();
    settle(sent ? { type: "broken", reason } : { type: "not-sent", reason });
  }

  return {
    isReusable: (now) =>
      !closed && connected && current === undefined &&
      !decoder.hasUnreadBytes &&
      now - idleSince < idleTimeout - IDLE_MARGIN_MS,
    exchange(request, done) {
      current = {
        request,
        done,
        sent: false,
        unmatchedResponses: 0,
        unmatchedBytes: 0,
      };
      sendRequest();
    },
    dispose: () => close("cancelled"),
  };
}

export function findHeader(
  rawHeaders: readonly string[],
  lowerCaseName: string,
): string | undefined {
  for (let index = 0; index < rawHeaders.length; index += 2) {
    if (rawHeaders[index].toLowerCase() === lowerCaseName) {
      return rawHeaders[index + 1];
    }
  }
  return undefined;
}

function readIdleTimeout(response: DecodedResponse): Milliseconds {
  const value = findHeader(response.rawHeaders, "keep-alive");
  const match = value === undefined ? null : KEEP_ALIVE_TIMEOUT.exec(value);
  return match === null ? DEFAULT_IDLE_TIMEOUT_MS : Number(match[1]) * 1_000;
}
