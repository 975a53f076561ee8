import type { Milliseconds } from "../../base/common/milliseconds.ts";
import type { ChangeIdentity, ServiceName, ServiceVersion } from "./names.ts";

export type MoveOutcome = "open" | "done" | "taken-back";

/** A shift of the traffic of a service from one version to another, with a deadline. */
export interface Move {
  readonly identity: ChangeIdentity;
  readonly service: ServiceName;
  readonly fromVersion: ServiceVersion;
  readonly toVersion: ServiceVersion;
  readonly startedAt: Milliseconds;
  readonly deadlineAt: Milliseconds;
  readonly outcome: MoveOutcome;
  /** The reason why the move was closed; empty while it is open. */
  readonly reason: string;
}
