/**
 * The summary of a failure domain for the daemons of other failure domains: a few daemons, and a
 * few endpoints of each service version. Its parts are separate records, so that a change of one
 * instance does not resend the summary of all services.
 *
 * @module
 */

import { rankByRendezvous } from "../../../base/common/hashing.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { FailureDomainName } from "../../../world/common/names.ts";
import type { UpstreamInstance } from "../../../world/common/upstream_instance.ts";
import { formatInstanceIdentity } from "../../../world/common/upstream_instance.ts";
import type { Member } from "./directory.ts";
import {
  areNumbers,
  areStrings,
  decodeMember,
  decodeUpstream,
  encodeMember,
  encodeUpstream,
} from "./member_record.ts";
import type { RecordKind } from "./record_store.ts";

export const ENDPOINTS_PER_SERVICE_VERSION = 3;
export const DAEMONS_PER_SUMMARY = 3;

/** Name of the part that lists daemons. The other parts are named after a service version. */
export const DAEMONS_PART = "";

export interface SummaryRecord {
  readonly failureDomain: FailureDomainName;
  readonly part: string;
  /** Increases with every change of the part, also when the writer changes. */
  readonly version: number;
  readonly daemons: readonly Member[];
  readonly endpoints: readonly UpstreamInstance[];
}

export const SUMMARY_RECORD: RecordKind<SummaryRecord> = {
  keyOf: ({ failureDomain, part }) => `${failureDomain}|${part}`,
  stampOf: ({ version }) => [version],
  isInDigest: (record) => !isEmptySummary(record),
};

export function isEmptySummary(record: SummaryRecord): boolean {
  return record.daemons.length + record.endpoints.length === 0;
}

/** Whether a member is the one that writes the summary of its failure domain. */
export function isSummaryWriter(
  self: Member,
  members: readonly Member[],
): boolean {
  const hosts = members.filter(({ state }) => state === "alive")
    .map(({ process }) => process.host);
  return rankByRendezvous(self.failureDomain, hosts)[0] === self.process.host;
}

/** Returns the parts whose contents differ from the stored ones, with their next version. */
export function computeChangedParts(
  failureDomain: FailureDomainName,
  storedParts: ReadonlyMap<string, SummaryRecord>,
  options: {
    readonly members: readonly Member[];
    readonly instances: readonly UpstreamInstance[];
    readonly now: Milliseconds;
  },
): SummaryRecord[] {
  const parts = buildParts(failureDomain, options.members, options.instances);
  for (const part of storedParts.keys()) {
    if (!parts.has(part)) {
      parts.set(part, { daemons: [], endpoints: [] });
    }
  }
  const changed: SummaryRecord[] = [];
  for (const [part, content] of parts) {
    const before = storedParts.get(part);
    if (
      before === undefined ||
      serializeContent(before) !== serializeContent(content)
    ) {
      // The clock of this writer may be behind that of the previous one.
      const version = Math.max((before?.version ?? 0) + 1, options.now);
      changed.push({ failureDomain, part, version, ...content });
    }
  }
  return changed;
}

type PartContent = Pick<SummaryRecord, "daemons" | "endpoints">;

function serializeContent({ daemons, endpoints }: PartContent): string {
  return JSON.stringify([
    daemons.map(({ process, addresses }) => [process, addresses]),
    endpoints,
  ]);
}

function buildParts(
  failureDomain: FailureDomainName,
  members: readonly Member[],
  instances: readonly UpstreamInstance[],
): Map<string, PartContent> {
  const alive = members.filter(({ state }) => state === "alive");
  const daemons = pickByRendezvous(failureDomain, alive, {
    limit: DAEMONS_PER_SUMMARY,
    nameOf: ({ process }) => process.host,
  }).map((member) => ({ ...member, incarnation: 0, upstreams: [] }));
  const groups = new Map<string, UpstreamInstance[]>();
  for (const instance of instances) {
    const part = `${instance.service}@${instance.version}`;
    groups.set(part, [...groups.get(part) ?? [], instance]);
  }
  const parts = new Map<string, PartContent>([
    [DAEMONS_PART, { daemons, endpoints: [] }],
  ]);
  for (const [part, group] of groups) {
    const endpoints = pickByRendezvous(`${failureDomain}|${part}`, group, {
      limit: ENDPOINTS_PER_SERVICE_VERSION,
      nameOf: ({ identity }) => identity,
    });
    parts.set(part, { daemons: [], endpoints });
  }
  return parts;
}

/** Returns the candidates that rank first for a key in rendezvous hashing. */
export function pickByRendezvous<T>(
  key: string,
  candidates: readonly T[],
  options: {
    readonly limit: number;
    readonly nameOf: (candidate: T) => string;
  },
): T[] {
  const byName = new Map(
    candidates.map((candidate) => [options.nameOf(candidate), candidate]),
  );
  return rankByRendezvous(key, byName.keys()).slice(0, options.limit)
    .map((name) => byName.get(name)!);
}

/** Encodes a part for the wire. */
export function encodeSummary(record: SummaryRecord): readonly unknown[] {
  return [
    record.failureDomain,
    record.part,
    record.version,
    record.daemons.map(encodeMember),
    record.endpoints.map((instance) => [
      instance.host,
      ...encodeUpstream(instance, ""),
    ]),
  ];
}

/** Decodes a part; undefined when the encoding is not valid. */
export function decodeSummary(wire: unknown): SummaryRecord | undefined {
  if (!Array.isArray(wire)) {
    return undefined;
  }
  const [failureDomain, part, version, daemons, endpoints] = wire;
  if (
    !areStrings(failureDomain, part) || !areNumbers(version) ||
    !Array.isArray(daemons) || !Array.isArray(endpoints)
  ) {
    return undefined;
  }
  const members = daemons.map((daemon) => decodeMember(daemon, failureDomain));
  const instances = endpoints.map((endpoint) =>
    decodeEndpoint(endpoint, failureDomain)
  );
  if (members.includes(undefined) || instances.includes(undefined)) {
    return undefined;
  }
  return {
    failureDomain,
    part,
    version,
    daemons: members as Member[],
    endpoints: instances as UpstreamInstance[],
  };
}

function decodeEndpoint(
  wire: unknown,
  failureDomain: FailureDomainName,
): UpstreamInstance | undefined {
  if (!Array.isArray(wire) || typeof wire[0] !== "string") {
    return undefined;
  }
  const host: string = wire[0];
  const upstream = decodeUpstream(wire.slice(1), "");
  return upstream &&
    {
      ...upstream,
      identity: formatInstanceIdentity(host, upstream),
      host,
      failureDomain,
    };
}
