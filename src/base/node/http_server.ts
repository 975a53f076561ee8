/**
 * HTTP listeners with limits on body size, header size and time, and with graceful shutdown.
 *
 * @module
 */

import {
  createServer,
  type IncomingMessage,
  type OutgoingHttpHeaders,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo, Socket } from "node:net";
import {
  setImmediate as nextLoopIteration,
  setTimeout as sleep,
} from "node:timers/promises";
import type { Milliseconds } from "../common/milliseconds.ts";
import { Err, Ok, type Result } from "../common/result.ts";
import { StepError } from "../common/step_error.ts";
import { closeAfterClientError } from "./client_error.ts";
import { stopAccepting } from "./listener_close.ts";
import { limitRemainingBody } from "./remaining_body.ts";
import { createUnsentResponses } from "./unsent_responses.ts";

const MAXIMUM_HEADER_BYTES = 16 * 1024;
const HEADERS_TIMEOUT_MS: Milliseconds = 5_000;
const REQUEST_TIMEOUT_MS: Milliseconds = 60_000;
const KEEP_ALIVE_TIMEOUT_MS: Milliseconds = 30_000;

/** The time a client has to close its side of the connection after the last response. */
const LINGER_TIMEOUT_MS: Milliseconds = 1_000;

/**
 * A drain closes idle connections when no request has arrived on any connection for this long. Callers that still use
 * the server send a request within this time.
 */
const IDLE_THRESHOLD_MS: Milliseconds = 1_000;
const IDLE_CHECK_INTERVAL_MS: Milliseconds = 50;
const FINISH_CHECK_INTERVAL_MS: Milliseconds = 10;
/**
 * Clients are expected to send the first request on a new connection within this time, so `finish` waits this long for
 * it. Closing the listener may pause the connection for most of this time.
 */
const FIRST_REQUEST_TIMEOUT_MS: Milliseconds = 150;

export type HttpHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => void;

export interface HttpListener {
  readonly server: Server;
  readonly port: number;
  /** The number of responses that are complete but not yet written to their connections. */
  readonly unsentResponses: number;
  /**
   * Stops accepting connections and resolves when the last one is closed. Requests on open connections are still
   * served. Idle connections are closed only after a time without requests, because closing one immediately could
   * lose a request that is already in transit.
   */
  drain(): Promise<void>;
  /**
   * Stops accepting connections, waits up to the timeout until clients have read their last responses, and destroys
   * every connection.
   */
  finish(withinMilliseconds: Milliseconds): Promise<void>;
  /** Destroys every connection. */
  close(): Promise<void>;
}

export interface ListenOptions {
  readonly address: string;
  /** 0 selects any free port. */
  readonly port: number;
  /** The maximum size of the header section of a request. */
  readonly maximumHeaderBytes?: number;
}

export function listenHttp(
  handler: HttpHandler,
  options: ListenOptions,
): Promise<HttpListener> {
  const unsent = createUnsentResponses();
  const server = createServer({
    maxHeaderSize: options.maximumHeaderBytes ?? MAXIMUM_HEADER_BYTES,
    headersTimeout: HEADERS_TIMEOUT_MS,
    requestTimeout: REQUEST_TIMEOUT_MS,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    noDelay: true,
  }, (request, response) => {
    limitRemainingBody(request, response);
    unsent.add(response, request.socket);
    handler(request, response);
  });
  const connections = trackConnections(server);
  server.on("clientError", ({ code }: NodeJS.ErrnoException, stream) => {
    const socket = stream as Socket;
    closeAfterClientError(socket, { code, pending: unsent.of(socket) });
  });
  return new Promise((resolve, reject) => {
    server.once("error", (error) =>
      reject(
        new StepError(
          "http.listen",
          `Cannot listen on ${options.address}:${options.port}: ${error.message}`,
          { outcome: "not-run", cause: error },
        ),
      ));
    server.listen(options.port, options.address, () => {
      resolve({
        server,
        port: (server.address() as AddressInfo).port,
        get unsentResponses() {
          return unsent.count();
        },
        drain: () => drainServer(server, connections),
        finish: (within) =>
          finishServer(server, {
            connections,
            isDone: () =>
              connections.lingering.size + connections.unused.size +
                  unsent.count() === 0,
            withinMilliseconds: within,
          }),
        close: () => closeServer(server),
      });
    });
  });
}

