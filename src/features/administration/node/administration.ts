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
import {
  createErrorResponse,
  type Endpoint,
  type EndpointResponse,
} from "./endpoint.ts";
import { createEndpoints } from "./endpoints.ts";
import { type CheckRecord, createPublisher } from "./publisher.ts";

export interface AdministrationOptions {
  readonly self: HostIdentity;
  readonly configuration: ConfigurationSource;
  readonly directory: Directory;
  /** Whether this daemon may receive calls. */
  readonly isReady: () => boolean;
  readonly logClient: LogClient;
  readonly shift?: TrafficShift;
  /** The most recent events of this process, oldest first. */
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
/** Denials are logged at most once in this time, so that unauthorized requests cannot displace other events in the list. */
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

  async function respond(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const result = await handleRequest(request, endpoints, options);
    requests.add(1, { status: String(result.status) });
    if (result.status === 401 || result.status === 403) {
      logDenial(request, result);
    }
    send(response, result);
  }

  return {
    handle(request, response) {
      respond(request, response).catch((error: unknown) => {
        options.log.write("error", "administration.failed", {
          path: request.url,
          reason: describeError(error),
        });
        if (response.headersSent) {
          response.destroy();
        } else {
          send(
            response,
            createErrorResponse(500, "the request failed in the daemon"),
          );
        }
      });
    },
  };
}

async function handleRequest(
  request: IncomingMessage,
  endpoints: readonly Endpoint[],
  options: AdministrationOptions,
): Promise<EndpointResponse> {
  const url = parseUrl(request.url);
  if (url === undefined) {
    return createErrorResponse(400, "the path is malformed");
  }
  const matchingEndpoints = endpoints.filter((endpoint) =>
    endpoint.path === removeIdentity(url.path, endpoint)
  );
  const endpoint = matchingEndpoints.find(({ method }) =>
    method === request.method
  );
  if (endpoint === undefined) {
    return matchingEndpoints.length > 0
      ? createErrorResponse(
        405,
        `the method ${request.method} is not allowed here`,
      )
      : createErrorResponse(404, "there is no such endpoint");
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

/** Checks access before the body is read, so that bodies of unauthorized clients use no memory. */
function findDenial(
  request: IncomingMessage,
  { endpoint, token, self }: AccessRequest,
): EndpointResponse | undefined {
  switch (endpoint.access) {
    case "open":
      return undefined;
    case "local":
      return isLocal(request, self) ? undefined : createErrorResponse(
        403,
        "only processes on this host may use this endpoint",
      );
    case "token":
    case "publish":
      if (token === undefined) {
        return createErrorResponse(401, "a valid bearer token is required");
      }
      return endpoint.access === "token" || token.mayPublish
        ? undefined
        : createErrorResponse(403, `team ${token.team} may not publish`);
  }
}

async function receiveBody(
  request: IncomingMessage,
  options: AdministrationOptions,
): Promise<Buffer | EndpointResponse> {
  const limit = options.maximumBodyBytes ?? DEFAULT_MAXIMUM_BODY_BYTES;
  const timer = options.clock.schedule(
    BODY_TIMEOUT_MS,
    () => request.destroy(),
  );
  const body = await readBody(request, limit);
  timer.dispose();
  return body.ok ? body.val : createErrorResponse(413, body.val.message);
}

function parseUrl(target: string | undefined) {
  try {
    const { pathname, searchParams } = new URL(target ?? "", "http://daemon");
    return { path: decodeURIComponent(pathname), query: searchParams };
  } catch {
    return undefined;
  }
}

/** Returns the path without the identity at its end, for endpoints that take one. */
function removeIdentity(path: string, endpoint: Endpoint): string {
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
  return (request: IncomingMessage, result: EndpointResponse) => {
    if (clock.now() >= nextAt) {
      nextAt = clock.now() + DENIAL_LOG_INTERVAL_MS;
      log.write("warn", "administration.denied", {
        method: request.method,
        path: request.url,
        status: result.status,
        peer: request.socket.remoteAddress,
      });
    }
  };
}

function send(response: ServerResponse, result: EndpointResponse): void {
  const headers: Record<string, string> = { "cache-control": "no-store" };
  // The unread rest of a body must not be parsed as the next request.
  if (!response.req.complete) {
    headers.connection = "close";
  }
  if (result.text !== undefined) {
    response.writeHead(result.status, {
      ...headers,
      "content-type": "text/plain; version=0.0.4; charset=utf-8",
    });
    response.end(result.text);
  } else {
    sendJson(response, result.status, result.body, headers);
  }
}
