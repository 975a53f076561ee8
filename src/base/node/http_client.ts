/**
 * An HTTP client for small control-plane requests (platform log, administration). The attempt feature sends the
 * calls of callers.
 *
 * @module
 */

import { Agent, request, type RequestOptions } from "node:http";
import type { Milliseconds } from "../common/milliseconds.ts";
import { Err, Ok, type Result } from "../common/result.ts";
import { StepError } from "../common/step_error.ts";

const DEFAULT_TIMEOUT_MS: Milliseconds = 5_000;
const MAXIMUM_RESPONSE_BYTES = 64 * 1024 * 1024;

/** Errors of a failed connection attempt, after which no byte of the request was sent. */
const CONNECT_ERRORS = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "EADDRNOTAVAIL",
]);

export interface HttpRequest {
  readonly step: string;
  readonly url: string;
  readonly method?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: Uint8Array | string;
  /** The timeout of the request including its whole response. */
  readonly timeoutMilliseconds?: Milliseconds;
}

export interface HttpResponse {
  readonly status: number;
  readonly body: Buffer;
}

export interface HttpClient {
  send(message: HttpRequest): Promise<Result<HttpResponse, StepError>>;
  dispose(): void;
}

export function createHttpClient(): HttpClient {
  const agent = new Agent({ keepAlive: true, maxFreeSockets: 4 });
  return {
    send: (message) => send(message, agent),
    dispose: () => agent.destroy(),
  };
}

function send(
  message: HttpRequest,
  agent: Agent,
): Promise<Result<HttpResponse, StepError>> {
  const timeout = message.timeoutMilliseconds ?? DEFAULT_TIMEOUT_MS;
  const options: RequestOptions = {
    agent,
    method: message.method ?? "GET",
    headers: message.body === undefined ? message.headers : {
      ...message.headers,
      "content-length": Buffer.byteLength(message.body),
    },
  };
  return new Promise((resolve) => {
    const peer = new URL(message.url).host;
    const outgoing = request(message.url, options, (incoming) => {
      const parts: Buffer[] = [];
      let length = 0;
      incoming.on("data", (part: Buffer) => {
        length += part.length;
        if (length > MAXIMUM_RESPONSE_BYTES) {
          outgoing.destroy(
            new Error(
              `the response is longer than ${MAXIMUM_RESPONSE_BYTES} bytes`,
            ),
          );
        }
        parts.push(part);
      });
      incoming.on(
        "end",
        () =>
          settle(
            Ok({
              status: incoming.statusCode ?? 0,
              body: Buffer.concat(parts),
            }),
          ),
      );
      incoming.on("error", fail);
    });
    const timer = setTimeout(
      () =>
        outgoing.destroy(
          new Error(`no complete response within ${timeout} ms`),
        ),
      timeout,
    );
    outgoing.on("error", fail);
    outgoing.end(message.body);

    function fail(error: NodeJS.ErrnoException): void {
      const outcome = CONNECT_ERRORS.has(error.code ?? "")
        ? "not-run"
        : "unknown";
      settle(Err(
        new StepError(
          message.step,
          `Request to ${peer} failed: ${error.message}`,
          {
            peer,
            outcome,
            cause: error,
          },
        ),
      ));
    }

    function settle(result: Result<HttpResponse, StepError>): void {
      clearTimeout(timer);
      resolve(result);
    }
  });
}
