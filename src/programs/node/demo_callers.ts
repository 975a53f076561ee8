/**
 * The callers of the demo. They follow the rule for callers: only a call that was refused as
 * "not run" is retried, with the same idempotency key.
 *
 * @module
 */

import { randomBytes } from "node:crypto";
import { Agent } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import type { DaemonSettings } from "../common/daemon_settings.ts";
import { sendDemoCall } from "./demo_call.ts";

const CALLERS_PER_DAEMON = 2;
const CALL_PAUSE_MS = 10;
const MAXIMUM_RETRIES = 5;
const RETRY_DELAY_MS = 100;
/**
 * One call in this many is a reservation; the others read the availability. Each route needs 50
 * calls to the new version at each step of a move, so a rarely called route would delay the move.
 */
const CALLS_PER_RESERVATION = 2;

export interface CallCounts {
  calls: number;
  answered: number;
  /** Retries after a refusal that was marked "not run". */
  retried: number;
  /** Calls without a complete and successful response. */
  lost: number;
  /** The number of lost calls by reason. */
  readonly reasons: Map<string, number>;
}

export interface Callers {
  readonly counts: Readonly<CallCounts>;
  /** Stops the callers; resolves when no call is in flight. */
  stop(): Promise<void>;
}

export function startCallers(daemons: readonly DaemonSettings[]): Callers {
  const counts: CallCounts = {
    calls: 0,
    answered: 0,
    retried: 0,
    lost: 0,
    reasons: new Map(),
  };
  const agent = new Agent({ keepAlive: true });
  let isStopping = false;

  async function runCaller(daemon: DaemonSettings): Promise<void> {
    while (!isStopping) {
      counts.calls += 1;
      const lossReason = await callWithRetries(daemon, { agent, counts });
      if (lossReason === undefined) {
        counts.answered += 1;
      } else {
        counts.lost += 1;
        counts.reasons.set(
          lossReason,
          (counts.reasons.get(lossReason) ?? 0) + 1,
        );
      }
      await sleep(CALL_PAUSE_MS);
    }
  }

  const running = daemons.flatMap((daemon) =>
    Array.from({ length: CALLERS_PER_DAEMON }, () => runCaller(daemon))
  );
  return {
    counts,
    async stop() {
      isStopping = true;
      await Promise.all(running);
      agent.destroy();
    },
  };
}

interface CallContext {
  readonly agent: Agent;
  readonly counts: CallCounts;
}

/** Returns the reason why the call was lost; undefined when it was answered. */
async function callWithRetries(
  daemon: DaemonSettings,
  { agent, counts }: CallContext,
): Promise<string | undefined> {
  const isReservation = counts.calls % CALLS_PER_RESERVATION === 0;
  const key = `${daemon.failureDomain}.${createUuidV7(Date.now())}`;
  for (let retry = 0;; retry += 1) {
    const response = await sendDemoCall(daemon, { agent, key, isReservation });
    if (response.status === 200) {
      return undefined;
    }
    if (response.outcome !== "not-run" || retry === MAXIMUM_RETRIES) {
      return `status ${response.status}, outcome ${
        response.outcome ?? "answered"
      }: ${response.text}`;
    }
    counts.retried += 1;
    await sleep(RETRY_DELAY_MS);
  }
}

/** Creates a UUID of version 7 (RFC 9562), which begins with the time `now`. */
export function createUuidV7(now: number): string {
  const bytes = randomBytes(16);
  bytes.writeUIntBE(now, 0, 6);
  bytes[6] = 0x70 | bytes[6] & 0x0f;
  bytes[8] = 0x80 | bytes[8] & 0x3f;
  const hex = bytes.toString("hex");
  return [[0, 8], [8, 12], [12, 16], [16, 20], [20, 32]]
    .map(([from, to]) => hex.slice(from, to)).join("-");
}
