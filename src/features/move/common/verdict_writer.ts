/**
 * The append of verdict records. One member of each failure domain appends, so that a domain that
 * alone reaches the platform can close a move; the fold takes the first record.
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
  RECORD_SCHEMA,
  type VerdictRecord,
} from "../../../world/common/log_record.ts";
import type { ChangeIdentity } from "../../../world/common/names.ts";
import type { LogClient } from "../../log/common/log_client.ts";
import type { Directory } from "../../membership/common/directory.ts";
import type { Verdict } from "./move_state.ts";
import { encodeMessage } from "../../../base/common/message_codec.ts";

/** After an append that worked, the record should be folded everywhere within this time. */
const FOLD_WAIT_MS: Milliseconds = 5_000;
/** The platform may be down for long; each domain then tries at most this rarely. */
const RETRY_BACKOFF = { baseMilliseconds: 500, capMilliseconds: 5_000 };

interface Progress {
  outcome: Verdict["outcome"];
  attempt: number;
  isPending: boolean;
  nextAt: Milliseconds;
}

export interface VerdictWriter {
  /** Appends the verdict of an open move when it is this daemon's turn. */
  write(verdict: Verdict): void;
  /** Ends the tries of moves that are closed. */
  keepOnly(isOpen: (move: ChangeIdentity) => boolean): void;
}

export function createVerdictWriter(options: {
  readonly self: HostIdentity;
  readonly directory: Directory;
  readonly logClient: LogClient;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
}): VerdictWriter {
  const { self, directory, logClient, clock, random, log } = options;
  const progress = new Map<ChangeIdentity, Progress>();

  function isWriter(move: ChangeIdentity): boolean {
    const hosts = directory.localMembers
      .filter(({ state }) => state === "alive")
      .map(({ process }) => process.host);
    const [first] = rankByRendezvous(move, hosts);
    return first === undefined || first === self.process.host;
  }

  async function append(verdict: Verdict, state: Progress): Promise<void> {
    const record: VerdictRecord = {
      schema: RECORD_SCHEMA,
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
      state.nextAt = clock.now() + FOLD_WAIT_MS;
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
      // A good verdict may have been appended in vain before the version was found bad.
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
        isWriter(verdict.move)
      ) {
        state.isPending = true;
        append(verdict, state);
      }
    },
    keepOnly(isOpen) {
      for (const move of progress.keys()) {
        if (!isOpen(move)) {
          progress.delete(move);
        }
      }
    },
  };
}
