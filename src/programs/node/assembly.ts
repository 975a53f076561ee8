/**
 * The processes that the commands start. Each is loaded when it is started, so that a daemon
 * holds no other program in memory.
 *
 * @module
 */

import type { Milliseconds } from "../../base/common/milliseconds.ts";
import type { EventLog } from "../../base/common/event_log.ts";
import type { DaemonSettings } from "../common/daemon_settings.ts";
import type { PlatformSettings } from "../common/platform_settings.ts";
import type { UpstreamSettings } from "../common/upstream_settings.ts";

export interface StartOptions {
  readonly log: EventLog;
  /** The start of the process, which identifies it; the present when absent. */
  readonly startedAt?: Milliseconds;
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
  startPlatform: async (settings, options) =>
    (await load<Assembly>("./platform.js")).startPlatform(settings, options),
  startUpstream: async (settings, options) =>
    (await load<Assembly>("./upstream.js")).startUpstream(
      settings,
      options,
    ),
};

/** A computed path keeps these modules out of the type check of the command line. */
function load<T>(path: string): Promise<T> {
  return import(new URL(path, import.meta.url).href);
}
