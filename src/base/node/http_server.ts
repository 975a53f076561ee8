/**
 * HTTP listeners with limits on bodies, headers and time.
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
  setImmediate as endOfTurn,
  setTimeout as sleep,
} from "node:timers/promises";
import type { Milliseconds } from "../common/milliseconds.ts";
import { Err, Ok, type Result } from "../common/result.ts";
import { StepError } from "../common/step_error.ts";
import { endAfterClientError } from "./client_error.ts";
import { stopAccepting } from "./listener_close.ts";
import { limitSurplusBody } from "./surplus_body.ts";
import { createUnsentAnswers } from "./unsent_answers.ts";

const MAXIMUM_HEADER_BYTES = 16 * 1024;
const HEADERS_TIMEOUT_MS: Milliseconds = 5_000;
const REQUEST_TIMEOUT_MS: Milliseconds = 60_000;
const KEEP_ALIVE_TIMEOUT_MS: Milliseconds = 30_000;

/** A client that has got its last answer closes its side within this time. */
const LINGER_MS: Milliseconds = 1_000;

/** Callers that still use this server use an open connection within this time. */
const QUIET_MS: Milliseconds = 1_000;
const QUIET_CHECK_MS: Milliseconds = 50;
const FINISH_CHECK_MS: Milliseconds = 10;
/** A client that opens a connection for a request sends it within this time; the listener may hold it for most of it. */
const FIRST_REQUEST_MS: Milliseconds = 150;

export type HttpHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => void;

export interface HttpListener {
  readonly server: Server;
  readonly port: number;
  /** The number of answers that are complete and not yet written to their connections. */
  readonly unsentAnswers: number;
  /**
   * Stops accepting and resolves when the last connection has ended. Open connections are
   * served on; idle ones are closed when no request has come for a while. Closed at once, a
   * connection could take a request with it that is already on its way.
   */
  drain(): Promise<void>;
  /**
   * Stops accepting, gives clients that were sent their last answers up to the time to read them, and
   * destroys every connection.
   */
  finish(withinMilliseconds: Milliseconds): Promise<void>;
  /** Destroys every connection. */
  close(): Promise<void>;
}

export interface ListenOptions {
  readonly address: string;
  /** 0 takes any free port. */
  readonly port: number;
  /** The largest header section of a request. */
  readonly maximumHeaderBytes?: number;
}

export function listenHttp(
  handler: HttpHandler,
  options: ListenOptions,
): Promise<HttpListener> {
  const unsent = createUnsentAnswers();
  const server = createServer({
    maxHeaderSize: options.maximumHeaderBytes ?? MAXIMUM_HEADER_BYTES,
    headersTimeout: HEADERS_TIMEOUT_MS,
    requestTimeout: REQUEST_TIMEOUT_MS,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    noDelay: true,
  }, (request, response) => {
    limitSurplusBody(request, response);
    unsent.add(response, request.socket);
    handler(request, response);
  });
  const connections = trackConnections(server);
  server.on("clientError", ({ code }: NodeJS.ErrnoException, stream) => {
    const socket = stream as Socket;
    endAfterClientError(socket, { code, pending: unsent.of(socket) });
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
        get unsentAnswers() {
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
  /** Those that end behind their last answer. */
  readonly lingering: ReadonlySet<Socket>;
  /** Those opened a short time ago on which no request has been read yet. */
  readonly unused: ReadonlySet<Socket>;
}

function trackConnections(server: Server): Connections {
  const open = new Set<Socket>();
  const lingering = new Set<Socket>();
  const unused = new Set<Socket>();
  server.on("connection", (socket: Socket) => {
    socket.destroySoon = () => linger(socket, lingering);
    open.add(socket);
    unused.add(socket);
    const timer = setTimeout(() => unused.delete(socket), FIRST_REQUEST_MS);
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
  const isQuiet = () => Date.now() - lastRequestAt >= QUIET_MS;
  let isClosed = false;
  const closed = new Promise<void>((resolve) =>
    server.once("close", () => {
      isClosed = true;
      resolve();
    })
  );
  await stopAccepting(server, open);
  while (!isClosed) {
    await Promise.race([closed, sleep(QUIET_CHECK_MS)]);
    if (isQuiet()) {
      // After a stall, requests that have arrived are read only in this turn, behind its timers.
      await endOfTurn();
      if (isQuiet()) {
        server.closeIdleConnections();
      }
    }
  }
}

/**
 * Ends a connection behind its last answer but reads on until the client closes it. Destroyed at once with
 * a request still on its way, the connection would be reset, and the client could lose the answer (RFC 9112,
 * section 9.6).
 */
function linger(socket: Socket, lingering: Set<Socket>): void {
  if (socket.destroyed || lingering.has(socket)) {
    return;
  }
  lingering.add(socket);
  const timer = setTimeout(() => socket.destroy(), LINGER_MS);
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
  const until = performance.now() + withinMilliseconds;
  while (!isDone() && performance.now() < until) {
    await sleep(FINISH_CHECK_MS);
  }
  server.closeAllConnections();
}

function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}

/** Reads a whole body; fails when it is longer than the limit or the sender goes away. */
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
          Err(bodyError(`The body is longer than ${maximumBytes} bytes`)),
        );
      }
    });
    stream.on("end", () => resolve(Ok(Buffer.concat(parts))));
    stream.on(
      "close",
      () =>
        resolve(Err(bodyError("The connection closed before the body ended"))),
    );
    stream.on("error", (error) => resolve(Err(bodyError(error.message))));
  });
}

function bodyError(message: string): StepError {
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