interface Connections {
  readonly open: ReadonlySet<Socket>;
  /** Connections that are half-closed after their last response. */
  readonly lingering: ReadonlySet<Socket>;
  /** Recently opened connections on which no request has been read yet. */
  readonly unused: ReadonlySet<Socket>;
}

function trackConnections(server: Server): Connections {
  const open = new Set<Socket>();
  const lingering = new Set<Socket>();
  const unused = new Set<Socket>();
  server.on("connection", (socket: Socket) => {
    socket.destroySoon = () => closeGracefully(socket, lingering);
    open.add(socket);
    unused.add(socket);
    const timer = setTimeout(
      () => unused.delete(socket),
      FIRST_REQUEST_TIMEOUT_MS,
    );
    timer.unref();
    socket.once("close", () => {
      clearTimeout(timer);
      open.delete(socket);
      unused.delete(socket);
    });
  });
  server.on("request", ({ socket }) => unused.delete(socket));
  return { open, lingering, unused };
}

async function drainServer(
  server: Server,
  { open }: Connections,
): Promise<void> {
  let lastRequestAt = Date.now();
  server.on("request", () => lastRequestAt = Date.now());
  const isIdle = () => Date.now() - lastRequestAt >= IDLE_THRESHOLD_MS;
  let isClosed = false;
  const closed = new Promise<void>((resolve) =>
    server.once("close", () => {
      isClosed = true;
      resolve();
    })
  );
  await stopAccepting(server, open);
  while (!isClosed) {
    await Promise.race([closed, sleep(IDLE_CHECK_INTERVAL_MS)]);
    if (isIdle()) {
      // After an event loop stall, requests that have arrived are read only after the timers of this iteration.
      await nextLoopIteration();
      if (isIdle()) {
        server.closeIdleConnections();
      }
    }
  }
}

/**
 * Half-closes a connection after its last response and keeps reading until the client closes it. Destroying it while
 * a request is in transit would reset it, and the client could lose the response (RFC 9112, section 9.6).
 */
function closeGracefully(socket: Socket, lingering: Set<Socket>): void {
  if (socket.destroyed || lingering.has(socket)) {
    return;
  }
  lingering.add(socket);
  const timer = setTimeout(() => socket.destroy(), LINGER_TIMEOUT_MS);
  socket.once("close", () => {
    clearTimeout(timer);
    lingering.delete(socket);
  });
  socket.end();
}

async function finishServer(
  server: Server,
  { connections, isDone, withinMilliseconds }: {
    readonly connections: Connections;
    readonly isDone: () => boolean;
    readonly withinMilliseconds: Milliseconds;
  },
): Promise<void> {
  await stopAccepting(server, connections.open);
  const deadline = performance.now() + withinMilliseconds;
  while (!isDone() && performance.now() < deadline) {
    await sleep(FINISH_CHECK_INTERVAL_MS);
  }
  server.closeAllConnections();
}

function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}

/** Reads a whole body. Fails when it is longer than the limit or the connection is closed before its end. */
export function readBody(
  stream: IncomingMessage,
  maximumBytes: number,
): Promise<Result<Buffer, StepError>> {
  return new Promise((resolve) => {
    const parts: Buffer[] = [];
    let length = 0;
    stream.on("data", (part: Buffer) => {
      length += part.length;
      if (length <= maximumBytes) {
        parts.push(part);
      } else {
        resolve(
          Err(createBodyError(`The body is longer than ${maximumBytes} bytes`)),
        );
      }
    });
    stream.on("end", () => resolve(Ok(Buffer.concat(parts))));
    stream.on(
      "close",
      () =>
        resolve(
          Err(createBodyError("The connection closed before the body ended")),
        ),
    );
    stream.on("error", (error) => resolve(Err(createBodyError(error.message))));
  });
}

function createBodyError(message: string): StepError {
  return new StepError("http.read-body", message, { outcome: "not-run" });
}

export function sendJson(
  response: ServerResponse,
  status: number,
  body: unknown,
  headers: OutgoingHttpHeaders = {},
): void {
  const bytes = Buffer.from(JSON.stringify(body) + "\n");
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": bytes.length,
    ...headers,
  });
  response.end(bytes);
}
