/**
 * The processes that the commands start. Each is loaded when it is started, so that a daemon
 * holds no other program in memory.
 *
 * @module
 */

import type { Clock } from "../../base/common/clock.ts";
import type { Disposable } from "../../base/common/disposable.ts";
import type { EventLog } from "../../base/common/event_log.ts";
import type { Milliseconds } from "../../base/common/milliseconds.ts";
import {
  createRandomSource,
  type RandomSource,
} from "../../base/common/random_source.ts";
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

/** The log server and the log in memory, as far as this module uses them. */
interface LogModules {
  createMemoryLog(options: {
    readonly random: RandomSource;
    readonly retentionMilliseconds: Milliseconds;
    readonly appendsPerSecond: number;
  }): object;
  listenLogServer(options: {
    readonly log: object;
    readonly clock: Clock;
    readonly address: string;
    readonly port: number;
  }): Promise<Disposable & { readonly port: number }>;
}

async function startPlatform(
  settings: PlatformSettings,
): Promise<RunningServer> {
  const folder = "../../features/log";
  const { createMemoryLog } = await load<LogModules>(
    `${folder}/common/memory_log.js`,
  );
  const { listenLogServer } = await load<LogModules>(
    `${folder}/node/log_server.js`,
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

/** The upstream stand-in, as far as this module uses it. */
interface UpstreamModule {
  startUpstreamStandIn(
    settings:
      & Pick<
        UpstreamSettings,
        "service" | "version" | "address" | "port" | "slots"
      >
      & {
        readonly administration: string;
        readonly serviceMilliseconds: Milliseconds;
      },
    dependencies: StartOptions,
  ): Promise<{
    readonly port: number;
    setBehaviour(behaviour: { fault: "fail"; share: number }): void;
    drain(): Promise<void>;
  }>;
}

async function startUpstream(
  settings: UpstreamSettings,
  { log }: StartOptions,
): Promise<RunningServer> {
  const { startUpstreamStandIn } = await load<UpstreamModule>(
    "./upstream_stand_in.js",
  );
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

/** A computed path keeps these modules out of the type check of the command line. */
function load<T>(path: string): Promise<T> {
  return import(new URL(path, import.meta.url).href);
}
