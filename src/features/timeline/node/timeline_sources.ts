/**
 * Reads events from log files and from running daemons.
 *
 * @module
 */

import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";
import type { LogEvent } from "../../../base/common/event_log.ts";
import { Err, Ok, type Result } from "../../../base/common/result.ts";
import { describeError, StepError } from "../../../base/common/step_error.ts";
import { createHttpClient } from "../../../base/node/http_client.ts";
import {
  fromLogEvent,
  parseLogLine,
  type TimelineEvent,
} from "../common/timeline_event.ts";

export interface FileEvents {
  readonly events: readonly TimelineEvent[];
  /** The number of lines that are not events. */
  readonly skippedLines: number;
}

export async function readLogFile(
  file: string,
): Promise<Result<FileEvents, StepError>> {
  const events: TimelineEvent[] = [];
  let skippedLines = 0;
  try {
    const lines = createInterface({ input: createReadStream(file, "utf8") });
    for await (const line of lines) {
      const event = parseLogLine(line);
      if (event !== undefined) {
        events.push(event);
      } else if (line !== "") {
        skippedLines += 1;
      }
    }
    return Ok({ events, skippedLines });
  } catch (error) {
    return Err(
      new StepError(
        "timeline.read",
        `Cannot read ${file}: ${describeError(error)}`,
      ),
    );
  }
}

/** Reads several log files. `failures` has an error for each file that cannot be read. */
export async function readLogFiles(
  files: readonly string[],
): Promise<{
  readonly events: readonly TimelineEvent[];
  readonly failures: readonly StepError[];
}> {
  const reads = await Promise.all(files.map(readLogFile));
  return {
    events: reads.flatMap((read) => read.ok ? read.val.events : []),
    failures: reads.flatMap((read) => read.err ? [read.val] : []),
  };
}

/** The response body of `GET /events`. */
interface EventsResponse {
  readonly host: string;
  readonly failureDomain: string;
  readonly process: { readonly startedAt: number };
  readonly events: readonly LogEvent[];
}

/** Requests the stored events of a daemon. Fails when the daemon cannot be reached or the status is not 200. */
export async function requestEvents(
  address: string,
  token: string,
): Promise<Result<TimelineEvent[], StepError>> {
  const client = createHttpClient();
  const response = await client.send({
    step: "timeline.request",
    url: `http://${address}/events`,
    headers: { authorization: `Bearer ${token}` },
  });
  client.dispose();
  if (response.err) {
    return response;
  }
  if (response.val.status !== 200) {
    return Err(
      new StepError(
        "timeline.request",
        `${address} answered with status ${response.val.status}`,
        { peer: address },
      ),
    );
  }
  const body = JSON.parse(response.val.body.toString("utf8")) as EventsResponse;
  const common = {
    host: body.host,
    failureDomain: body.failureDomain,
    process: String(body.process.startedAt),
  };
  return Ok(body.events.map((event) => fromLogEvent(event, common)));
}
