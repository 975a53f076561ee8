/**
 * Sends one call of the demo's customer to a daemon.
 *
 * @module
 */

import { type Agent, request } from "node:http";
import type { Milliseconds } from "../../base/common/milliseconds.ts";
import type { DaemonSettings } from "../common/daemon_settings.ts";
import { DEMO_CUSTOMER } from "./demo_fleet.ts";

const CALL_TIMEOUT_MS: Milliseconds = 10_000;
const MAXIMUM_TEXT_LENGTH = 200;

export interface DemoCallOptions {
  readonly agent: Agent;
  readonly key: string;
  readonly isReservation: boolean;
  readonly timeoutMilliseconds?: Milliseconds;
}

export interface DemoResponse {
  /** 0 without a complete response. */
  readonly status: number;
  /** The outcome header of a refusal; undefined for a response of the upstream. */
  readonly outcome: string | undefined;
  readonly text: string;
  /** The error code of a failed connection, such as `ECONNREFUSED`. */
  readonly errorCode?: string;
}

export function sendDemoCall(
  daemon: Pick<DaemonSettings, "address" | "proxyPort">,
  options: DemoCallOptions,
): Promise<DemoResponse> {
  const { agent, key, isReservation } = options;
  return new Promise((resolve) => {
    const fail = (error: NodeJS.ErrnoException) =>
      resolve({
        status: 0,
        outcome: "unknown",
        text: error.message,
        errorCode: error.code,
      });
    const outgoing = request({
      agent,
      host: daemon.address,
      port: daemon.proxyPort,
      method: isReservation ? "POST" : "GET",
      path: isReservation ? "/v1/reservations" : "/v1/availability",
      headers: {
        "guavarun-customer": DEMO_CUSTOMER,
        ...isReservation ? { "idempotency-key": key } : {},
      },
      timeout: options.timeoutMilliseconds ?? CALL_TIMEOUT_MS,
    }, (response) => {
      const chunks: Buffer[] = [];
      const outcome = response.headers["guavarun-outcome"];
      response.on("data", (chunk: Buffer) => chunks.push(chunk));
      response.on("error", fail);
      response.on("end", () =>
        resolve({
          status: response.statusCode ?? 0,
          outcome: typeof outcome === "string" ? outcome : undefined,
          text: Buffer.concat(chunks).toString("utf8").trim()
            .slice(0, MAXIMUM_TEXT_LENGTH),
        }));
    });
    outgoing.on(
      "timeout",
      () => outgoing.destroy(new Error("no response in time")),
    );
    outgoing.on("error", fail);
    outgoing.end();
  });
}
