/**
 * The header section of a request to an instance.
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
  const lines = [`${request.method} ${request.target} HTTP/1.1`];
  const { rawHeaders, body } = request;
  for (let index = 0; index < rawHeaders.length; index += 2) {
    lines.push(`${rawHeaders[index]}: ${rawHeaders[index + 1]}`);
  }
  lines.push(
    `${headers.deadline}: ${Math.max(1, Math.floor(timeLeft))}`,
    `${headers.expectedInstance}: ${expectedInstance}`,
    `${headers.callerService}: ${request.callerService}`,
  );
  if (body.length > 0 || !METHODS_WITHOUT_BODY.has(request.method)) {
    lines.push(`content-length: ${body.length}`);
  }
  return lines.join("\r\n") + "\r\n\r\n";
}
