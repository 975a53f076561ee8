/**
 * The event log of a process, written by `winston` as one line of key=value pairs per event.
 *
 * @module
 */

import type { Writable } from "node:stream";
import winston from "winston";
import {
  type EventLog,
  filterEventLog,
  type LogFields,
  type LogLevel,
} from "../common/event_log.ts";

const UNQUOTED_VALUE = /^[\w.:\-/@+]+$/;

export interface ProcessLogOptions {
  readonly level: LogLevel;
  /** Fields that are added to every line: host, failure domain, process. */
  readonly fields: LogFields;
  /** The file to append to. Without a file and a stream, the log goes to standard error. */
  readonly file?: string;
  readonly stream?: Writable;
}

export function createProcessLog(options: ProcessLogOptions): EventLog {
  const logger = winston.createLogger({
    level: options.level,
    format: winston.format.printf(formatLine),
    transports: [createTransport(options)],
  });
  // winston formats an event before it checks its level, so the filter saves the formatting.
  return filterEventLog(createLogView(logger, options.fields), options.level);
}

function createTransport(options: ProcessLogOptions) {
  if (options.stream !== undefined) {
    return new winston.transports.Stream({ stream: options.stream });
  }
  return options.file === undefined
    ? new winston.transports.Console({
      stderrLevels: ["error", "warn", "info", "debug"],
    })
    : new winston.transports.File({ filename: options.file });
}

function createLogView(logger: winston.Logger, common: LogFields): EventLog {
  return {
    write(level, event, fields) {
      logger.log({
        level,
        message: event,
        at: Date.now(),
        fields: { ...common, ...fields },
      });
    },
    extend: (fields) => createLogView(logger, { ...common, ...fields }),
  };
}

function formatLine(entry: winston.Logform.TransformableInfo): string {
  const pairs: LogFields = {
    time: new Date(entry.at as number).toISOString(),
    level: entry.level,
    event: String(entry.message),
    ...entry.fields as LogFields,
  };
  return Object.entries(pairs)
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => `${key}=${formatValue(String(value))}`)
    .join(" ");
}

function formatValue(value: string): string {
  return UNQUOTED_VALUE.test(value) ? value : JSON.stringify(value);
}
