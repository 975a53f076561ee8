/**
 * A kept connection of a caller, which may send requests before earlier ones are answered.
 *
 * @module
 */

import { connect, type Socket } from "node:net";
import { parseEndpoint } from "../src/base/common/endpoint.ts";
import type { Milliseconds } from "../src/base/common/milliseconds.ts";

export interface SeenAnswer {
  /** 0 when the connection ended before the whole answer. */
  readonly status: number;
  readonly body: string;
  /** The answer bears the seal of an instance. */
  readonly isFromInstance: boolean;
  /** The connection was established, so that the process may have read the request. */
  readonly wasConnected: boolean;
  /** When the last byte of the request was handed to the connection; `Infinity` if it was not. */
  readonly lastByteAt: Milliseconds;
  /** An earlier request on the connection had no answer when this one was sent. */
  readonly isBehind: boolean;
}

export interface CallerConnection {
  /** Open, without a request that waits, and not about to be closed by the server. */
  readonly isIdle: boolean;
  /** Resolves with the answer, or when the connection has ended or was closed. */
  send(request: Buffer): Promise<SeenAnswer>;
  close(): void;
}

interface Waiting {
  lastByteAt: Milliseconds;
  readonly isBehind: boolean;
  readonly resolve: (answer: SeenAnswer) => void;
}

interface AnswerHead {
  readonly status: number;
  readonly length: number;
  readonly closes: boolean;
  readonly isFromInstance: boolean;
  /** Where the body begins. */
  readonly bodyAt: number;
}

const HEAD_END = "\r\n\r\n";

export function openConnection(
  endpoint: string,
  now: () => Milliseconds,
): CallerConnection {
  const { address, port } = parseEndpoint(endpoint);
  const socket: Socket = connect({ host: address, port, noDelay: true });
  const waiting: Waiting[] = [];
  let received = Buffer.alloc(0);
  let wasConnected = false;
  let isOpen = true;
  let isClosing = false;

  function settle(status: number, body = "", isFromInstance = false): void {
    const { lastByteAt, isBehind, resolve } = waiting.shift()!;
    resolve({
      status,
      body,
      isFromInstance,
      wasConnected,
      lastByteAt,
      isBehind,
    });
  }

  function end(): void {
    isOpen = false;
    socket.destroy();
    while (waiting.length > 0) {
      settle(0);
    }
  }

  function receive(bytes: Buffer): void {
    received = Buffer.concat([received, bytes]);
    let head: AnswerHead | undefined;
    while (waiting.length > 0 && (head = readHead(received)) !== undefined) {
      const bodyEnd = head.bodyAt + head.length;
      if (received.length < bodyEnd) {
        return;
      }
      const body = received.toString("latin1", head.bodyAt, bodyEnd);
      received = received.subarray(bodyEnd);
      isClosing ||= head.closes;
      settle(head.status, body, head.isFromInstance);
    }
  }

  socket.on("connect", () => wasConnected = true);
  socket.on("data", receive);
  // The close event follows, and says what the caller sees.
  socket.on("error", () => {});
  socket.on("end", end);
  socket.on("close", end);

  return {
    get isIdle() {
      return isOpen && !isClosing && waiting.length === 0;
    },
    send(request) {
      return new Promise((resolve) => {
        const entry: Waiting = {
          lastByteAt: Infinity,
          isBehind: waiting.length > 0,
          resolve,
        };
        waiting.push(entry);
        if (!isOpen) {
          end();
          return;
        }
        socket.write(request, (error) => {
          if (!error) {
            entry.lastByteAt = now();
          }
        });
      });
    },
    close: end,
  };
}

/** Undefined while the head is not complete; bytes that are no answer get the status 0. */
function readHead(received: Buffer): AnswerHead | undefined {
  const headEnd = received.indexOf(HEAD_END);
  if (headEnd < 0) {
    return undefined;
  }
  const [statusLine, ...lines] = received.toString("latin1", 0, headEnd)
    .split("\r\n");
  const headers = new Map(lines.map((line) => {
    const colon = line.indexOf(":");
    return [
      line.slice(0, colon).toLowerCase(),
      line.slice(colon + 1).trim(),
    ];
  }));
  return {
    status: Number(/^HTTP\/1\.1 (\d{3}) /.exec(statusLine)?.[1] ?? 0),
    length: Number(headers.get("content-length") ?? 0),
    closes: headers.get("connection")?.toLowerCase() === "close",
    isFromInstance: headers.has("x-server-seal"),
    bodyAt: headEnd + HEAD_END.length,
  };
}
