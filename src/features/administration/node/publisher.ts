/**
 * Publishes a record: checks it, appends it to the platform log and waits for the verdict of
 * this daemon's own fold.
 *
 * @module
 */

import type { Clock } from "../../../base/common/clock.ts";
import type { EventLog } from "../../../base/common/event_log.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import { encodeMessage } from "../../../base/common/message_codec.ts";
import type { Configuration } from "../../../world/common/configuration.ts";
import type {
  ChangeRecord,
  MoveRecord,
} from "../../../world/common/log_record.ts";
import type { ChangeIdentity } from "../../../world/common/names.ts";
import type { ConfigurationSource } from "../../distribution/common/configuration_source.ts";
import type { RecordVerdict } from "../../fold/common/fold.ts";
import type { LogClient } from "../../log/common/log_client.ts";
import type { PublishAnswer } from "../common/descriptions.ts";

/** A record that an operator publishes. */
export type PublishedRecord = ChangeRecord | MoveRecord;

/** Says why the fold would refuse the record now; undefined when it would accept it. */
export type CheckRecord = (
  configuration: Configuration,
  record: PublishedRecord,
  now: Milliseconds,
) => string | undefined;

export interface PublisherOptions {
  readonly configuration: ConfigurationSource;
  readonly logClient: LogClient;
  readonly checkRecord: CheckRecord;
  readonly clock: Clock;
  readonly log: EventLog;
  /** How long an answer may wait for the verdict after the append. */
  readonly verdictTimeoutMilliseconds?: Milliseconds;
}

export interface Publisher {
  publish(record: PublishedRecord): Promise<PublishAnswer>;
}

/** Above the target of 5 s for a record to be in force everywhere. */
const VERDICT_TIMEOUT_MS: Milliseconds = 8_000;
const POLL_MS: Milliseconds = 20;
/** Requests that wait for the platform at one time; more are refused, which is safe to repeat. */
const MAXIMUM_OPEN_PUBLICATIONS = 64;

export function createPublisher(options: PublisherOptions): Publisher {
  let open = 0;
  return {
    async publish(record) {
      if (open >= MAXIMUM_OPEN_PUBLICATIONS) {
        return notRun(record, "this daemon has too many open publications");
      }
      open += 1;
      try {
        const answer = await publish(record, options);
        options.log.write("info", `${record.kind}.published`, {
          change: record.identity,
          author: record.author,
          result: answer.result,
          version: answer.result === "accepted" ? answer.offset : undefined,
          reason: answer.reason === "" ? undefined : answer.reason,
        });
        return answer;
      } finally {
        open -= 1;
      }
    },
  };
}

async function publish(
  record: PublishedRecord,
  options: PublisherOptions,
): Promise<PublishAnswer> {
  const { configuration } = options;
  const known = configuration.findVerdict(record.identity);
  if (known !== undefined) {
    return { ...fromVerdict(record.identity, known), repeated: true };
  }
  if (!configuration.isReady) {
    return notRun(record, "this daemon has no current configuration yet");
  }
  const { version } = configuration.current;
  if (record.baseVersion > version) {
    return notRun(
      record,
      `this daemon is at version ${version}, before the base version ${record.baseVersion}`,
    );
  }
  const refusal = options.checkRecord(
    configuration.current,
    record,
    options.clock.now(),
  );
  if (refusal !== undefined) {
    return { identity: record.identity, result: "refused", reason: refusal };
  }
  return await append(record, options);
}

async function append(
  record: PublishedRecord,
  options: PublisherOptions,
): Promise<PublishAnswer> {
  const appended = await options.logClient.append(
    "configuration",
    encodeMessage(record),
  );
  if (appended.err && appended.val.outcome === "not-run") {
    return notRun(
      record,
      `the platform took no record: ${appended.val.message}`,
    );
  }
  // An append whose answer was lost may have taken effect, so its verdict is awaited as well.
  const verdict = await waitForVerdict(record.identity, options);
  if (verdict !== undefined) {
    return fromVerdict(record.identity, verdict);
  }
  const { identity } = record;
  return appended.err
    ? { identity, result: "unknown", reason: appended.val.message }
    : {
      identity,
      result: "unknown",
      reason:
        `the platform took the record at offset ${appended.val.offset}, ` +
        "but it has not reached this daemon",
      offset: appended.val.offset,
    };
}

async function waitForVerdict(
  identity: ChangeIdentity,
  { clock, configuration, verdictTimeoutMilliseconds }: PublisherOptions,
): Promise<RecordVerdict | undefined> {
  const endAt = clock.now() +
    (verdictTimeoutMilliseconds ?? VERDICT_TIMEOUT_MS);
  let verdict = configuration.findVerdict(identity);
  while (verdict === undefined && clock.now() < endAt) {
    await clock.sleep(POLL_MS);
    verdict = configuration.findVerdict(identity);
  }
  return verdict;
}

function fromVerdict(
  identity: ChangeIdentity,
  verdict: RecordVerdict,
): PublishAnswer {
  const { status, reason, offset } = verdict;
  return status === "accepted"
    ? { identity, result: "accepted", reason: "", offset }
    : { identity, result: "refused", reason, offset };
}

function notRun(record: PublishedRecord, reason: string): PublishAnswer {
  return { identity: record.identity, result: "not-run", reason };
}
