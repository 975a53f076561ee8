/**
 * The records in the `configuration` stream of the platform log.
 *
 * @module
 */

import type { Milliseconds } from "../../base/common/milliseconds.ts";
import type { Contract } from "./contract.ts";
import type { EvacuationAction } from "./evacuation.ts";
import type {
  ChangeIdentity,
  ConfigurationVersion,
  CustomerName,
  FailureDomainName,
  RouteName,
  ServiceName,
  ServiceVersion,
} from "./names.ts";
import type { Route } from "./route.ts";
import type { Service } from "./service.ts";

/** The schema version of the records that this release writes and reads. */
export const RECORD_SCHEMA_VERSION = 1;

/** Objects to add, or to replace as a whole. */
export interface ConfigurationObjects {
  readonly failureDomains?: readonly FailureDomainName[];
  readonly services?: readonly Service[];
  readonly routes?: readonly Route[];
  readonly contracts?: readonly Contract[];
}

/** Names of objects to remove. */
export interface ObjectNames {
  readonly failureDomains?: readonly FailureDomainName[];
  readonly services?: readonly ServiceName[];
  readonly routes?: readonly RouteName[];
  readonly contracts?: readonly CustomerName[];
}

export interface ChangeRecord {
  readonly schema: typeof RECORD_SCHEMA_VERSION;
  readonly kind: "change";
  readonly identity: ChangeIdentity;
  /** The configuration version on which the author based the change. */
  readonly baseVersion: ConfigurationVersion;
  readonly author: string;
  readonly upsert: ConfigurationObjects;
  readonly remove: ObjectNames;
}

export interface MoveRecord {
  readonly schema: typeof RECORD_SCHEMA_VERSION;
  readonly kind: "move";
  readonly identity: ChangeIdentity;
  readonly baseVersion: ConfigurationVersion;
  readonly author: string;
  readonly service: ServiceName;
  readonly toVersion: ServiceVersion;
  readonly deadlineAt: Milliseconds;
}

export interface VerdictRecord {
  readonly schema: typeof RECORD_SCHEMA_VERSION;
  readonly kind: "verdict";
  /** The identity of the move that the verdict closes. */
  readonly move: ChangeIdentity;
  readonly outcome: "done" | "taken-back";
  readonly reason: string;
  readonly author: string;
}

/** Orders that a failure domain is evacuated, or taken back. */
export interface EvacuationRecord {
  readonly schema: typeof RECORD_SCHEMA_VERSION;
  readonly kind: "evacuation";
  readonly identity: ChangeIdentity;
  readonly baseVersion: ConfigurationVersion;
  readonly author: string;
  readonly failureDomain: FailureDomainName;
  readonly action: EvacuationAction;
}

export type LogRecord =
  | ChangeRecord
  | MoveRecord
  | VerdictRecord
  | EvacuationRecord;

/** A record as the platform stores it. The bytes are msgpack and have not been validated. */
export interface LogEntry {
  readonly offset: number;
  /** When the platform appended the record, by its own clock. */
  readonly appendedAt: Milliseconds;
  readonly record: Uint8Array;
}
