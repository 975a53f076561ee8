/**
 * Publishes a record: checks it, appends it to the platform log and waits for the verdict of the fold of this daemon.
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
  EvacuationRecord,
  MoveRecord,
} from "../../../world/common/log_record.ts";
import type { ChangeIdentity } from "../../../world/common/names.ts";
import type { ConfigurationSource } from "../../distribution/common/configuration_source.ts";
import type { RecordVerdict } from "../../fold/common/fold.ts";
import type { LogClient } from "../../log/common/log_client.ts";
import type { PublishResult } from "../common/descriptions.ts";

/** A record that an operator publishes. */
export type PublishedRecord = ChangeRecord | MoveRecord | EvacuationRecord;

/** Returns the reason why the fold would refuse the record now; undefined when it would accept it. */
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
  /** The longest time to wait for the verdict after the append. */
  readonly verdictTimeoutMilliseconds?: Milliseconds;
}

export interface Publisher {
  publish(record: PublishedRecord): Promise<PublishResult>;
}

/** Longer than the target of 5 s for a record to be in force everywhere. */
const VERDICT_TIMEOUT_MS: Milliseconds = 8_000;
const POLL_INTERVAL_MS: Milliseconds = 20;
/** The maximum number of concurrent publications. Further ones are refused and can safely be repeated. */
const MAXIMUM_OPEN_PUBLICATIONS = 64;

export function createPublisher(options: PublisherOptions): Publisher {
  let openPublications = 0;
  return {
    async publish(record) {
      if (openPublications >= MAXIMUM_OPEN_PUBLICATIONS) {
        return createNotRunResult(
          record,
          "this daemon has too many open publications",
        );
      }
      openPublications += 1;
      try {
        const publishResult = await publish(record, options);
        options.log.write("info", `${record.kind}.published`, {
          change: record.identity,
          author: record.author,
          result: publishResult.result,
          version: publishResult.result === "accepted"
            ? publishResult.offset
            : undefined,
          reason: publishResult.reason === ""
            ? undefined
            : publishResult.reason,
        });
        return publishResult;
      } finally {
        openPublications -= 1;
      }
    },
  };
}

async function publish(
  record: PublishedRecord,
  options: PublisherOptions,
): Promise<PublishResult> {
  const { configuration } = options;
  const knownVerdict = configuration.findVerdict(record.identity);
  if (knownVerdict !== undefined) {
    return {
      ...createResultFromVerdict(record.identity, knownVerdict),
      repeated: true,
    };
  }
  if (!configuration.isReady) {
    return createNotRunResult(
      record,
      "this daemon has no current configuration yet",
    );
  }
  const { version } = configuration.current;
  if (record.baseVersion > version) {
    return createNotRunResult(
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
): Promise<PublishResult> {
  const appended = await options.logClient.append(
    "configuration",
    encodeMessage(record),
  );
  if (appended.err && appended.val.outcome === "not-run") {
    return createNotRunResult(
      record,
      `the platform did not append the record: ${appended.val.message}`,
    );
  }
  // An append whose response was lost may have succeeded, so its verdict is awaited as well.
  const verdict = await waitForVerdict(record.identity, options);
  if (verdict !== undefined) {
    return createResultFromVerdict(record.identity, verdict);
  }
  const { identity } = record;
  return appended.err
    ? { identity, result: "unknown", reason: appended.val.message }
    : {
      identity,
      result: "unknown",
      reason:
        `the platform appended the record at offset ${appended.val.offset}, ` +
        "but it has not reached this daemon",
      offset: appended.val.offset,
    };
}

async function waitForVerdict(
  identity: ChangeIdentity,
  { clock, configuration, verdictTimeoutMilliseconds }: PublisherOptions,
): Promise<RecordVerdict | undefined> {
  const deadlineAt = clock.now() +
    (verdictTimeoutMilliseconds ?? VERDICT_TIMEOUT_MS);
  let verdict = configuration.findVerdict(identity);
  while (verdict === undefined && clock.now() < deadlineAt) {
    await clock.sleep(POLL_INTERVAL_MS);
    verdict = configuration.findVerdict(identity);
  }
  return verdict;
}

function createResultFromVerdict(
  identity: ChangeIdentity,
  verdict: RecordVerdict,
): PublishResult {
  const { status, reason, offset } = verdict;
  return status === "accepted"
    ? { identity, result: "accepted", reason: "", offset }
    : { identity, result: "refused", reason, offset };
}

function createNotRunResult(
  record: PublishedRecord,
  reason: string,
): PublishResult {
  return { identity: record.identity, result: "not-run", reason };
}
