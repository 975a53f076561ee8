/**
 * Callers of a fleet of processes. They record every answer of every call, so that a test can
 * compare what callers were told with what upstreams ran.
 *
 * @module
 */

import assert from "node:assert/strict";
import { Agent } from "node:http";
import type { TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import type { Milliseconds } from "../../base/common/milliseconds.ts";
import { createIdentity } from "./demo_callers.ts";
import { type DemoAnswer, sendDemoCall } from "./demo_call.ts";
import type { FleetDaemon, FleetUpstream } from "./process_fleet.ts";

const PAUSE_MS: Milliseconds = 10;
const REPEAT_PAUSE_MS: Milliseconds = 100;
const CALL_TIMEOUT_MS: Milliseconds = 20_000;

export interface CallAnswer {
  /**
   * `answered`: the upstream's response; `not-run` and `unknown`: a refusal; `unreachable`: no
   * connection; `cut`: no whole answer.
   */
  readonly kind: "answered" | "not-run" | "unknown" | "unreachable" | "cut";
  readonly status: number;
  readonly text: string;
  readonly duration: Milliseconds;
}

export interface RecordedCall {
  readonly key: string;
  readonly isReservation: boolean;
  /** One for each time that the call was sent. */
  readonly answers: CallAnswer[];
}

export interface CallerOptions {
  /** A call goes to the first of a rotation, and its repeats to the next ones. */
  readonly daemons: readonly FleetDaemon[];
  /** Which calls are sent; by default the reads. */
  readonly routes?: "reads" | "reservations" | "both";
  readonly callers?: number;
  /** How often a call is sent at most until it is answered. */
  readonly attempts?: number;
  /** How often a call is sent at least, even when it was answered; by default once. */
  readonly leastAttempts?: number;
  /** Whether a call is repeated whose outcome is not known; by default it is not. */
  readonly repeatsUnknown?: boolean;
}

export interface ProcessCallers {
  readonly calls: readonly RecordedCall[];
  /** Resolves when no call is open. */
  stop(): Promise<readonly RecordedCall[]>;
}

/** Starts callers that send one call after the other until they are stopped. */
export function startProcessCallers(
  context: TestContext,
  options: CallerOptions,
): ProcessCallers {
  const { daemons, routes = "reads" } = options;
  const agent = new Agent({ keepAlive: true });
  const calls: RecordedCall[] = [];
  let stopping = false;

  async function run(caller: number): Promise<void> {
    for (let count = caller; !stopping; count += 1) {
      const domain = daemons[count % daemons.length].settings.failureDomain;
      const call: RecordedCall = {
        key: `${domain}.${createIdentity(Date.now())}`,
        isReservation: routes === "both"
          ? count % 2 === 0
          : routes === "reservations",
        answers: [],
      };
      calls.push(call);
      await sendWithRepeats(call, count, { ...options, agent });
      await sleep(PAUSE_MS);
    }
  }

  const running = Array.from(
    { length: options.callers ?? 6 },
    (_, index) => run(index),
  );
  async function stop(): Promise<readonly RecordedCall[]> {
    stopping = true;
    await Promise.all(running);
    agent.destroy();
    return calls;
  }

  // A test that fails leaves no callers behind, which would keep its process running.
  context.after(async () => void await stop());
  return { calls, stop };
}

interface SendOptions extends CallerOptions {
  readonly agent: Agent;
}

async function sendWithRepeats(
  call: RecordedCall,
  first: number,
  options: SendOptions,
): Promise<void> {
  const { daemons, attempts = 8, repeatsUnknown = false, agent } = options;
  for (let attempt = 0; attempt < attempts; attempt += 1) {
    const daemon = daemons[(first + attempt) % daemons.length];
    const answer = await send(daemon, call, agent);
    call.answers.push(answer);
    const { kind } = answer;
    const mayRepeat = attempt + 1 < (options.leastAttempts ?? 1) ||
      kind === "not-run" || kind === "unreachable" ||
      repeatsUnknown && kind !== "answered";
    if (!mayRepeat) {
      return;
    }
    await sleep(REPEAT_PAUSE_MS);
  }
}

async function send(
  { settings }: FleetDaemon,
  { key, isReservation }: RecordedCall,
  agent: Agent,
): Promise<CallAnswer> {
  const startedAt = Date.now();
  const answer = await sendDemoCall(settings, {
    agent,
    key,
    isReservation,
    timeoutMilliseconds: CALL_TIMEOUT_MS,
  });
  return {
    kind: kindOf(answer),
    status: answer.status,
    text: answer.text,
    duration: Date.now() - startedAt,
  };
}

function kindOf(
  { status, outcome, errorCode }: DemoAnswer,
): CallAnswer["kind"] {
  if (status === 0) {
    return errorCode === "ECONNREFUSED" ? "unreachable" : "cut";
  }
  return outcome === "not-run" || outcome === "unknown" ? outcome : "answered";
}

/** How a call ended for its caller. */
export function lastAnswer(call: RecordedCall): CallAnswer {
  return call.answers[call.answers.length - 1];
}

/** Whether a call ended with the successful response of an upstream. */
export function isServed(call: RecordedCall): boolean {
  const { kind, status } = lastAnswer(call);
  return kind === "answered" && status === 200;
}

/** Fails when a call did not end with the successful response of an upstream. */
export function assertAllServed(calls: readonly RecordedCall[]): void {
  const lost = calls.filter((call) => !isServed(call));
  assert.deepEqual(lost.slice(0, 3), [], `${lost.length} of ${calls.length}`);
}

/**
 * Compares what callers of reservations were told with the runs at the upstreams: no key ran
 * twice (G7), none ran that was refused as "not run" each time (G6), and each answered one ran.
 */
export async function assertRunsMatch(
  calls: readonly RecordedCall[],
  upstreams: readonly FleetUpstream[],
): Promise<void> {
  const runs = new Map<string, number>();
  for (const upstream of upstreams) {
    for (const [key, count] of Object.entries(await upstream.readKeys())) {
      runs.set(key, (runs.get(key) ?? 0) + count);
    }
  }
  const repeated = [...runs].filter(([, count]) => count > 1);
  assert.deepEqual(repeated.slice(0, 3), [], "keys that ran twice");
  const reservations = calls.filter(({ isReservation }) => isReservation);
  const falselyRefused = reservations.filter(({ key, answers }) =>
    runs.has(key) &&
    answers.every(({ kind }) => kind === "not-run" || kind === "unreachable")
  );
  assert.deepEqual(falselyRefused.slice(0, 3), [], "refused but run");
  const notRun = reservations.filter((call) =>
    isServed(call) && !runs.has(call.key)
  );
  assert.deepEqual(notRun.slice(0, 3), [], "answered but not run");
}
