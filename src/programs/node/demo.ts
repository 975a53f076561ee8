/**
 * The demo: a whole fleet in one process on loopback ports.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import { type EventLog, SILENT_LOG } from "../../base/common/event_log.ts";
import { describeError } from "../../base/common/step_error.ts";
import { EXIT_REFUSED, EXIT_SUCCESS } from "../common/exit_codes.ts";
import { ASSEMBLY, type Assembly } from "./assembly.ts";
import { createFleet, type Fleet } from "./demo_fleet.ts";
import { runScenario, type ScenarioOptions } from "./demo_scenario.ts";

export interface DemoOptions {
  readonly print: (line: string) => void;
  readonly assembly?: Assembly;
  readonly log?: EventLog;
  readonly moveDeadlineMilliseconds?:
    ScenarioOptions["moveDeadlineMilliseconds"];
}

/** Runs the demo to its end and returns the exit code: not 0 when a call was lost. */
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
    const results = await Promise.allSettled(stage.map((one) => one.stop()));
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

/** Adds what it starts to the stages, so that a failed start leaves nothing running. */
async function startFleet(
  fleet: Fleet,
  options: DemoOptions,
  stages: Stoppable[][],
): Promise<void> {
  const assembly = options.assembly ?? ASSEMBLY;
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
  await startStage([assembly.startPlatform(fleet.platform, { log })]);
  await startStage(fleet.daemons.map((settings) => {
    const { host, failureDomain } = settings;
    const own = log.extend({ host, failureDomain });
    return assembly.startDaemon(settings, { log: own });
  }));
  await startStage(
    fleet.upstreams.map((settings) =>
      assembly.startUpstream(settings, { log })
    ),
  );
}
