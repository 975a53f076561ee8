/**
 * Timeline events, which are read from the log lines and event lists of processes.
 *
 * @module
 */

import type { LogEvent } from "../../../base/common/event_log.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";

export interface TimelineEvent {
  readonly at: Milliseconds;
  readonly event: string;
  readonly level: string;
  readonly host: string;
  readonly failureDomain: string;
  /** The process that wrote the event. The events of one source are in order. */
  readonly source: string;
  readonly fields: Readonly<Record<string, string>>;
}

const PAIR_PATTERN = /([A-Za-z][\w.-]*)=("(?:[^"\\]|\\.)*"|\S*)(?: |$)/y;

/** Log collectors may add their own fields in front of a line. */
const LINE_START_PATTERN = /(?:^|\s)time=/;

/** Parses a line of a process log; returns undefined when it is not an event. */
export function parseLogLine(text: string): TimelineEvent | undefined {
  const start = LINE_START_PATTERN.exec(text);
  const line = start === null ? text : text.slice(start.index).trimStart();
  const pairs: Record<string, string> = {};
  PAIR_PATTERN.lastIndex = 0;
  let end = 0;
  for (
    let match = PAIR_PATTERN.exec(line);
    match !== null;
    match = PAIR_PATTERN.exec(line)
  ) {
    pairs[match[1]] = parseValue(match[2]);
    end = PAIR_PATTERN.lastIndex;
  }
  const at = Date.parse(pairs.time ?? "");
  return end < line.length || Number.isNaN(at) || pairs.event === undefined
    ? undefined
    : createTimelineEvent(at, pairs);
}

/** Converts an event from the event list of a daemon. */
export function fromLogEvent(
  { at, level, event, fields }: LogEvent,
  common: Readonly<Record<string, string>>,
): TimelineEvent {
  const pairs: Record<string, string> = { ...common, level, event };
  for (const [key, value] of Object.entries(fields)) {
    pairs[key] = String(value);
  }
  return createTimelineEvent(at, pairs);
}

function createTimelineEvent(
  at: Milliseconds,
  pairs: Record<string, string>,
): TimelineEvent {
  const {
    time: _time,
    level = "info",
    event,
    host = "",
    failureDomain = "",
    process = "",
    ...fields
  } = pairs;
  const source = `${host}@${process}`;
  return { at, event, level, host, failureDomain, source, fields };
}

function parseValue(text: string): string {
  if (!text.startsWith('"')) {
    return text;
  }
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}
