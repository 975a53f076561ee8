/**
 * An HTTP server for the platform's log protocol, backed by a log in memory.
 *
 * @module
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import * as valibot from "valibot";
import type { Clock } from "../../../base/common/clock.ts";
import {
  createDisposableStore,
  type Disposable,
} from "../../../base/common/disposable.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import {
  listenHttp,
  type ListenOptions,
  readBody,
  sendJson,
} from "../../../base/node/http_server.ts";
import { encodeMessage } from "../../../base/common/message_codec.ts";
import type { StreamName } from "../common/log_client.ts";
import {
  DEFAULT_PAGE_ENTRIES,
  type LogRange,
  type MemoryLog,
} from "../common/memory_log.ts";

const MAXIMUM_BODY_BYTES: Readonly<Record<StreamName, number>> = {
  configuration: 1024 * 1024,
  snapshots: 16 * 1024 * 1024,
};
const MAXIMUM_FAULTS_BODY_BYTES = 4 * 1024;
const MAXIMUM_WAIT_MS: Milliseconds = 30_000;
const MAXIMUM_PAGE_ENTRIES = 5_000;

const FAULTS = valibot.strictObject({
  isDown: valibot.optional(valibot.boolean()),
  delayMilliseconds: valibot.optional(
    valibot.pipe(valibot.number(), valibot.minValue(0)),
  ),
  lostAnswerShare: valibot.optional(
    valibot.pipe(
      valibot.number(),
      valibot.minValue(0),
      valibot.maxValue(1),
    ),
  ),
});

export interface LogServerOptions extends ListenOptions {
  readonly log: MemoryLog;
  readonly clock: Clock;
}

export interface LogServer extends Disposable {
  readonly port: number;
}

/** Starts the server. Disposing of the result closes the listener and destroys all connections. */
export async function listenLogServer(
  options: LogServerOptions,
): Promise<LogServer> {
  const listener = await listenHttp((request, response) => {
    handleRequest(request, response, options).catch(() => response.destroy());
  }, options);
  return { port: listener.port, dispose: () => void listener.close() };
}

async function handleRequest(
  request: IncomingMessage,
  response: ServerResponse,
  options: LogServerOptions,
): Promise<void> {
  const url = new URL(request.url ?? "/", "http://platform");
  if (request.method === "POST" && url.pathname === "/faults") {
    return await updateFaults(request, response, options.log);
  }
  const name = /^\/streams\/([a-z]+)$/.exec(url.pathname)?.[1];
  if (name === undefined || !Object.hasOwn(MAXIMUM_BODY_BYTES, name)) {
    return sendJson(response, 404, { error: "There is no such stream" });
  }
  const stream = name as StreamName;
  switch (request.method) {
    case "POST":
      return await append(request, response, { ...options, stream });
    case "GET":
      return await read(url.searchParams, response, { ...options, stream });
    default:
      sendJson(response, 405, { error: "Use GET or POST" });
  }
}

interface StreamContext extends LogServerOptions {
  readonly stream: StreamName;
}

async function append(
  request: IncomingMessage,
  response: ServerResponse,
  { log, clock, stream }: StreamContext,
): Promise<void> {
  const body = await readBody(request, MAXIMUM_BODY_BYTES[stream]);
  if (body.err) {
    return sendJson(response, 413, { error: body.val.message }, {
      connection: "close",
    });
  }
  const result = log.append(stream, body.val, clock.now());
  if (result.kind === "down") {
    return sendJson(response, 503, { error: "The log is down" });
  }
  if (result.kind === "rate-limited") {
    return sendJson(response, 429, { error: "Too many appends" });
  }
  await clock.sleep(log.faults.delayMilliseconds);
  if (result.isAnswerLost) {
    response.destroy();
    return;
  }
  sendMessage(response, result.answer);
}

async function read(
  query: URLSearchParams,
  response: ServerResponse,
  context: StreamContext,
): Promise<void> {
  const { log, clock, stream } = context;
  const from = parseCount(query, "from", 0);
  const limit = parseCount(query, "limit", DEFAULT_PAGE_ENTRIES);
  const wait = parseCount(query, "wait", 0);
  if (from === undefined || limit === undefined || wait === undefined) {
    return sendJson(response, 400, {
      error: "from, limit and wait must be whole numbers of at least 0",
    });
  }
  const range = { from, limit: Math.min(limit, MAXIMUM_PAGE_ENTRIES) };
  const readPage = (): ReturnType<MemoryLog["read"]> =>
    log.read(stream, { ...range, now: clock.now() } satisfies LogRange);
  let page = readPage();
  if (page !== undefined && from >= page.next && wait > 0) {
    await waitForAppend(response, context, Math.min(wait, MAXIMUM_WAIT_MS));
    page = readPage();
  }
  if (page === undefined) {
    return sendJson(response, 503, { error: "The log is down" });
  }
  await clock.sleep(log.faults.delayMilliseconds);
  sendMessage(response, page);
}

/** Waits for an append, a timeout of `wait` milliseconds or the end of the connection. */
function waitForAppend(
  response: ServerResponse,
  { log, clock, stream }: StreamContext,
  wait: Milliseconds,
): Promise<void> {
  return new Promise((resolve) => {
    const disposables = createDisposableStore();
    const end = () => {
      disposables.dispose();
      resolve();
    };
    disposables.add(clock.schedule(wait, end));
    disposables.add(log.onAppended((name) => name === stream && end()));
    response.once("close", end);
    disposables.add({ dispose: () => response.off("close", end) });
  });
}

async function updateFaults(
  request: IncomingMessage,
  response: ServerResponse,
  log: MemoryLog,
): Promise<void> {
  const body = await readBody(request, MAXIMUM_FAULTS_BODY_BYTES);
  if (body.err) {
    return sendJson(response, 413, { error: body.val.message }, {
      connection: "close",
    });
  }
  const checked = valibot.safeParse(FAULTS, parseJson(body.val.toString()));
  if (!checked.success) {
    return sendJson(response, 400, { error: checked.issues[0].message });
  }
  log.setFaults(checked.output);
  sendJson(response, 200, log.faults);
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/** Parses a non-negative integer; undefined if the value is malformed. */
function parseCount(
  query: URLSearchParams,
  name: string,
  defaultValue: number,
): number | undefined {
  const text = query.get(name);
  if (text === null) {
    return defaultValue;
  }
  return /^\d{1,15}$/.test(text) ? Number(text) : undefined;
}

function sendMessage(response: ServerResponse, message: unknown): void {
  const bytes = encodeMessage(message);
  response.writeHead(200, {
    "content-type": "application/msgpack",
    "content-length": bytes.length,
  });
  response.end(bytes);
}
