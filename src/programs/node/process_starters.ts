/**
 * Starts the programs of the commands. Each program is loaded when it is started, so that a daemon
 * does not hold the others in memory.
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
  /** The start time of the process, which is part of its identity; by default the current time. */
  readonly startedAt?: Milliseconds;
}

export interface RunningDaemon {
  readonly proxyPort: number;
  readonly administrationPort: number;
  readonly linkPort: number;
  /** Leaves the membership, finishes the calls in flight and releases all resources. */
  stop(): Promise<void>;
}

export interface RunningServer {
  readonly port: number;
  stop(): Promise<void>;
}

export interface ProcessStarters {
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

export const PROCESS_STARTERS: ProcessStarters = {
  startDaemon: async (settings, options) =>
    (await importModule<ProcessStarters>("./daemon.js")).startDaemon(
      settings,
      options,
    ),
  startPlatform: async (settings, options) =>
    (await importModule<ProcessStarters>("./platform.js")).startPlatform(
      settings,
      options,
    ),
  startUpstream: async (settings, options) =>
    (await importModule<ProcessStarters>("./upstream.js")).startUpstream(
      settings,
      options,
    ),
};

/** The computed path keeps these modules out of the type check of the command line. */
function importModule<T>(path: string): Promise<T> {
  return import(new URL(path, import.meta.url).href);
}
