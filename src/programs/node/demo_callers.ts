/**
 * The callers of the demo. A caller behaves as callers should: it repeats a call that was
 * refused as "not run", with the same idempotency key, and nothing else.
 *
 * @module
 */

import { randomBytes } from "node:crypto";
import { Agent } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import type { DaemonSettings } from "../common/daemon_settings.ts";
import { sendDemoCall } from "./demo_call.ts";

const CALLERS_PER_DAEMON = 2;
const PAUSE_MS = 10;
const REPEATS = 5;
const REPEAT_PAUSE_MS = 100;
/**
 * One call in this many reserves a unit; the others read the availability. Each route needs 50
 * calls to the new version at each step of a move, so a rare one would hold the move back.
 */
const CALLS_PER_RESERVATION = 2;

export interface CallCounts {
  calls: number;
  answered: number;
  /** Calls repeated after a refusal that was marked "not run". */
  repeated: number;
  /** Calls without a complete and successful answer. */
  lost: number;
  /** How many calls were lost for each reason. */
  readonly reasons: Map<string, number>;
}

export interface Callers {
  readonly counts: Readonly<CallCounts>;
  /** Resolves when no call is open. */
  stop(): Promise<void>;
}

export function startCallers(daemons: readonly DaemonSettings[]): Callers {
  const counts: CallCounts = {
    calls: 0,
    answered: 0,
    repeated: 0,
    lost: 0,
    reasons: new Map(),
  };
  const agent = new Agent({ keepAlive: true });
  let stopping = false;

  async function runCaller(daemon: DaemonSettings): Promise<void> {
    while (!stopping) {
      counts.calls += 1;
      const fault = await callWithRepeats(daemon, { agent, counts });
      if (fault === undefined) {
        counts.answered += 1;
      } else {
        counts.lost += 1;
        counts.reasons.set(fault, (counts.reasons.get(fault) ?? 0) + 1);
      }
      await sleep(PAUSE_MS);
    }
  }

  const running = daemons.flatMap((daemon) =>
    Array.from({ length: CALLERS_PER_DAEMON }, () => runCaller(daemon))
  );
  return {
    counts,
    async stop() {
      stopping = true;
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
async function callWithRepeats(
  daemon: DaemonSettings,
  { agent, counts }: CallContext,
): Promise<string | undefined> {
  const isReservation = counts.calls % CALLS_PER_RESERVATION === 0;
  const key = `${daemon.failureDomain}.${createIdentity(Date.now())}`;
  for (let repeat = 0;; repeat += 1) {
    const answer = await sendDemoCall(daemon, { agent, key, isReservation });
    if (answer.status === 200) {
      return undefined;
    }
    if (answer.outcome !== "not-run" || repeat === REPEATS) {
      return `status ${answer.status}, outcome ${
        answer.outcome ?? "answered"
      }: ${answer.text}`;
    }
    counts.repeated += 1;
    await sleep(REPEAT_PAUSE_MS);
  }
}

/** A UUID of version 7 (RFC 9562), which begins with the time of its creation. */
export function createIdentity(now: number): string {
  const bytes = randomBytes(16);
  bytes.writeUIntBE(now, 0, 6);
  bytes[6] = 0x70 | bytes[6] & 0x0f;
  bytes[8] = 0x80 | bytes[8] & 0x3f;
  const hex = bytes.toString("hex");
  return [[0, 8], [8, 12], [12, 16], [16, 20], [20, 32]]
    .map(([from, to]) => hex.slice(from, to)).join("-");
}
