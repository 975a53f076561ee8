/**
 * Checks that the configuration versions reported by daemons never go back.
 *
 * @module
 */

import type { TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import type { Milliseconds } from "../../base/common/milliseconds.ts";
import { NO_VERSION } from "../../world/common/names.ts";
import type { FleetDaemon } from "./process_fleet.ts";

const POLL_MS: Milliseconds = 20;

export interface VersionWatch {
  /** Stops polling; returns the reports of an older version, each with its host. */
  stop(): Promise<readonly string[]>;
}

/**
 * Polls `/ready` of each daemon. A daemon that is ready must not report a version below any that
 * its host reported before; one that is not ready may also report no version.
 */
export function watchVersions(
  context: TestContext,
  daemons: readonly FleetDaemon[],
): VersionWatch {
  const regressions: string[] = [];
  let isStopping = false;

  async function watch(daemon: FleetDaemon): Promise<void> {
    let highest = NO_VERSION;
    while (!isStopping) {
      const state = await daemon.readReadiness();
      const version = state?.version;
      if (version !== undefined) {
        const isEmpty = !state!.ready && version === NO_VERSION;
        if (version < highest && !isEmpty) {
          regressions.push(`${daemon.name}: ${version} after ${highest}`);
        }
        highest = Math.max(highest, version);
      }
      await sleep(POLL_MS);
    }
  }

  const watching = daemons.map(watch);
  async function stop(): Promise<readonly string[]> {
    isStopping = true;
    await Promise.all(watching);
    return regressions;
  }

  // Also stops polling when the test fails; it would keep its process running.
  context.after(async () => void await stop());
  return { stop };
}
