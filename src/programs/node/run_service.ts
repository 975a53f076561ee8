/**
 * Runs a daemon or a stand-in until it receives SIGTERM or SIGINT.
 *
 * @module
 */

import type { GenericSchema, InferOutput } from "valibot";
import type { EventLog } from "../../base/common/event_log.ts";
import type { Result } from "../../base/common/result.ts";
import { describeError, type StepError } from "../../base/common/step_error.ts";
import { formatProcess } from "../../world/common/host.ts";
import { createProcessLog } from "../../base/node/process_log.ts";
import { readSettingsFile } from "../../base/node/settings_file.ts";
import {
  EXIT_NOT_RUN,
  EXIT_REFUSED,
  EXIT_SUCCESS,
} from "../common/exit_codes.ts";
import { PROCESS_STARTERS, type ProcessStarters } from "./process_starters.ts";
import type { ServiceCommandName } from "./service_names.ts";

interface Service {
  readonly ports: Readonly<Record<string, number>>;
  stop(): Promise<void>;
}

/** The log settings, which all settings files share. */
interface LogSettings {
  readonly level: "error" | "warn" | "info" | "debug";
  readonly file?: string;
}

/** Runs the service until it receives a stop signal, and returns the exit code. */
export async function runService(
  name: ServiceCommandName,
  file: string,
  starters: ProcessStarters = PROCESS_STARTERS,
): Promise<number> {
  // Registered before the start, so that a signal during it does not kill the process.
  const stopRequested = waitForSignal();
  const started = await startService(name, file, starters);
  if (started === undefined) {
    return EXIT_REFUSED;
  }
  const { service, log } = started;
  if (service === undefined) {
    return EXIT_NOT_RUN;
  }
  log.write("info", "process.started", service.ports);
  const signal = await stopRequested;
  log.write("info", "process.stopping", { signal });
  try {
    await service.stop();
  } catch (error) {
    log.write("error", "process.stop-failed", { reason: describeError(error) });
    return EXIT_REFUSED;
  }
  log.write("info", "process.stopped");
  return EXIT_SUCCESS;
}

async function startService(
  name: ServiceCommandName,
  file: string,
  starters: ProcessStarters,
): Promise<{ service: Service | undefined; log: EventLog } | undefined> {
  const launch = await prepareLaunch(name, file, starters);
  if (launch === undefined) {
    return undefined;
  }
  const { log } = launch;
  try {
    return { service: await launch.run(), log };
  } catch (error) {
    log.write("error", "process.start-failed", {
      reason: describeError(error),
    });
    return { service: undefined, log };
  }
}

interface Launch {
  readonly log: EventLog;
  run(): Promise<Service>;
}

async function prepareLaunch(
  name: ServiceCommandName,
  file: string,
  starters: ProcessStarters,
): Promise<Launch | undefined> {
  const startedAt = Date.now();
  switch (name) {
    case "daemon": {
      const { daemonSettingsSchema } = await import(
        "../common/daemon_settings.ts"
      );
      const settings = readSettings(file, daemonSettingsSchema);
      return settings && createLaunch(
        settings.log,
        {
          host: settings.host,
          failureDomain: settings.failureDomain,
          process: formatProcess({ host: settings.host, startedAt }),
        },
        async (log) => {
          const { proxyPort, administrationPort, linkPort, stop } =
            await starters.startDaemon(settings, { log, startedAt });
          return { ports: { proxyPort, administrationPort, linkPort }, stop };
        },
      );
    }
    case "platform": {
      const { platformSettingsSchema } = await import(
        "../common/platform_settings.ts"
      );
      const settings = readSettings(file, platformSettingsSchema);
      return settings && createLaunch(
        settings.log,
        { host: "platform", process: process.pid },
        async (log) => {
          const { port, stop } = await starters.startPlatform(settings, {
            log,
          });
          return { ports: { port }, stop };
        },
      );
    }
    case "upstream": {
      const { upstreamSettingsSchema } = await import(
        "../common/upstream_settings.ts"
      );
      const settings = readSettings(file, upstreamSettingsSchema);
      return settings && createLaunch(
        settings.log,
        {
          host: settings.address,
          service: settings.service,
          serviceVersion: settings.version,
          process: process.pid,
        },
        async (log) => {
          const { port, stop } = await starters.startUpstream(settings, {
            log,
          });
          return { ports: { port }, stop };
        },
      );
    }
  }
}

function createLaunch(
  settings: LogSettings,
  fields: Record<string, string | number>,
  run: (log: EventLog) => Promise<Service>,
): Launch {
  const log = createProcessLog({ ...settings, fields });
  return { log, run: () => run(log) };
}

function readSettings<const Schema extends GenericSchema>(
  file: string,
  schema: Schema,
): InferOutput<Schema> | undefined {
  const settings: Result<InferOutput<Schema>, StepError> = readSettingsFile(
    file,
    schema,
  );
  if (settings.err) {
    console.error(settings.val.message);
    return undefined;
  }
  return settings.val;
}

/**
 * Waits for the first stop signal. A repeated SIGTERM is ignored, because process managers repeat it
 * and it would cut the calls in flight; a second SIGINT terminates the process immediately.
 */
function waitForSignal(): Promise<string> {
  return new Promise((resolve) => {
    process.on("SIGTERM", () => resolve("SIGTERM"));
    process.once("SIGINT", () => resolve("SIGINT"));
  });
}
