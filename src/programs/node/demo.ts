/**
 * The demo: runs a complete fleet in one process on loopback ports.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import { type EventLog, SILENT_LOG } from "../../base/common/event_log.ts";
import { describeError } from "../../base/common/step_error.ts";
import { EXIT_REFUSED, EXIT_SUCCESS } from "../common/exit_codes.ts";
import { PROCESS_STARTERS, type ProcessStarters } from "./process_starters.ts";
import { createFleet, type Fleet } from "./demo_fleet.ts";
import { runScenario, type ScenarioOptions } from "./demo_scenario.ts";

export interface DemoOptions {
  readonly print: (line: string) => void;
  readonly starters?: ProcessStarters;
  readonly log?: EventLog;
  readonly moveDeadlineMilliseconds?:
    ScenarioOptions["moveDeadlineMilliseconds"];
}

/** Runs the demo and returns the exit code, which is not 0 when a call was lost or a step failed. */
export async function runDemo(options: DemoOptions): Promise<number> {
  const { print } = options;
  const token = randomUUID();
  const fleet = await createFleet(token);
  const stages: Stoppable[][] = [];
  const faults: string[] = [];
  try {
    await startFleet(fleet, options, stages);
    const result = await runScenario(fleet.daemons, {
      token,
      print,
      moveDeadlineMilliseconds: options.moveDeadlineMilliseconds,
    });
    faults.push(...result.faults);
  } catch (error) {
    faults.push(describeError(error));
  }
  for (const stage of stages.reverse()) {
    const results = await Promise.allSettled(
      stage.map((service) => service.stop()),
    );
    faults.push(
      ...results.flatMap((result) =>
        result.status === "rejected" ? [describeError(result.reason)] : []
      ),
    );
  }
  faults.forEach((fault) => print(`Fault: ${fault}.`));
  print(faults.length === 0 ? "No call was lost." : "The demo failed.");
  return faults.length === 0 ? EXIT_SUCCESS : EXIT_REFUSED;
}

interface Stoppable {
  stop(): Promise<void>;
}

/** Adds each started process to `stages`, so that all of them are stopped after a failed start. */
async function startFleet(
  fleet: Fleet,
  options: DemoOptions,
  stages: Stoppable[][],
): Promise<void> {
  const starters = options.starters ?? PROCESS_STARTERS;
  const log = options.log ?? SILENT_LOG;
  async function startStage(starts: readonly Promise<Stoppable>[]) {
    const stage: Stoppable[] = [];
    stages.push(stage);
    const results = await Promise.allSettled(starts);
    for (const result of results) {
      if (result.status === "fulfilled") {
        stage.push(result.value);
      }
    }
    await Promise.all(starts);
  }
  await startStage([starters.startPlatform(fleet.platform, { log })]);
  await startStage(fleet.daemons.map((settings) => {
    const { host, failureDomain } = settings;
    const hostLog = log.extend({ host, failureDomain });
    return starters.startDaemon(settings, { log: hostLog });
  }));
  await startStage(
    fleet.upstreams.map((settings) =>
      starters.startUpstream(settings, { log })
    ),
  );
}
