/**
 * The parts that all endpoints of the administration API share.
 *
 * @module
 */

import type { AccessToken } from "../common/access_token.ts";
import {
  describePublication,
  type PublishResult,
  type PublishStatus,
} from "../common/descriptions.ts";
import type { AdministrationOptions } from "./administration.ts";
import type { Publisher } from "./publisher.ts";

export interface EndpointRequest {
  readonly body: Uint8Array;
  readonly token: AccessToken | undefined;
  /** The last segment of a path such as `/changes/IDENTITY`. */
  readonly identity: string;
  readonly query: URLSearchParams;
}

export interface EndpointResponse {
  readonly status: number;
  readonly body?: unknown;
  /** Text that is sent instead of a JSON body. */
  readonly text?: string;
}

export interface Endpoint {
  readonly method: "GET" | "POST";
  /** A path that ends with `/` is followed by an identity. */
  readonly path: string;
  /**
   * `open` requires nothing, `token` a valid token, `publish` a token with the right to publish, `local` a
   * connection from this host.
   */
  readonly access: "open" | "token" | "publish" | "local";
  handle(
    request: EndpointRequest,
  ): EndpointResponse | Promise<EndpointResponse>;
}

export interface PublishContext {
  readonly options: AdministrationOptions;
  readonly publisher: Publisher;
}

const STATUS_BY_RESULT: Readonly<Record<PublishStatus, number>> = {
  "accepted": 200,
  "refused": 409,
  "unknown": 504,
  "not-run": 503,
};

export function createPublishResponse(
  result: PublishResult,
  description = describePublication(result),
): EndpointResponse {
  return {
    status: STATUS_BY_RESULT[result.result],
    body: { ...result, description },
  };
}

export function createErrorResponse(
  status: number,
  reason: string,
): EndpointResponse {
  return { status, body: { result: "refused", reason } };
}
