/**
 * The scenario of the demo: publishes a contract, then a change and a move while calls are sent.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";
import type { Milliseconds } from "../../base/common/milliseconds.ts";
import type { DaemonSettings } from "../common/daemon_settings.ts";
import { callAdministration } from "./administration_client.ts";
import { startCallers } from "./demo_callers.ts";
import { createDemoContract, DEMO_SERVICE, NEW_VERSION } from "./demo_fleet.ts";

const MINIMUM_CALLS = 1_000;
const READY_TIMEOUT_MS: Milliseconds = 30_000;
/** A claim needs an owner that has run for 5 s, and admission needs 4 s until the members agree. */
const WARM_UP_MS: Milliseconds = 6_000;
const VERSION_TIMEOUT_MS: Milliseconds = 10_000;
/** The steps of a move take at least 30 s. */
const DEFAULT_MOVE_DEADLINE_MS: Milliseconds = 45_000;
const POLL_MS: Milliseconds = 50;
const PROGRESS_INTERVAL_MS: Milliseconds = 5_000;
const FIRST_RATE = 6_000;
const SECOND_RATE = 9_000;

export interface ScenarioOptions {
  readonly token: string;
  readonly print: (line: string) => void;
  readonly moveDeadlineMilliseconds?: Milliseconds;
}

export interface ScenarioResult {
  /** Descriptions of what failed; empty on success. */
  readonly faults: readonly string[];
  readonly calls: number;
  /** `done`, `taken-back`, `refused` or `open`. */
  readonly moveState: string;
}

/** Runs the scenario against a started fleet. */
export async function runScenario(
  daemons: readonly DaemonSettings[],
  options: ScenarioOptions,
): Promise<ScenarioResult> {
  const session = createSession(daemons, options);
  const faults: string[] = [];
  const { print } = options;
  if (!await session.waitUntil(READY_TIMEOUT_MS, (state) => state.ready)) {
    return { faults: ["not every daemon is ready"], calls: 0, moveState: "" };
  }
  print(`${daemons.length} daemons in 2 failure domains are ready.`);
  faults.push(...await session.publish(FIRST_RATE));
  await sleep(WARM_UP_MS);

  const callers = startCallers(daemons);
  await sleep(500);
  faults.push(...await session.publish(SECOND_RATE));
  const moveState = await session.move(
    options.moveDeadlineMilliseconds ?? DEFAULT_MOVE_DEADLINE_MS,
  );
  // The new version is good, so the move must not be taken back.
  if (moveState !== "done") {
    faults.push(`the move is not done: ${moveState}`);
  }
  while (callers.counts.calls < MINIMUM_CALLS) {
    await sleep(POLL_MS);
  }
  await callers.stop();

  const { calls, answered, retried, lost, reasons } = callers.counts;
  print(
    `Callers sent ${calls} calls: ${answered} answered, ${lost} lost; ` +
      `${retried} refusals marked "not run" were repeated.`,
  );
  if (lost > 0) {
    faults.push(
      `${lost} calls were lost`,
      ...[...reasons].map(([reason, count]) => `${count} times ${reason}`),
    );
  }
  return { faults, calls, moveState };
}

interface DaemonState {
  readonly ready: boolean;
  readonly version: number;
}

function createSession(
  daemons: readonly DaemonSettings[],
  { token, print }: ScenarioOptions,
) {
  const request = (daemon: DaemonSettings, path: string, body?: unknown) =>
    callAdministration(
      {
        address: `${daemon.address}:${daemon.administrationPort}`,
        token,
      },
      path,
      body,
    );

  /** Waits until the condition holds for every daemon; false on a timeout. */
  async function waitUntil(
    timeout: Milliseconds,
    condition: (state: DaemonState) => boolean,
  ): Promise<boolean> {
    const endAt = Date.now() + timeout;
    while (Date.now() < endAt) {
      const answers = await Promise.all(
        daemons.map((daemon) => request(daemon, "/ready")),
      );
      if (
        answers.every((answer) =>
          answer.ok && condition(answer.val.body as unknown as DaemonState)
        )
      ) {
        return true;
      }
      await sleep(POLL_MS);
    }
    return false;
  }

  /** Publishes the contract with a rate limit and waits until it is in force on every daemon. */
  async function publish(rate: number): Promise<string[]> {
    const startedAt = Date.now();
    const answer = await request(
      daemons[0],
      "/changes",
      createDemoContract(rate),
    );
    if (answer.err) {
      return [`the change was not published: ${answer.val.message}`];
    }
    const { result, reason, description, offset } = answer.val.body;
    print(String(description ?? reason));
    if (result !== "accepted") {
      return [`the change is not accepted: ${reason}`];
    }
    const isApplied = await waitUntil(
      VERSION_TIMEOUT_MS,
      ({ version }) => version >= Number(offset),
    );
    print(
      isApplied
        ? `Version ${offset} is in force on every daemon after ${
          Date.now() - startedAt
        } ms.`
        : `Version ${offset} is not in force on every daemon.`,
    );
    return isApplied ? [] : [`version ${offset} did not reach every daemon`];
  }

  /** Moves the service to the new version and returns the final state. */
  async function move(deadline: Milliseconds): Promise<string> {
    const answer = await request(daemons[0], "/moves", {
      identity: "move-demo",
      service: DEMO_SERVICE,
      toVersion: NEW_VERSION,
      withinMilliseconds: deadline,
    });
    if (answer.err || answer.val.body.result !== "accepted") {
      return answer.err ? answer.val.message : `${answer.val.body.reason}`;
    }
    return await pollMove(Date.now() + 2 * deadline);
  }

  async function pollMove(endAt: Milliseconds): Promise<string> {
    let state = "open";
    let nextLineAt = 0;
    while (state === "open" && Date.now() < endAt) {
      await sleep(POLL_MS);
      const answer = await request(daemons[0], "/moves/move-demo");
      if (answer.ok) {
        const { body } = answer.val;
        state = String(body.state);
        if (state !== "open" || Date.now() >= nextLineAt) {
          nextLineAt = Date.now() + PROGRESS_INTERVAL_MS;
          print(String(body.description));
        }
      }
    }
    return state;
  }

  return { waitUntil, publish, move };
}
