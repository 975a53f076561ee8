/**
 * Formats the request line and header section of a request to an instance.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { GateRequest } from "./gate_call.ts";
import type { MeshHeaders } from "./mesh_headers.ts";

const METHODS_WITHOUT_BODY = new Set(["GET", "HEAD", "DELETE", "OPTIONS"]);

export interface RequestHeadOptions {
  readonly headers: MeshHeaders;
  readonly expectedInstance: string;
  readonly timeLeft: Milliseconds;
}

export function formatRequestHead(
  request: GateRequest,
  { headers, expectedInstance, timeLeft }: RequestHeadOptions,
): string {
  const { body } = request;
  const length = body.length > 0 || !METHODS_WITHOUT_BODY.has(request.method)
    ? `content-length: ${body.length}\r\n`
    : "";
  return `${request.method} ${request.target} HTTP/1.1\r\n` +
    request.headerLines +
    `${headers.deadline}: ${Math.max(1, Math.floor(timeLeft))}\r\n` +
    `${headers.expectedInstance}: ${expectedInstance}\r\n` +
    `${headers.callerService}: ${request.callerService}\r\n` +
    `${length}\r\n`;
}
