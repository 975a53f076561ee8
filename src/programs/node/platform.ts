/**
 * Runs the stand-in for the platform log as a program.
 *
 * @module
 */

import { createRandomSource } from "../../base/common/random_source.ts";
import { SYSTEM_CLOCK } from "../../base/node/system_clock.ts";
import { createMemoryLog } from "../../features/log/common/memory_log.ts";
import { listenLogServer } from "../../features/log/node/log_server.ts";
import type { PlatformSettings } from "../common/platform_settings.ts";
import type { RunningServer, StartOptions } from "./process_starters.ts";

export async function startPlatform(
  settings: PlatformSettings,
  { log }: StartOptions,
): Promise<RunningServer> {
  const clock = SYSTEM_CLOCK;
  const server = await listenLogServer({
    log: createMemoryLog({
      retentionMilliseconds: settings.retentionMilliseconds,
      appendsPerSecond: settings.maximumAppendsPerSecond,
      random: createRandomSource(clock.now() | 0),
    }),
    clock,
    address: settings.address,
    port: settings.port,
  });
  log.write("info", "platform.listening", { port: server.port });
  return {
    port: server.port,
    stop() {
      server.dispose();
      return Promise.resolve();
    },
  };
}
