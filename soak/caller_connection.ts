/**
 * A persistent HTTP/1.1 connection of a caller, which supports pipelined requests.
 *
 * @module
 */

import { connect, type Socket } from "node:net";
import { parseEndpoint } from "../src/base/common/endpoint.ts";
import type { Milliseconds } from "../src/base/common/milliseconds.ts";

export interface CallerResponse {
  /** 0 when the connection ended before the whole response. */
  readonly status: number;
  readonly body: string;
  /** The response has the `x-server-seal` header of an instance. */
  readonly isFromInstance: boolean;
  /** The connection was established, so the process may have read the request. */
  readonly wasConnected: boolean;
  /** When the last byte of the request was written to the socket; `Infinity` if it was not. */
  readonly lastByteAt: Milliseconds;
  /** The request was pipelined: an earlier one had no response when it was sent. */
  readonly isBehind: boolean;
}

export interface CallerConnection {
  /** Open, without pending requests, and not about to be closed by the server. */
  readonly isIdle: boolean;
  /** Resolves with the response, or with the status 0 when the connection has ended. */
  send(request: Buffer): Promise<CallerResponse>;
  close(): void;
}

interface PendingRequest {
  lastByteAt: Milliseconds;
  readonly isBehind: boolean;
  readonly resolve: (response: CallerResponse) => void;
}

interface ResponseHead {
  readonly status: number;
  readonly bodyLength: number;
  readonly closesConnection: boolean;
  readonly isFromInstance: boolean;
  /** Offset of the first byte of the body. */
  readonly bodyOffset: number;
}

const HEAD_END = "\r\n\r\n";

export function openConnection(
  endpoint: string,
  now: () => Milliseconds,
): CallerConnection {
  const { address, port } = parseEndpoint(endpoint);
  const socket: Socket = connect({ host: address, port, noDelay: true });
  const pendingRequests: PendingRequest[] = [];
  let received = Buffer.alloc(0);
  let wasConnected = false;
  let isOpen = true;
  let isClosing = false;

  function resolveNext(
    status: number,
    body = "",
    isFromInstance = false,
  ): void {
    const { lastByteAt, isBehind, resolve } = pendingRequests.shift()!;
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
    while (pendingRequests.length > 0) {
      resolveNext(0);
    }
  }

  function receive(bytes: Buffer): void {
    received = Buffer.concat([received, bytes]);
    let head: ResponseHead | undefined;
    while (
      pendingRequests.length > 0 && (head = readHead(received)) !== undefined
    ) {
      const bodyEnd = head.bodyOffset + head.bodyLength;
      if (received.length < bodyEnd) {
        return;
      }
      const body = received.toString("latin1", head.bodyOffset, bodyEnd);
      received = received.subarray(bodyEnd);
      isClosing ||= head.closesConnection;
      resolveNext(head.status, body, head.isFromInstance);
    }
  }

  socket.on("connect", () => wasConnected = true);
  socket.on("data", receive);
  // The close event follows and ends the pending requests.
  socket.on("error", () => {});
  socket.on("end", end);
  socket.on("close", end);

  return {
    get isIdle() {
      return isOpen && !isClosing && pendingRequests.length === 0;
    },
    send(request) {
      return new Promise((resolve) => {
        const entry: PendingRequest = {
          lastByteAt: Infinity,
          isBehind: pendingRequests.length > 0,
          resolve,
        };
        pendingRequests.push(entry);
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

/** Returns undefined while the head is incomplete, and the status 0 for malformed bytes. */
function readHead(received: Buffer): ResponseHead | undefined {
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
    bodyLength: Number(headers.get("content-length") ?? 0),
    closesConnection: headers.get("connection")?.toLowerCase() === "close",
    isFromInstance: headers.has("x-server-seal"),
    bodyOffset: headEnd + HEAD_END.length,
  };
}
