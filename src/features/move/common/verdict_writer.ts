/**
 * Appends verdict records to the configuration log. One member of each failure domain appends, so
 * that a move is closed even when only one domain reaches the platform. The first record wins.
 *
 * @module
 */

import { computeBackoff } from "../../../base/common/backoff.ts";
import type { Clock } from "../../../base/common/clock.ts";
import type { EventLog } from "../../../base/common/event_log.ts";
import { rankByRendezvous } from "../../../base/common/hashing.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { RandomSource } from "../../../base/common/random_source.ts";
import {
  formatProcess,
  type HostIdentity,
} from "../../../world/common/host.ts";
import {
  RECORD_SCHEMA_VERSION,
  type VerdictRecord,
} from "../../../world/common/log_record.ts";
import type { ChangeIdentity } from "../../../world/common/names.ts";
import type { LogClient } from "../../log/common/log_client.ts";
import type { Directory } from "../../membership/common/directory.ts";
import type { Verdict } from "./move_state.ts";
import { encodeMessage } from "../../../base/common/message_codec.ts";

/**
 * A record should be applied everywhere within this time after its append. The append is repeated
 * if the move is still open then.
 */
const APPLY_WAIT_MS: Milliseconds = 5_000;
/** The cap is the append interval of each failure domain during a long outage of the platform. */
const RETRY_BACKOFF = { baseMilliseconds: 500, capMilliseconds: 5_000 };

interface AppendProgress {
  outcome: Verdict["outcome"];
  attempt: number;
  isPending: boolean;
  nextAt: Milliseconds;
}

export interface VerdictWriter {
  /** Appends the verdict of an open move if this daemon is the writer of its failure domain. */
  write(verdict: Verdict): void;
  /** Stops appending verdicts of closed moves. */
  cancelClosed(isOpen: (move: ChangeIdentity) => boolean): void;
}

export function createVerdictWriter(options: {
  readonly self: HostIdentity;
  readonly directory: Pick<Directory, "localMembers">;
  readonly logClient: LogClient;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
}): VerdictWriter {
  const { self, directory, logClient, clock, random, log } = options;
  const progress = new Map<ChangeIdentity, AppendProgress>();

  function isElectedWriter(move: ChangeIdentity): boolean {
    const hosts = directory.localMembers
      .filter(({ state }) => state === "alive")
      .map(({ process }) => process.host);
    const [first] = rankByRendezvous(move, hosts);
    return first === undefined || first === self.process.host;
  }

  async function append(
    verdict: Verdict,
    state: AppendProgress,
  ): Promise<void> {
    const record: VerdictRecord = {
      schema: RECORD_SCHEMA_VERSION,
      kind: "verdict",
      move: verdict.move,
      outcome: verdict.outcome === "good" ? "done" : "taken-back",
      reason: verdict.reason,
      author: formatProcess(self.process),
    };
    const fields = { move: verdict.move, outcome: record.outcome };
    const result = await logClient.append(
      "configuration",
      encodeMessage(record),
    );
    state.isPending = false;
    if (result.ok) {
      state.nextAt = clock.now() + APPLY_WAIT_MS;
      log.write("info", "move.verdict-appended", fields);
    } else {
      state.nextAt = clock.now() +
        computeBackoff(state.attempt, random, RETRY_BACKOFF);
      state.attempt += 1;
      log.write("warn", "move.append-failed", {
        ...fields,
        step: result.val.step,
        error: result.val.message,
      });
    }
  }

  return {
    write(verdict) {
      let state = progress.get(verdict.move);
      // A bad verdict replaces a good one whose append failed or has not been applied yet.
      if (state === undefined || state.outcome !== verdict.outcome) {
        state = {
          outcome: verdict.outcome,
          attempt: 0,
          isPending: false,
          nextAt: -Infinity,
        };
        progress.set(verdict.move, state);
      }
      if (
        !state.isPending && clock.now() >= state.nextAt &&
        isElectedWriter(verdict.move)
      ) {
        state.isPending = true;
        append(verdict, state);
      }
    },
    cancelClosed(isOpen) {
      for (const move of progress.keys()) {
        if (!isOpen(move)) {
          progress.delete(move);
        }
      }
    },
  };
}
