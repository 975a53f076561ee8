import assert from "node:assert/strict";
import { test } from "node:test";
import { compareWithGoldenFile } from "../../../base/node/golden_file.ts";
import { mergeTimeline, type TimelineFilter } from "./merge.ts";
import {
  fromLogEvent,
  parseLogLine,
  type TimelineEvent,
} from "./timeline_event.ts";
import { formatTimelinePage, formatTimelineText } from "./timeline_output.ts";

function event(
  host: string,
  at: number,
  name: string,
  fields: Record<string, string | number> = {},
): TimelineEvent {
  const failureDomain = host.startsWith("t") ? "tacoma" : "salem";
  return fromLogEvent(
    { at, level: "info", event: name, fields },
    { host, failureDomain, process: "1" },
  );
}

/** The clock of t2 is 40 ms ahead, that of s1 40 ms behind. */
const SESSION: readonly TimelineEvent[] = [
  event("t1", 1_000, "change.published", { change: "c1", version: 3 }),
  event("t1", 1_020, "configuration.applied", { version: 3 }),
  event("t1", 1_030, "move.published", { change: "m1", version: 4 }),
  event("t1", 1_045, "configuration.applied", { version: 4 }),
  event("t1", 1_300, "move.step", { move: "m1", share: 0.02 }),
  event("t1", 1_500, "move.step", { move: "m1", share: 0.05 }),
  event("t2", 1_050, "configuration.applied", { version: 3 }),
  event("t2", 1_090, "configuration.applied", { version: 4 }),
  event("t2", 1_560, "call.attempt", { call: "k1", attempt: 1 }),
  event("s1", 1_010, "configuration.applied", { version: 4 }),
  event("s1", 1_465, "move.step", { move: "m1", share: 0.05 }),
  event("s1", 1_530, "call.attempt", { call: "k1", attempt: 2 }),
  event("s1", 1_800, "move.closed", { move: "m1", outcome: "done" }),
];

test("events with a common version, move or call are in causal order despite clock errors", () => {
  const merged = mergeTimeline(SESSION);
  compareWithGoldenFile(
    "src/features/timeline/common/golden/merge.txt",
    formatTimelineText(merged).trimEnd().split("\n"),
  );
  const at = (host: string, name: string) =>
    merged.findIndex((found) => found.host === host && found.event === name);
  assert.ok(at("t2", "call.attempt") < at("s1", "call.attempt"));
  assert.ok(at("t1", "move.published") < at("s1", "move.closed"));
});

test("events further apart than the clock error are ordered by time, also against their versions", () => {
  const late = event("s2", 9_000, "configuration.applied", { version: 1 });
  const merged = mergeTimeline([...SESSION, late]);
  assert.equal(merged.at(-1), late);
});

test("a merge with a cycle of order constraints terminates and keeps every event", () => {
  const events = [
    event("a", 1, "x", { version: 2 }),
    event("a", 2, "x", { version: 1 }),
    event("b", 1, "x", { version: 2 }),
    event("b", 2, "x", { version: 1 }),
  ];
  assert.equal(mergeTimeline(events).length, events.length);
});

test("filters select events by change, move, call, host and failure domain", () => {
  const cases: [TimelineFilter, number][] = [
    [{ change: "c1" }, 3],
    [{ move: "m1" }, 8],
    [{ call: "k1" }, 2],
    [{ host: "t2" }, 3],
    [{ failureDomain: "salem" }, 4],
    [{ failureDomain: "salem", move: "m1" }, 3],
    [{ change: "c2" }, 0],
  ];
  for (const [filter, count] of cases) {
    const merged = mergeTimeline(SESSION, { filter });
    assert.equal(merged.length, count, JSON.stringify(filter));
  }
});

test("log lines are parsed with their quoted values, and other lines are not events", () => {
  const line = "time=1970-01-01T00:00:01.000Z level=warn event=a.b host=t1 " +
    'failureDomain=tacoma process=1 reason="a \\"b\\" = c" empty="" change=c1';
  assert.deepEqual(parseLogLine(line), {
    at: 1_000,
    event: "a.b",
    level: "warn",
    host: "t1",
    failureDomain: "tacoma",
    source: "t1@1",
    fields: { reason: 'a "b" = c', empty: "", change: "c1" },
  });
  for (const other of ["", "Error: x", "time=x event=a", "at f (g.js:1)"]) {
    assert.equal(parseLogLine(other), undefined, other);
  }
});

test("the page loads no external resources and escapes scripts from log fields", () => {
  const hostile = event("t1", 1, "x", { reason: "<script>alert(1)</script>" });
  const page = formatTimelinePage([hostile], 50);
  assert.doesNotMatch(page, /https?:|src="|href=/);
  assert.ok(page.includes("&lt;script&gt;alert(1)&lt;/script&gt;"));
});
