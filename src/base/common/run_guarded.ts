/**
 * Runs a step of one call so that an exception does not affect other calls.
 *
 * @module
 */

import type { EventLog, LogFields } from "./event_log.ts";

export interface GuardOptions {
  readonly log: EventLog;
  /** The name of the log event of an exception. */
  readonly event: string;
  readonly fields: LogFields;
  /** Called after an exception, to end the call. */
  readonly onFailed?: () => void;
}

export function runGuarded(
  step: () => void,
  { log, event, fields, onFailed }: GuardOptions,
): void {
  try {
    step();
  } catch (error) {
    const stack = error instanceof Error ? error.stack : undefined;
    log.write("error", event, { ...fields, error: stack ?? String(error) });
    onFailed?.();
  }
}
