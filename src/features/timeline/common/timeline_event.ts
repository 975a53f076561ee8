/**
 * The events of the time line, as the log lines and event lists of processes tell them.
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
  /** The process that wrote the event; its own events are in order. */
  readonly source: string;
  readonly fields: Readonly<Record<string, string>>;
}

const PAIR = /([A-Za-z][\w.-]*)=("(?:[^"\\]|\\.)*"|\S*)(?: |$)/y;

/** Log collectors put fields of their own in front of a line. */
const LINE_START = /(?:^|\s)time=/;

/** Parses a line of a process log; undefined when it is not an event. */
export function parseLogLine(text: string): TimelineEvent | undefined {
  const start = LINE_START.exec(text);
  const line = start === null ? text : text.slice(start.index).trimStart();
  const pairs: Record<string, string> = {};
  PAIR.lastIndex = 0;
  let end = 0;
  for (
    let match = PAIR.exec(line);
    match !== null;
    match = PAIR.exec(line)
  ) {
    pairs[match[1]] = readValue(match[2]);
    end = PAIR.lastIndex;
  }
  const at = Date.parse(pairs.time ?? "");
  return end < line.length || Number.isNaN(at) || pairs.event === undefined
    ? undefined
    : toEvent(at, pairs);
}

/** Makes a time line event of an event in the list of a daemon. */
export function fromLogEvent(
  { at, level, event, fields }: LogEvent,
  common: Readonly<Record<string, string>>,
): TimelineEvent {
  const pairs: Record<string, string> = { ...common, level, event };
  for (const [key, value] of Object.entries(fields)) {
    pairs[key] = String(value);
  }
  return toEvent(at, pairs);
}

function toEvent(
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

function readValue(text: string): string {
  if (!text.startsWith('"')) {
    return text;
  }
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}
