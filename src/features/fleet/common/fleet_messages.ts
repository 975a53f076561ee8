/**
 * Messages in which daemons send each other their status and that of their instances.
 *
 * @module
 */

import { isAddress, isPort } from "../../../base/common/endpoint.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type {
  ServiceName,
  ServiceVersion,
} from "../../../world/common/names.ts";
import type { GateLoadReport } from "../../gate/common/gate_call.ts";
import { decodeLoad, encodeLoad } from "../../gate/common/gate_messages.ts";
import type { NamedRateLimit } from "../../gate/common/named_rate_limit.ts";
import type { DepartedInstance } from "../../../world/common/mesh_instance.ts";
import type {
  LinkMessage,
  LinkTarget,
} from "../../link/common/peer_network.ts";
import type { RolloutProgress } from "../../rollout/common/rollout_progress.ts";
import type { RouteEvidence } from "../../rollout/common/version_evidence.ts";

export const WELCOME_KIND = "fleet.welcome";
export const STATUS_KIND = "fleet.status";
export const HOSTS_REQUEST_KIND = "fleet.hosts";
export const RATE_LIMIT_KIND = "fleet.rate-limit";

export interface InstanceSummary {
  readonly identity: string;
  readonly service: ServiceName;
  readonly version: ServiceVersion;
  /** Whether calls may be offered to its gate. */
  readonly isServing: boolean;
  /** Remaining time of its cold start. */
  readonly coldForMilliseconds: Milliseconds;
}

/** The first message on a link, and the response to a request for the known hosts. */
export interface WelcomeMessage extends LinkMessage {
  /** The sending daemon; in a response all hosts that it knows. */
  readonly hosts: readonly LinkTarget[];
  /** Instances known to have departed from the host of the receiving daemon. */
  readonly departed: readonly DepartedInstance[];
  /** The last rate limit of the instance on the host of the receiving daemon. */
  readonly rateLimit?: NamedRateLimit;
}

/** Sent to all daemons, which give the limit back to the daemon after it has restarted. */
export interface RateLimitMessage extends LinkMessage {
  readonly rateLimit: NamedRateLimit;
}

/** The status that a daemon broadcasts. */
export interface HostStatus {
  readonly instance: InstanceSummary | undefined;
  readonly load: GateLoadReport;
  readonly departed: readonly DepartedInstance[];
  /** Position up to which the operator's records have been read. */
  readonly position: number;
  /** Whether the daemon reaches the store and keeps up, so that it can do a task for others. */
  readonly isAvailable: boolean;
  readonly isStopping: boolean;
  readonly rollouts: readonly RolloutProgress[];
  /** Evidence of the own instance while a rollout of its service is running. */
  readonly evidence: readonly RouteEvidence[];
}

/**
 * A status as an array without field names, since statuses are constantly sent between failure domains.
 * The lists that are usually empty come last; trailing empty lists are omitted.
 */
export interface StatusMessage extends LinkMessage {
  readonly row: readonly unknown[];
}

const MINIMUM_ROW_LENGTH = 5;
const MAXIMUM_ROW_LENGTH = 8;

export function encodeStatus(status: HostStatus): StatusMessage {
  const { instance, load } = status;
  const row: unknown[] = [
    instance === undefined ? null : [
      instance.identity,
      instance.service,
      instance.version,
      instance.isServing,
      Math.round(instance.coldForMilliseconds),
    ],
    encodeLoad(load),
    status.position,
    status.isAvailable,
    status.isStopping,
    status.departed,
    status.rollouts,
    status.evidence,
  ];
  while (
    row.length > MINIMUM_ROW_LENGTH && (row.at(-1) as unknown[]).length === 0
  ) {
    row.pop();
  }
  return { kind: STATUS_KIND, row };
}

/** Undefined if the message has the format of another release. */
export function decodeStatus(message: LinkMessage): HostStatus | undefined {
  const { row } = message as Partial<StatusMessage>;
  if (
    !Array.isArray(row) || row.length < MINIMUM_ROW_LENGTH ||
    row.length > MAXIMUM_ROW_LENGTH
  ) {
    return undefined;
  }
  const [instance, loadRow, position, isAvailable, isStopping, ...lists] = row;
  const load = decodeLoad(loadRow);
  if (load === undefined) {
    return undefined;
  }
  const [departed = [], rollouts = [], evidence = []] = lists;
  return {
    instance: Array.isArray(instance) ? decodeInstance(instance) : undefined,
    load,
    position,
    isAvailable,
    isStopping,
    departed,
    rollouts,
    evidence,
  };
}

// deno-lint-ignore no-explicit-any
function decodeInstance(row: readonly any[]): InstanceSummary {
  const [identity, service, version, isServing, coldForMilliseconds] = row;
  return { identity, service, version, isServing, coldForMilliseconds };
}

/** Undefined if the value has the format of another release. */
export function decodeRateLimit(value: unknown): NamedRateLimit | undefined {
  const { instance, startedAt, perSecond } = (value ?? {}) as Readonly<
    Record<string, unknown>
  >;
  if (typeof instance !== "string" || typeof startedAt !== "number") {
    return undefined;
  }
  return {
    instance,
    startedAt,
    // The codec turns an absent value into null.
    perSecond: typeof perSecond === "number" ? perSecond : undefined,
  };
}

/** Leaves out hosts without a valid address, which another writer may have put into the store. */
export function decodeTargets(targets: unknown): readonly LinkTarget[] {
  return Array.isArray(targets) ? targets.filter(isTarget) : [];
}

function isTarget(target: Partial<LinkTarget> | null): target is LinkTarget {
  return typeof target?.host === "string" &&
    typeof target.address === "string" && isAddress(target.address) &&
    typeof target.port === "number" && isPort(target.port);
}
