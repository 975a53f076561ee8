/**
 * The event log of a process. Each event is one line of key=value pairs; the timeline is built from the same
 * events.
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
  /** Returns a log that adds the fields to every event. */
  extend(fields: LogFields): EventLog;
}

const LEVELS: readonly LogLevel[] = ["error", "warn", "info", "debug"];

/** Returns a log that discards events less severe than `level`. */
export function filterEventLog(log: EventLog, level: LogLevel): EventLog {
  const limit = LEVELS.indexOf(level);
  return {
    write(eventLevel, event, fields) {
      if (LEVELS.indexOf(eventLevel) <= limit) {
        log.write(eventLevel, event, fields);
      }
    },
    extend: (fields) => filterEventLog(log.extend(fields), level),
  };
}

/** Keeps the newest `capacity` events in memory, for tests and for the daemon's event list. */
export function createEventBuffer(capacity: number, now: () => Milliseconds) {
  const events: LogEvent[] = [];
  function createLogView(common: LogFields): EventLog {
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
      extend: (fields) => createLogView({ ...common, ...fields }),
    };
  }
  return { log: createLogView({}), events: events as readonly LogEvent[] };
}

/** Returns a log that writes every event to all of the given logs. */
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
