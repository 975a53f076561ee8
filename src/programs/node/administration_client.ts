/**
 * Requests of the command line to a daemon's administration API.
 *
 * @module
 */

import { Err, Ok, type Result } from "../../base/common/result.ts";
import { StepError } from "../../base/common/step_error.ts";
import { createHttpClient } from "../../base/node/http_client.ts";

/** Above the 8 s that a daemon waits for the verdict on a record. */
const TIMEOUT_MS = 15_000;

export interface DaemonAddress {
  /** `ADDRESS:PORT` of the administration listener. */
  readonly address: string;
  readonly token: string;
}

export interface AdministrationAnswer {
  readonly status: number;
  readonly body: Record<string, unknown>;
}

/** Sends a request; with a body it is a POST. */
export async function callAdministration(
  daemon: DaemonAddress,
  path: string,
  body?: unknown,
): Promise<Result<AdministrationAnswer, StepError>> {
  const client = createHttpClient();
  try {
    const answer = await client.send({
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
    return answer.ok ? decode(answer.val, daemon) : answer;
  } finally {
    client.dispose();
  }
}

function decode(
  answer: { status: number; body: Buffer },
  daemon: DaemonAddress,
): Result<AdministrationAnswer, StepError> {
  try {
    return Ok({
      status: answer.status,
      body: JSON.parse(answer.body.toString("utf8")),
    });
  } catch (error) {
    return Err(
      new StepError("administration.request", "The answer is not JSON", {
        peer: daemon.address,
        cause: error,
      }),
    );
  }
}
