/**
 * Descriptions of the state of changes and moves for operators.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { Move } from "../../../world/common/move.ts";
import type { ChangeIdentity } from "../../../world/common/names.ts";
import type { RecordVerdict } from "../../fold/common/fold.ts";
import type { VersionSplit } from "../../move/common/traffic_shift.ts";

/** The outcome of a publication. */
export type PublishStatus = "accepted" | "refused" | "unknown" | "not-run";

export interface PublishResult {
  readonly identity: ChangeIdentity;
  readonly result: PublishStatus;
  /** The reason why the record was not accepted or its outcome is unknown; empty when accepted. */
  readonly reason: string;
  /** The log offset of the record, if the platform returned one. */
  readonly offset?: number;
  /** True when the verdict on this identity was already known before the request. */
  readonly repeated?: true;
}

export function describePublication(result: PublishResult): string {
  const subject = `Change ${result.identity}`;
  switch (result.result) {
    case "accepted":
      return result.repeated
        ? `${subject} was accepted before as version ${result.offset}; nothing was published again.`
        : `${subject} is accepted as version ${result.offset}.`;
    case "refused":
      return `${subject} is refused: ${result.reason}.`;
    case "unknown":
      return `The outcome of ${result.identity} is unknown: ${result.reason}. ` +
        "Ask for its status, or repeat it with the same identity.";
    case "not-run":
      return `${subject} was not published: ${result.reason}. It is safe to repeat it.`;
  }
}

/** Describes the verdict that this daemon stores for an identity, or that it has none. */
export function describeVerdict(
  identity: ChangeIdentity,
  verdict: RecordVerdict | undefined,
): string {
  if (verdict === undefined) {
    return `This daemon knows no change ${identity}. It has not arrived, was never published, ` +
      "or is older than the last 10,000 records.";
  }
  switch (verdict.status) {
    case "accepted":
      return `Change ${identity} is accepted as version ${verdict.offset}.`;
    case "refused":
      return `Change ${identity} is refused: ${verdict.reason}.`;
    case "ignored":
      return `The record of ${identity} was ignored: ${verdict.reason}.`;
  }
}

export function describeMove(
  move: Move,
  split: VersionSplit | undefined,
  now: Milliseconds,
): string {
  const subject =
    `The move of ${move.service} from ${move.fromVersion} to ${move.toVersion}`;
  if (move.outcome === "done") {
    return `${subject} is done: ${move.reason}.`;
  }
  if (move.outcome === "taken-back") {
    return `${subject} is taken back: ${move.reason}.`;
  }
  if (split !== undefined && split.candidateVersion !== move.toVersion) {
    return `${subject} is being taken back; the record of it is not accepted yet.`;
  }
  const share = split === undefined
    ? "an unknown share"
    : `${formatPercent(split.candidateShare)}`;
  const left = move.deadlineAt - now;
  const time = left >= 0
    ? `${formatDuration(left)} before its deadline`
    : `${formatDuration(-left)} after its deadline`;
  return `${subject} is open, with ${share} of the calls on ${move.toVersion}, ${time}.`;
}

export function formatPercent(share: number): string {
  return `${Math.round(share * 1_000) / 10} %`;
}

/** Formats a duration rounded to seconds, such as `2 min 5 s`; from one hour on, without seconds. */
export function formatDuration(duration: Milliseconds): string {
  const seconds = Math.round(duration / 1_000);
  if (seconds < 60) {
    return `${seconds} s`;
  }
  const minutes = Math.floor(seconds / 60);
  return minutes < 60
    ? `${minutes} min ${seconds % 60} s`
    : `${Math.floor(minutes / 60)} h ${minutes % 60} min`;
}
