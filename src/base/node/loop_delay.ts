/**
 * How late the event loop of this process is.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import type { Disposable } from "../common/disposable.ts";
import type { Milliseconds } from "../common/milliseconds.ts";

/** Delays much shorter than this do not show; each check wakes the process. */
const CHECK_INTERVAL_MS: Milliseconds = 100;

export interface LoopDelay extends Disposable {
  /** For how long events that are handled now may have waited in this process. */
  readonly current: Milliseconds;
}

export function createLoopDelay(clock: Clock): LoopDelay {
  let dueAt = clock.now() + CHECK_INTERVAL_MS;
  let latest: Milliseconds = 0;
  const checks = clock.repeat(CHECK_INTERVAL_MS, () => {
    const now = clock.now();
    latest = Math.max(0, now - dueAt);
    dueAt = now + CHECK_INTERVAL_MS;
  });
  return {
    get current() {
      return Math.max(latest, clock.now() - dueAt);
    },
    dispose: () => checks.dispose(),
  };
}
