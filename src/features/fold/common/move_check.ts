/**
 * Validates moves and the verdicts that close them, and applies them to the configuration.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { Configuration } from "../../../world/common/configuration.ts";
import type {
  MoveRecord,
  VerdictRecord,
} from "../../../world/common/log_record.ts";
import type { Move } from "../../../world/common/move.ts";
import type {
  ChangeIdentity,
  ConfigurationVersion,
} from "../../../world/common/names.ts";
import { findStaleBase } from "./change_check.ts";

/** Above this number, the oldest closed moves are removed. */
const MAXIMUM_CLOSED_MOVES = 1_000;

export interface RecordMetadata {
  readonly offset: ConfigurationVersion;
  readonly appendedAt: Milliseconds;
}

/** Returns the configuration with the move started, or the field and reason of the refusal. */
export function applyMove(
  configuration: Configuration,
  record: MoveRecord,
  { offset, appendedAt }: RecordMetadata,
): Configuration | string {
  const { identity, service, toVersion, deadlineAt } = record;
  const current = configuration.services.get(service);
  if (current === undefined) {
    return `service: there is no service:${service}`;
  }
  const open = [...configuration.moves.values()].find((move) =>
    move.service === service && move.outcome === "open"
  );
  if (open !== undefined) {
    return `service: the move ${open.identity} of service:${service} is open`;
  }
  if (current.version === toVersion) {
    return `toVersion: ${toVersion} is already the current version`;
  }
  if (deadlineAt <= appendedAt) {
    return `deadlineAt: ${deadlineAt} is not after the append at ${appendedAt}`;
  }
  const stale = findStaleBase(configuration, record.baseVersion, [
    { key: `service:${service}`, fieldPath: "service" },
  ]);
  return stale ?? setMove(configuration, offset, {
    identity,
    service,
    fromVersion: current.version,
    toVersion,
    startedAt: appendedAt,
    deadlineAt,
    outcome: "open",
    reason: "",
  });
}

/** Returns the configuration after the verdict; otherwise `ignored` for a repeated verdict, or `refused`. */
export function applyVerdict(
  configuration: Configuration,
  record: VerdictRecord,
  { offset }: RecordMetadata,
): Configuration | { status: "ignored" | "refused"; reason: string } {
  const move = configuration.moves.get(record.move);
  if (move === undefined) {
    return { status: "refused", reason: `move: there is no ${record.move}` };
  }
  if (move.outcome !== "open") {
    return {
      status: move.outcome === record.outcome ? "ignored" : "refused",
      reason: `move: ${record.move} is already ${move.outcome}`,
    };
  }
  const { outcome, reason } = record;
  const next = setMove(configuration, offset, { ...move, outcome, reason });
  if (outcome === "taken-back") {
    return next;
  }
  const services = new Map(next.services);
  services.set(move.service, { name: move.service, version: move.toVersion });
  return { ...next, services };
}

function setMove(
  configuration: Configuration,
  offset: ConfigurationVersion,
  move: Move,
): Configuration {
  const moves = new Map(configuration.moves);
  moves.delete(move.identity);
  moves.set(move.identity, move);
  removeOldClosedMoves(moves);
  const objectVersions = new Map(configuration.objectVersions);
  objectVersions.set(`service:${move.service}`, offset);
  return { ...configuration, version: offset, moves, objectVersions };
}

function removeOldClosedMoves(moves: Map<ChangeIdentity, Move>): void {
  const closed = [...moves.values()].filter((move) => move.outcome !== "open");
  for (const { identity } of closed.slice(0, -MAXIMUM_CLOSED_MOVES)) {
    moves.delete(identity);
  }
}
