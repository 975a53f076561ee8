/**
 * What daemons tell each other about themselves and their instances.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type {
  ServiceName,
  ServiceVersion,
} from "../../../world/common/names.ts";
import type { GateLoadReport } from "../../gate/common/gate_call.ts";
import type { DepartedInstance } from "../../gate/common/instance_register.ts";
import type {
  LinkMessage,
  LinkTarget,
} from "../../link/common/peer_network.ts";
import type { RolloutProgress } from "../../rollout/common/rollout_progress.ts";
import type { RouteEvidence } from "../../rollout/common/version_evidence.ts";

export const WELCOME_KIND = "fleet.welcome";
export const STATUS_KIND = "fleet.status";

export interface InstanceSummary {
  readonly identity: string;
  readonly service: ServiceName;
  readonly version: ServiceVersion;
  /** Whether calls may be offered to its gate. */
  readonly isServing: boolean;
  /** How much longer it is slow after its start. */
  readonly coldForMilliseconds: Milliseconds;
}

/** The first message on a link. */
export interface WelcomeMessage extends LinkMessage {
  readonly hosts: readonly LinkTarget[];
  /** What this daemon remembers of instances that left the host of the other daemon. */
  readonly departed: readonly DepartedInstance[];
}

export interface StatusMessage extends LinkMessage {
  readonly instance: InstanceSummary | undefined;
  readonly load: GateLoadReport;
  readonly departed: readonly DepartedInstance[];
  /** The position up to which the operator's records are known. */
  readonly position: number;
  readonly reachesStore: boolean;
  readonly isStopping: boolean;
  readonly rollouts: readonly RolloutProgress[];
  /** Of the own instance, while a rollout of its service runs. */
  readonly evidence: readonly RouteEvidence[];
}
