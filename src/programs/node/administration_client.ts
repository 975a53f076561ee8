/**
 * A client of a daemon's administration API.
 *
 * @module
 */

import { Err, Ok, type Result } from "../../base/common/result.ts";
import { StepError } from "../../base/common/step_error.ts";
import { createHttpClient } from "../../base/node/http_client.ts";

/** Longer than the 8 s that a daemon waits for the verdict on a record. */
const TIMEOUT_MS = 15_000;

export interface DaemonAddress {
  /** `ADDRESS:PORT` of the administration listener. */
  readonly address: string;
  readonly token: string;
}

export interface AdministrationResponse {
  readonly status: number;
  readonly body: Record<string, unknown>;
}

/** Sends a GET request, or a POST request when there is a body. */
export async function callAdministration(
  daemon: DaemonAddress,
  path: string,
  body?: unknown,
): Promise<Result<AdministrationResponse, StepError>> {
  const client = createHttpClient();
  try {
    const response = await client.send({
      step: "administration.request",
      url: `http://${daemon.address}${path}`,
      method: body === undefined ? "GET" : "POST",
      headers: {
        authorization: `Bearer ${daemon.token}`,
        "content-type": "application/json",
      },
      body: body === undefined ? undefined : JSON.stringify(body),
      timeoutMilliseconds: TIMEOUT_MS,
    });
    return response.ok ? parseResponse(response.val, daemon) : response;
  } finally {
    client.dispose();
  }
}

function parseResponse(
  response: { status: number; body: Buffer },
  daemon: DaemonAddress,
): Result<AdministrationResponse, StepError> {
  try {
    return Ok({
      status: response.status,
      body: JSON.parse(response.body.toString("utf8")),
    });
  } catch (error) {
    return Err(
      new StepError("administration.request", "The response is not JSON", {
        peer: daemon.address,
        cause: error,
      }),
    );
  }
}
