/**
 * One connection to an instance: one call at a time.
 *
 * @module
 */

import { connect, type Socket } from "node:net";
import type { Clock } from "../../../base/common/clock.ts";
import type { Disposable } from "../../../base/common/disposable.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { AnswerBudget } from "../common/response_buffer_budget.ts";
import {
  createResponseDecoder,
  type DecodedResponse,
  type DecodeStep,
} from "../common/response_decoder.ts";
import {
  MAXIMUM_FOREIGN_RESPONSES,
  MAXIMUM_RESPONSE_BODY_BYTES,
} from "../common/response_limits.ts";

/** An instance beside the daemon answers a connection at once or not at all. */
const CONNECT_TIMEOUT_MS: Milliseconds = 500;
/** Idle connections are given up this long before the instance closes them. */
const IDLE_MARGIN_MS: Milliseconds = 1_500;
/** Assumed idle time of an instance that does not tell it. */
const DEFAULT_IDLE_MS: Milliseconds = 5_000;
const KEEP_ALIVE_TIMEOUT = /timeout\s*=\s*(\d+)/i;

export interface InstanceRequest {
  readonly requestIdentity: string;
  /** The complete header section. */
  readonly head: string;
  readonly body: Uint8Array;
  readonly isHead: boolean;
}

export type ExchangeOutcome =
  | { readonly type: "response"; readonly response: DecodedResponse }
  /** The request did not leave this process. */
  | { readonly type: "not-sent"; readonly reason: string }
  | { readonly type: "broken"; readonly reason: string };

export interface InstanceConnection extends Disposable {
  /** Whether another call can start on it. */
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
  /** The response header that names the request, in lower case. */
  readonly identityHeader: string;
  /** Shared by all connections of a gate. */
  readonly budget?: AnswerBudget;
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
    /** Responses to other requests that were passed over, and the bytes of their bodies. */
    foreignResponses: number;
    foreignBytes: number;
  } | undefined;
  let connected = false;
  let closed = false;
  let idleLimit: Milliseconds = DEFAULT_IDLE_MS;
  let idleSince: Milliseconds = clock.now();

  const decoder = createResponseDecoder({
    isHeadRequest: () => current?.request.isHead ?? false,
  });
  const share = options.budget?.open(() =>
    end("the answers under way take too much memory")
  );
  const socket: Socket = connect({
    host: options.address,
    port: options.port,
    noDelay: true,
    allowHalfOpen: true,
  });
  const connectTimer = clock.schedule(
    CONNECT_TIMEOUT_MS,
    () => end("the connection was not accepted in time"),
  );
  socket.on("connect", () => {
    connected = true;
    connectTimer.dispose();
    transmit();
  });
  socket.on("data", (bytes: Buffer) => {
    decoder.push(bytes);
    if (current === undefined) {
      // Bytes that no request asked for belong to nobody.
      end("bytes without a request");
      return;
    }
    readResponses();
    share?.resize(closed ? 0 : decoder.heldBytes);
  });
  socket.on("end", () => {
    if (current?.sent && decoder.awaitsEnd) {
      finishUnframed();
    } else {
      end("the connection ended");
    }
  });
  socket.on(
    "error",
    (error: NodeJS.ErrnoException) => end(error.code ?? error.message),
  );
  socket.on("close", () => end("the connection closed"));

  /**
   * A response without a length is complete when its connection ended in order. A reset can be
   * reported as an end too, and only a write tells the two apart; servers ignore an empty line
   * (RFC 9112, section 2.2).
   */
  function finishUnframed(): void {
    socket.write("\r\n", (error) => {
      if (!closed && (error === undefined || error === null)) {
        handle(decoder.finish(), "the connection ended");
        end("the connection ended");
      }
    });
  }

  function transmit(): void {
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
      const step = decoder.next();
      if (step.type === "more" || !handle(step, "malformed response")) {
        return;
      }
    }
    if (decoder.hasBytes) {
      end("bytes after the response");
    }
  }

  /** Returns whether to go on reading. */
  function handle(step: DecodeStep, reason: string): boolean {
    if (step.type !== "response") {
      end(step.type === "malformed" ? step.reason : reason);
      return false;
    }
    const { response } = step;
    if (!belongsTo(response, current!.request.requestIdentity)) {
      // A late second response to an earlier request; the one that is due may follow.
      if (!response.keepsConnection) {
        end("a response to another request ended the connection");
        return false;
      }
      return passOver(response);
    }
    settle({ type: "response", response });
    if (!response.keepsConnection) {
      end("the instance closes the connection");
      return false;
    }
    idleLimit = readIdleLimit(response);
    idleSince = clock.now();
    return true;
  }

  /** Returns whether to go on reading. */
  function passOver({ body }: DecodedResponse): boolean {
    const exchange = current!;
    exchange.foreignResponses += 1;
    exchange.foreignBytes += body.length;
    if (
      exchange.foreignResponses > MAXIMUM_FOREIGN_RESPONSES ||
      exchange.foreignBytes > MAXIMUM_RESPONSE_BODY_BYTES
    ) {
      end("there are too many responses to other requests");
      return false;
    }
    return true;
  }

  function belongsTo(response: DecodedResponse, identity: string): boolean {
    return findHeader(response.rawHeaders, identityHeader) === identity;
  }

  function settle(outcome: ExchangeOutcome): void {
    const done = current?.done;
    current = undefined;
    done?.(outcome);
  }

  function end(reason: string): void {
    if (closed) {
      return;
    }
    closed = true;
    connectTimer.dispose();
    socket.destroy();
    const sent = current?.sent ?? false;
    decoder.discard();
    share?.dispose();
    options.onClosed();
    settle(sent ? { type: "broken", reason } : { type: "not-sent", reason });
  }

  return {
    isReusable: (now) =>
      !closed && connected && current === undefined && !decoder.hasBytes &&
      now - idleSince < idleLimit - IDLE_MARGIN_MS,
    exchange(request, done) {
      current = {
        request,
        done,
        sent: false,
        foreignResponses: 0,
        foreignBytes: 0,
      };
      transmit();
    },
    dispose: () => end("cancelled"),
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

function readIdleLimit(response: DecodedResponse): Milliseconds {
  const value = findHeader(response.rawHeaders, "keep-alive");
  const match = value === undefined ? null : KEEP_ALIVE_TIMEOUT.exec(value);
  return match === null ? DEFAULT_IDLE_MS : Number(match[1]) * 1_000;
}
