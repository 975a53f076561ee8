/**
 * Callers of a fleet of processes. They record the result of every attempt of every call, so that
 * a test can compare the results with the runs at the upstreams.
 *
 * @module
 */

import assert from "node:assert/strict";
import { Agent } from "node:http";
import type { TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import type { Milliseconds } from "../../base/common/milliseconds.ts";
import { createUuidV7 } from "./demo_callers.ts";
import { type DemoResponse, sendDemoCall } from "./demo_call.ts";
import type { FleetDaemon, FleetUpstream } from "./process_fleet.ts";

const CALL_PAUSE_MS: Milliseconds = 10;
const RETRY_DELAY_MS: Milliseconds = 100;
const CALL_TIMEOUT_MS: Milliseconds = 20_000;

export interface AttemptResult {
  /**
   * `answered`: the upstream's response; `not-run` and `unknown`: a refusal with this outcome;
   * `unreachable`: no connection; `cut`: no complete response.
   */
  readonly kind: "answered" | "not-run" | "unknown" | "unreachable" | "cut";
  readonly status: number;
  readonly text: string;
  readonly duration: Milliseconds;
}

export interface RecordedCall {
  readonly key: string;
  readonly isReservation: boolean;
  /** The result of each attempt. */
  readonly results: AttemptResult[];
}

export interface CallerOptions {
  /** Calls are distributed round-robin; a retry goes to the next daemon. */
  readonly daemons: readonly FleetDaemon[];
  /** The kinds of calls to send; reads by default. */
  readonly routes?: "reads" | "reservations" | "both";
  readonly callers?: number;
  /** Maximum number of attempts until a call is answered. */
  readonly maximumAttempts?: number;
  /** Minimum number of attempts, even when the call was answered; 1 by default. */
  readonly minimumAttempts?: number;
  /** Whether a call with an unknown outcome is retried; false by default. */
  readonly retriesUnknown?: boolean;
}

export interface ProcessCallers {
  readonly calls: readonly RecordedCall[];
  /** Stops the callers; resolves when no call is in flight. */
  stop(): Promise<readonly RecordedCall[]>;
}

/** Starts callers that each send one call after the other until they are stopped. */
export function startProcessCallers(
  context: TestContext,
  options: CallerOptions,
): ProcessCallers {
  const { daemons, routes = "reads" } = options;
  const agent = new Agent({ keepAlive: true });
  const calls: RecordedCall[] = [];
  let isStopping = false;

  async function run(caller: number): Promise<void> {
    for (let count = caller; !isStopping; count += 1) {
      const domain = daemons[count % daemons.length].settings.failureDomain;
      const call: RecordedCall = {
        key: `${domain}.${createUuidV7(Date.now())}`,
        isReservation: routes === "both"
          ? count % 2 === 0
          : routes === "reservations",
        results: [],
      };
      calls.push(call);
      await sendWithRetries(call, count, { ...options, agent });
      await sleep(CALL_PAUSE_MS);
    }
  }

  const running = Array.from(
    { length: options.callers ?? 6 },
    (_, index) => run(index),
  );
  async function stop(): Promise<readonly RecordedCall[]> {
    isStopping = true;
    await Promise.all(running);
    agent.destroy();
    return calls;
  }

  // Also stops the callers when the test fails; they would keep its process running.
  context.after(async () => void await stop());
  return { calls, stop };
}

interface SendOptions extends CallerOptions {
  readonly agent: Agent;
}

async function sendWithRetries(
  call: RecordedCall,
  firstIndex: number,
  options: SendOptions,
): Promise<void> {
  const { daemons, maximumAttempts = 8, retriesUnknown = false, agent } =
    options;
  for (let attempt = 0; attempt < maximumAttempts; attempt += 1) {
    const daemon = daemons[(firstIndex + attempt) % daemons.length];
    const result = await send(daemon, call, agent);
    call.results.push(result);
    const { kind } = result;
    const shouldRetry = attempt + 1 < (options.minimumAttempts ?? 1) ||
      kind === "not-run" || kind === "unreachable" ||
      retriesUnknown && kind !== "answered";
    if (!shouldRetry) {
      return;
    }
    await sleep(RETRY_DELAY_MS);
  }
}

async function send(
  { settings }: FleetDaemon,
  { key, isReservation }: RecordedCall,
  agent: Agent,
): Promise<AttemptResult> {
  const startedAt = Date.now();
  const response = await sendDemoCall(settings, {
    agent,
    key,
    isReservation,
    timeoutMilliseconds: CALL_TIMEOUT_MS,
  });
  return {
    kind: classifyResponse(response),
    status: response.status,
    text: response.text,
    duration: Date.now() - startedAt,
  };
}

function classifyResponse(
  { status, outcome, errorCode }: DemoResponse,
): AttemptResult["kind"] {
  if (status === 0) {
    return errorCode === "ECONNREFUSED" ? "unreachable" : "cut";
  }
  return outcome === "not-run" || outcome === "unknown" ? outcome : "answered";
}

/** Returns the result of the last attempt of a call. */
export function lastResult(call: RecordedCall): AttemptResult {
  return call.results[call.results.length - 1];
}

/** Whether a call ended with the successful response of an upstream. */
export function isServed(call: RecordedCall): boolean {
  const { kind, status } = lastResult(call);
  return kind === "answered" && status === 200;
}

/** Fails when a call did not end with the successful response of an upstream. */
export function assertAllServed(calls: readonly RecordedCall[]): void {
  const lost = calls.filter((call) => !isServed(call));
  assert.deepEqual(lost.slice(0, 3), [], `${lost.length} of ${calls.length}`);
}

/**
 * Compares the results of reservations with the runs at the upstreams: no key ran twice (G7), no
 * call ran whose attempts were all refused as "not run" (G6), and each served call ran.
 */
export async function assertRunsMatch(
  calls: readonly RecordedCall[],
  upstreams: readonly FleetUpstream[],
): Promise<void> {
  const runs = new Map<string, number>();
  for (const upstream of upstreams) {
    for (const [key, count] of Object.entries(await upstream.readRunsByKey())) {
      runs.set(key, (runs.get(key) ?? 0) + count);
    }
  }
  const repeated = [...runs].filter(([, count]) => count > 1);
  assert.deepEqual(repeated.slice(0, 3), [], "keys that ran twice");
  const reservations = calls.filter(({ isReservation }) => isReservation);
  const falselyRefused = reservations.filter(({ key, results }) =>
    runs.has(key) &&
    results.every(({ kind }) => kind === "not-run" || kind === "unreachable")
  );
  assert.deepEqual(
    falselyRefused.slice(0, 3),
    [],
    "refused as not run, but run",
  );
  const notRun = reservations.filter((call) =>
    isServed(call) && !runs.has(call.key)
  );
  assert.deepEqual(notRun.slice(0, 3), [], "answered but not run");
}
