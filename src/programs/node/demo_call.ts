/**
 * One call of the demo's customer to a daemon.
 *
 * @module
 */

import { type Agent, request } from "node:http";
import type { Milliseconds } from "../../base/common/milliseconds.ts";
import type { DaemonSettings } from "../common/daemon_settings.ts";
import { DEMO_CUSTOMER } from "./demo_fleet.ts";

const CALL_TIMEOUT_MS: Milliseconds = 10_000;
const MAXIMUM_TEXT = 200;

export interface DemoCallOptions {
  readonly agent: Agent;
  readonly key: string;
  readonly isReservation: boolean;
  readonly timeoutMilliseconds?: Milliseconds;
}

export interface DemoAnswer {
  /** 0 without a complete answer. */
  readonly status: number;
  /** The header of a refusal; undefined for an answer of the upstream. */
  readonly outcome: string | undefined;
  readonly text: string;
  /** The code of a failed connection, such as `ECONNREFUSED`. */
  readonly errorCode?: string;
}

export function sendDemoCall(
  daemon: Pick<DaemonSettings, "address" | "proxyPort">,
  options: DemoCallOptions,
): Promise<DemoAnswer> {
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
    }, (answer) => {
      const parts: Buffer[] = [];
      const outcome = answer.headers["guavarun-outcome"];
      answer.on("data", (part: Buffer) => parts.push(part));
      answer.on("error", fail);
      answer.on("end", () =>
        resolve({
          status: answer.statusCode ?? 0,
          outcome: typeof outcome === "string" ? outcome : undefined,
          text: Buffer.concat(parts).toString("utf8").trim()
            .slice(0, MAXIMUM_TEXT),
        }));
    });
    outgoing.on("timeout", () => outgoing.destroy(new Error("no answer")));
    outgoing.on("error", fail);
    outgoing.end();
  });
}
