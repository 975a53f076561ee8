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
  const stops: (() => Promise<void>)[] = [];
  const faults: string[] = [];
  try {
    await startFleet(fleet, options, stops);
    const result = await runScenario(fleet.daemons, {
      token,
      print,
      moveDeadlineMilliseconds: options.moveDeadlineMilliseconds,
    });
    faults.push(...result.faults);
  } catch (error) {
    faults.push(describeError(error));
  }
  for (const stop of stops.reverse()) {
    await stop().catch((error) => faults.push(describeError(error)));
  }
  faults.forEach((fault) => print(`Fault: ${fault}.`));
  print(faults.length === 0 ? "No call was lost." : "The demo failed.");
  return faults.length === 0 ? EXIT_SUCCESS : EXIT_REFUSED;
}

async function startFleet(
  fleet: Fleet,
  options: DemoOptions,
  stops: (() => Promise<void>)[],
): Promise<void> {
  const assembly = options.assembly ?? ASSEMBLY;
  const log = options.log ?? SILENT_LOG;
  const platform = await assembly.startPlatform(fleet.platform, { log });
  stops.push(() => platform.stop());
  for (const settings of fleet.daemons) {
    const { host, failureDomain } = settings;
    const daemon = await assembly.startDaemon(settings, {
      log: log.extend({ host, failureDomain }),
    });
    stops.push(() => daemon.stop());
  }
  for (const settings of fleet.upstreams) {
    const upstream = await assembly.startUpstream(settings, { log });
    stops.push(() => upstream.stop());
  }
}
