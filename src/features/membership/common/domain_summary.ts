/**
 * What the daemons of other failure domains know of a failure domain: a few daemons, and a few
 * endpoints of each service version. The parts are separate records, so that a change of one
 * instance does not send the summary of all services again.
 *
 * @module
 */

import { rankByRendezvous } from "../../../base/common/hashing.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { FailureDomainName } from "../../../world/common/names.ts";
import type { UpstreamInstance } from "../../../world/common/upstream_instance.ts";
import { identifyInstance } from "../../../world/common/upstream_instance.ts";
import type { Member } from "./directory.ts";
import {
  areNumbers,
  decodeMember,
  decodeUpstream,
  encodeMember,
  encodeUpstream,
  isText,
} from "./member_record.ts";
import type { RecordKind } from "./record_store.ts";

export const ENDPOINTS_PER_SERVICE_VERSION = 3;
export const DAEMONS_PER_SUMMARY = 3;

/** The part of a summary that lists daemons; the other parts are named by service version. */
export const DAEMONS_PART = "";

export interface SummaryRecord {
  readonly failureDomain: FailureDomainName;
  readonly part: string;
  /** Grows with every change of the part, whichever daemon writes it. */
  readonly version: number;
  readonly daemons: readonly Member[];
  readonly endpoints: readonly UpstreamInstance[];
}

export const SUMMARY_RECORD: RecordKind<SummaryRecord> = {
  keyOf: ({ failureDomain, part }) => `${failureDomain}|${part}`,
  stampOf: ({ version }) => [version],
  isCounted: (record) => !isEmptySummary(record),
};

export function isEmptySummary(record: SummaryRecord): boolean {
  return record.daemons.length + record.endpoints.length === 0;
}

/** Whether a member writes the summary of its failure domain; one does at a time. */
export function writesSummary(
  self: Member,
  members: readonly Member[],
): boolean {
  const hosts = members.filter(({ state }) => state === "alive")
    .map(({ process }) => process.host);
  return rankByRendezvous(self.failureDomain, hosts)[0] === self.process.host;
}

/** The parts whose contents differ from the present ones, with their next version. */
export function updateSummary(
  failureDomain: FailureDomainName,
  present: ReadonlyMap<string, SummaryRecord>,
  options: {
    readonly members: readonly Member[];
    readonly instances: readonly UpstreamInstance[];
    readonly now: Milliseconds;
  },
): SummaryRecord[] {
  const parts = buildParts(failureDomain, options.members, options.instances);
  for (const part of present.keys()) {
    if (!parts.has(part)) {
      parts.set(part, { daemons: [], endpoints: [] });
    }
  }
  const changed: SummaryRecord[] = [];
  for (const [part, content] of parts) {
    const before = present.get(part);
    if (before === undefined || describe(before) !== describe(content)) {
      // The clock of a new writer may be behind that of the former one.
      const version = Math.max((before?.version ?? 0) + 1, options.now);
      changed.push({ failureDomain, part, version, ...content });
    }
  }
  return changed;
}

type Content = Pick<SummaryRecord, "daemons" | "endpoints">;

function describe({ daemons, endpoints }: Content): string {
  return JSON.stringify([
    daemons.map(({ process, addresses }) => [process, addresses]),
    endpoints,
  ]);
}

function buildParts(
  failureDomain: FailureDomainName,
  members: readonly Member[],
  instances: readonly UpstreamInstance[],
): Map<string, Content> {
  const alive = members.filter(({ state }) => state === "alive");
  const daemons = pickFirst(failureDomain, alive, {
    limit: DAEMONS_PER_SUMMARY,
    nameOf: ({ process }) => process.host,
  }).map((member) => ({ ...member, incarnation: 0, upstreams: [] }));
  const groups = new Map<string, UpstreamInstance[]>();
  for (const instance of instances) {
    const part = `${instance.service}@${instance.version}`;
    groups.set(part, [...groups.get(part) ?? [], instance]);
  }
  const parts = new Map<string, Content>([
    [DAEMONS_PART, { daemons, endpoints: [] }],
  ]);
  for (const [part, group] of groups) {
    const endpoints = pickFirst(`${failureDomain}|${part}`, group, {
      limit: ENDPOINTS_PER_SERVICE_VERSION,
      nameOf: ({ identity }) => identity,
    });
    parts.set(part, { daemons: [], endpoints });
  }
  return parts;
}

/** The first candidates in the rendezvous order of a key. */
export function pickFirst<T>(
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

/** The wire form of a part. */
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

/** Reads the wire form; undefined when it is not valid. */
export function decodeSummary(wire: unknown): SummaryRecord | undefined {
  if (!Array.isArray(wire)) {
    return undefined;
  }
  const [failureDomain, part, version, daemons, endpoints] = wire;
  if (
    !isText(failureDomain, part) || !areNumbers(version) ||
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
      identity: identifyInstance(host, upstream),
      host,
      failureDomain,
    };
}
