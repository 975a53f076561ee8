/**
 * The processes that the commands start. Each is loaded when it is started, so that a daemon
 * holds no other program in memory.
 *
 * @module
 */

import type { EventLog } from "../../base/common/event_log.ts";
import { createRandomSource } from "../../base/common/random_source.ts";
import { SYSTEM_CLOCK } from "../../base/node/system_clock.ts";
import type { DaemonSettings } from "../common/daemon_settings.ts";
import type { PlatformSettings } from "../common/platform_settings.ts";
import type { UpstreamSettings } from "../common/upstream_settings.ts";

export interface StartOptions {
  readonly log: EventLog;
}

export interface RunningDaemon {
  readonly proxyPort: number;
  readonly administrationPort: number;
  readonly linkPort: number;
  /** Leaves, finishes the calls in flight and releases every resource. */
  stop(): Promise<void>;
}

export interface RunningServer {
  readonly port: number;
  stop(): Promise<void>;
}

export interface Assembly {
  startDaemon(
    settings: DaemonSettings,
    options: StartOptions,
  ): Promise<RunningDaemon>;
  startPlatform(
    settings: PlatformSettings,
    options: StartOptions,
  ): Promise<RunningServer>;
  startUpstream(
    settings: UpstreamSettings,
    options: StartOptions,
  ): Promise<RunningServer>;
}

export const ASSEMBLY: Assembly = {
  startDaemon: async (settings, options) =>
    (await load<Assembly>("./daemon.js")).startDaemon(settings, options),
  startPlatform,
  startUpstream,
};

async function startPlatform(
  settings: PlatformSettings,
): Promise<RunningServer> {
  const { createMemoryLog } = await import(
    "../../features/log/common/memory_log.ts"
  );
  const { listenLogServer } = await import(
    "../../features/log/node/log_server.ts"
  );
  const server = await listenLogServer({
    log: createMemoryLog({
      random: createRandomSource(Date.now()),
      retentionMilliseconds: settings.retentionMilliseconds,
      appendsPerSecond: settings.maximumAppendsPerSecond,
    }),
    clock: SYSTEM_CLOCK,
    address: settings.address,
    port: settings.port,
  });
  return {
    port: server.port,
    stop() {
      server.dispose();
      return Promise.resolve();
    },
  };
}

async function startUpstream(
  settings: UpstreamSettings,
  { log }: StartOptions,
): Promise<RunningServer> {
  const { startUpstreamStandIn } = await import("./upstream_stand_in.ts");
  const { service, version, address, port, slots } = settings;
  const upstream = await startUpstreamStandIn({
    service,
    version,
    address,
    port,
    slots,
    administration: `http://${address}:${settings.administrationPort}`,
    serviceMilliseconds: settings.workMilliseconds,
  }, { log });
  if (settings.failureShare > 0) {
    upstream.setBehaviour({ fault: "fail", share: settings.failureShare });
  }
  return { port: upstream.port, stop: () => upstream.drain() };
}

/** A computed path, since the daemon assembly is not in this branch yet. */
function load<T>(path: string): Promise<T> {
  return import(new URL(path, import.meta.url).href);
}
