/**
 * Observes the configuration versions that daemons report.
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
  /** The answers that went back to an older version, by host. */
  stop(): Promise<readonly string[]>;
}

/**
 * Asks each daemon for `/ready` all the time. A daemon that is ready must not report a version
 * below any that its host reported before; one that is not ready may also report none.
 */
export function watchVersions(
  context: TestContext,
  daemons: readonly FleetDaemon[],
): VersionWatch {
  const faults: string[] = [];
  let stopping = false;

  async function watch(daemon: FleetDaemon): Promise<void> {
    let highest = NO_VERSION;
    while (!stopping) {
      const state = await daemon.readReadiness();
      const version = state?.version;
      if (version !== undefined) {
        const isEmpty = !state!.ready && version === NO_VERSION;
        if (version < highest && !isEmpty) {
          faults.push(`${daemon.name}: ${version} after ${highest}`);
        }
        highest = Math.max(highest, version);
      }
      await sleep(POLL_MS);
    }
  }

  const watching = daemons.map(watch);
  async function stop(): Promise<readonly string[]> {
    stopping = true;
    await Promise.all(watching);
    return faults;
  }

  // A test that fails leaves no watch behind, which would keep its process running.
  context.after(async () => void await stop());
  return { stop };
}
