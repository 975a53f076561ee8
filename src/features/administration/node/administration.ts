/**
 * The administration API of a daemon over HTTP.
 *
 * @module
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Clock } from "../../../base/common/clock.ts";
import type { EventLog, LogEvent } from "../../../base/common/event_log.ts";
import { describeError } from "../../../base/common/step_error.ts";
import { readBody, sendJson } from "../../../base/node/http_server.ts";
import type { HostIdentity } from "../../../world/common/host.ts";
import type { ConfigurationSource } from "../../distribution/common/configuration_source.ts";
import type { LogClient } from "../../log/common/log_client.ts";
import type { Directory } from "../../membership/common/directory.ts";
import type { TrafficShift } from "../../move/common/traffic_shift.ts";
import {
  type AccessToken,
  findToken,
  readBearerToken,
} from "../common/access_token.ts";
import type { Metrics } from "../common/metrics.ts";
import { createEndpoints, type Endpoint, type Reply } from "./endpoints.ts";
import { type CheckRecord, createPublisher } from "./publisher.ts";

export interface AdministrationOptions {
  readonly self: HostIdentity;
  readonly configuration: ConfigurationSource;
  readonly directory: Directory;
  /** Whether callers may be sent to this daemon. */
  readonly isReady: () => boolean;
  readonly logClient: LogClient;
  readonly shift?: TrafficShift;
  /** The newest events of this process, the oldest first. */
  readonly events: readonly LogEvent[];
  readonly metrics: Metrics;
  readonly tokens: readonly AccessToken[];
  readonly checkRecord: CheckRecord;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly maximumBodyBytes?: number;
  readonly verdictTimeoutMilliseconds?: number;
}

export interface Administration {
  /** Handles a request of the administration listener. */
  handle(request: IncomingMessage, response: ServerResponse): void;
}

const DEFAULT_MAXIMUM_BODY_BYTES = 1_048_576;
const BODY_TIMEOUT_MS = 10_000;
/** A stranger who sends many requests must not push other events out of the event list. */
const DENIAL_LOG_INTERVAL_MS = 1_000;

export function createAdministration(
  options: AdministrationOptions,
): Administration {
  const endpoints = createEndpoints(options, createPublisher(options));
  const requests = options.metrics.counter(
    "guavarun_administration_requests_total",
    "Requests to the administration API by status",
  );
  const logDenial = createDenialLog(options);

  async function answer(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const reply = await findReply(request, endpoints, options);
    requests.add(1, { status: String(reply.status) });
    if (reply.status === 401 || reply.status === 403) {
      logDenial(request, reply);
    }
    send(response, reply);
  }

  return {
    handle(request, response) {
      answer(request, response).catch((error: unknown) => {
        options.log.write("error", "administration.failed", {
          path: request.url,
          reason: describeError(error),
        });
        if (response.headersSent) {
          response.destroy();
        } else {
          send(response, fault(500, "the request failed in the daemon"));
        }
      });
    },
  };
}

async function findReply(
  request: IncomingMessage,
  endpoints: readonly Endpoint[],
  options: AdministrationOptions,
): Promise<Reply> {
  const url = parseUrl(request.url);
  if (url === undefined) {
    return fault(400, "the path is malformed");
  }
  const fitting = endpoints.filter((endpoint) =>
    endpoint.path === trimIdentity(url.path, endpoint)
  );
  const endpoint = fitting.find(({ method }) => method === request.method);
  if (endpoint === undefined) {
    return fitting.length > 0
      ? fault(405, `the method ${request.method} is not allowed here`)
      : fault(404, "there is no such endpoint");
  }
  const token = findToken(
    options.tokens,
    readBearerToken(request.headers.authorization),
  );
  const denial = findDenial(request, { endpoint, token, self: options.self });
  if (denial !== undefined) {
    return denial;
  }
  const body = request.method === "POST"
    ? await receiveBody(request, options)
    : Buffer.alloc(0);
  if (!Buffer.isBuffer(body)) {
    return body;
  }
  return await endpoint.handle({
    body,
    token,
    identity: url.path.split("/")[2] ?? "",
    query: url.query,
  });
}

interface AccessRequest {
  readonly endpoint: Endpoint;
  readonly token: AccessToken | undefined;
  readonly self: HostIdentity;
}

/** Decides before the body is read, so that a stranger's body takes no memory. */
function findDenial(
  request: IncomingMessage,
  { endpoint, token, self }: AccessRequest,
): Reply | undefined {
  switch (endpoint.access) {
    case "open":
      return undefined;
    case "local":
      return isLocal(request, self)
        ? undefined
        : fault(403, "only processes on this host may use this endpoint");
    case "token":
    case "publish":
      if (token === undefined) {
        return fault(401, "a valid bearer token is required");
      }
      return endpoint.access === "token" || token.mayPublish
        ? undefined
        : fault(403, `team ${token.team} may not publish`);
  }
}

async function receiveBody(
  request: IncomingMessage,
  options: AdministrationOptions,
): Promise<Buffer | Reply> {
  const limit = options.maximumBodyBytes ?? DEFAULT_MAXIMUM_BODY_BYTES;
  const timer = options.clock.schedule(
    BODY_TIMEOUT_MS,
    () => request.destroy(),
  );
  const body = await readBody(request, limit);
  timer.dispose();
  return body.ok ? body.val : fault(413, body.val.message);
}

function parseUrl(target: string | undefined) {
  try {
    const { pathname, searchParams } = new URL(target ?? "", "http://daemon");
    return { path: decodeURIComponent(pathname), query: searchParams };
  } catch {
    return undefined;
  }
}

/** The path without the identity at its end, for endpoints that take one. */
function trimIdentity(path: string, endpoint: Endpoint): string {
  return endpoint.path.endsWith("/")
    ? path.replace(/^(\/[^/]+\/)[^/]+$/, "$1")
    : path;
}

function isLocal(request: IncomingMessage, self: HostIdentity): boolean {
  const remote = (request.socket.remoteAddress ?? "").replace(/^::ffff:/, "");
  return remote === "::1" || remote.startsWith("127.") ||
    remote === self.addresses.address;
}

function createDenialLog({ clock, log }: AdministrationOptions) {
  let nextAt = 0;
  return (request: IncomingMessage, reply: Reply) => {
    if (clock.now() >= nextAt) {
      nextAt = clock.now() + DENIAL_LOG_INTERVAL_MS;
      log.write("warn", "administration.denied", {
        method: request.method,
        path: request.url,
        status: reply.status,
        peer: request.socket.remoteAddress,
      });
    }
  };
}

function fault(status: number, reason: string): Reply {
  return { status, body: { result: "refused", reason } };
}

function send(response: ServerResponse, reply: Reply): void {
  const headers: Record<string, string> = { "cache-control": "no-store" };
  // The rest of a body that was not read must not be taken for the next request.
  if (!response.req.complete) {
    headers.connection = "close";
  }
  if (reply.text !== undefined) {
    response.writeHead(reply.status, {
      ...headers,
      "content-type": "text/plain; version=0.0.4; charset=utf-8",
    });
    response.end(reply.text);
  } else {
    sendJson(response, reply.status, reply.body, headers);
  }
}
