/**
 * The log of a process as its code sees it: one event, one line of key=value pairs. The time
 * line is made from the same events.
 *
 * @module
 */

import type { Milliseconds } from "./milliseconds.ts";

export type LogLevel = "error" | "warn" | "info" | "debug";

export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

export interface LogEvent {
  readonly at: Milliseconds;
  readonly level: LogLevel;
  /** What happened, such as `configuration.applied`. */
  readonly event: string;
  readonly fields: LogFields;
}

export interface EventLog {
  write(level: LogLevel, event: string, fields?: LogFields): void;
  /** A log that adds fields to every event. */
  extend(fields: LogFields): EventLog;
}

const LEVELS: readonly LogLevel[] = ["error", "warn", "info", "debug"];

/** A log that discards events below a level. */
export function filterEventLog(log: EventLog, level: LogLevel): EventLog {
  const limit = LEVELS.indexOf(level);
  return {
    write(own, event, fields) {
      if (LEVELS.indexOf(own) <= limit) {
        log.write(own, event, fields);
      }
    },
    extend: (fields) => filterEventLog(log.extend(fields), level),
  };
}

/** Keeps events in memory, for tests and for the daemon's own event list. */
export function createEventBuffer(capacity: number, now: () => Milliseconds) {
  const events: LogEvent[] = [];
  function createView(common: LogFields): EventLog {
    return {
      write(level, event, fields = {}) {
        if (events.length === capacity) {
          events.shift();
        }
        events.push({
          at: now(),
          level,
          event,
          fields: { ...common, ...fields },
        });
      },
      extend: (fields) => createView({ ...common, ...fields }),
    };
  }
  return { log: createView({}), events: events as readonly LogEvent[] };
}

/** A log that writes to several logs. */
export function combineEventLogs(logs: readonly EventLog[]): EventLog {
  return {
    write(level, event, fields) {
      for (const log of logs) {
        log.write(level, event, fields);
      }
    },
    extend: (fields) => combineEventLogs(logs.map((log) => log.extend(fields))),
  };
}

/** Discards every event. */
export const SILENT_LOG: EventLog = {
  write() {},
  extend: () => SILENT_LOG,
};
