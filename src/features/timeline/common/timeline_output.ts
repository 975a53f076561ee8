/**
 * Formats the timeline as text and as an HTML page.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { TimelineEvent } from "./timeline_event.ts";

export function formatTimelineText(events: readonly TimelineEvent[]): string {
  const width = Math.max(0, ...events.map((event) => event.host.length));
  return events.map((event) =>
    [
      new Date(event.at).toISOString(),
      event.host.padEnd(width),
      event.event,
      formatFields(event),
    ].join(" ").trimEnd() + "\n"
  ).join("");
}

const STYLE = `
body { font: 14px/1.4 system-ui, sans-serif; margin: 1.5rem; }
table { border-collapse: collapse; width: 100%; }
th, td { text-align: left; padding: 2px 10px 2px 0; vertical-align: top; }
td.time, td.fields { font-family: ui-monospace, monospace; font-size: 12px; }
tr.warn { background: #fff4d6; } tr.error { background: #ffe0e0; }
input { width: 30rem; max-width: 100%; margin: 0 0 1rem; }
td:first-child { white-space: nowrap; }
`;

/** Hides the rows that do not contain the text of the search field. */
const SCRIPT = `
document.querySelector("input").addEventListener("input", (event) => {
  const wanted = event.target.value.toLowerCase();
  for (const row of document.querySelectorAll("tbody tr")) {
    row.hidden = !row.textContent.toLowerCase().includes(wanted);
  }
});
`;

/** Formats a self-contained HTML page, which loads no external resources. */
export function formatTimelinePage(
  events: readonly TimelineEvent[],
  clockErrorMilliseconds: Milliseconds,
): string {
  const rows = events.map((event) =>
    `<tr class="${escapeHtml(event.level)}"><td class="time">${
      new Date(event.at).toISOString()
    }</td><td>${escapeHtml(event.failureDomain)}</td><td>${
      escapeHtml(event.host)
    }</td><td>${escapeHtml(event.event)}</td><td class="fields">${
      escapeHtml(formatFields(event))
    }</td></tr>`
  );
  return `<!doctype html>
<html lang="en">
<meta charset="utf-8">
<meta http-equiv="content-security-policy" content="default-src 'none'; style-src 'unsafe-inline'; script-src 'unsafe-inline'">
<title>guavarun timeline</title>
<style>${STYLE}</style>
<h1>Timeline</h1>
<p>${events.length} events. Events of different hosts that have no version, move or call in common
are ordered by time, with a clock error of ${clockErrorMilliseconds} ms.</p>
<input type="search" placeholder="Show only rows that contain" aria-label="Show only rows that contain">
<table>
<thead><tr><th>Time</th><th>Failure domain</th><th>Host</th><th>Event</th><th>Fields</th></tr></thead>
<tbody>
${rows.join("\n")}
</tbody>
</table>
<script>${SCRIPT}</script>
</html>
`;
}

function formatFields(event: TimelineEvent): string {
  return Object.entries(event.fields)
    .map(([key, value]) =>
      `${key}=${/^[^\s"=]+$/.test(value) ? value : JSON.stringify(value)}`
    )
    .join(" ");
}

function escapeHtml(text: string): string {
  return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;")
    .replaceAll(">", "&gt;").replaceAll('"', "&quot;");
}
