/**
 * Merge order, digest and wire encoding of member records.
 *
 * @module
 */

import type { FailureDomainName } from "../../../world/common/names.ts";
import type {
  UpstreamAnnouncement,
  UpstreamState,
} from "../../../world/common/upstream_instance.ts";
import type { Member, MemberState } from "./directory.ts";
import type { RecordKind } from "./record_store.ts";

const MEMBER_STATES: readonly MemberState[] = [
  "alive",
  "suspect",
  "dead",
  "left",
];
const UPSTREAM_STATES: readonly UpstreamState[] = [
  "starting",
  "ready",
  "draining",
];

/** Whether the member is alive or suspected, not dead or left. */
export function isActiveMember(member: Member): boolean {
  return member.state === "alive" || member.state === "suspect";
}

/**
 * Precedence of member records. A process of a host with a later start replaces an earlier one.
 * Of two records of one process the higher incarnation wins, then the later state in the order of
 * `MEMBER_STATES`. The state `left` is final.
 */
export const MEMBER_RECORD: RecordKind<Member> = {
  keyOf: (member) => member.process.host,
  stampOf: (member) => [
    member.process.startedAt,
    member.state === "left" ? Number.MAX_SAFE_INTEGER : member.incarnation,
    MEMBER_STATES.indexOf(member.state),
  ],
  isInDigest: isActiveMember,
};

/** Encodes a member for the wire, without its failure domain, which is that of the sender. */
export function encodeMember(member: Member): readonly unknown[] {
  const { process, addresses } = member;
  return [
    process.host,
    process.startedAt,
    addresses.address,
    addresses.proxyPort,
    addresses.administrationPort,
    addresses.linkPort,
    member.incarnation,
    MEMBER_STATES.indexOf(member.state),
    member.appliedVersion,
    member.upstreams.map((upstream) =>
      encodeUpstream(upstream, addresses.address)
    ),
  ];
}

/** Decodes a member; undefined when the encoding is not valid. */
export function decodeMember(
  wire: unknown,
  failureDomain: FailureDomainName,
): Member | undefined {
  if (!Array.isArray(wire) || !Array.isArray(wire[9])) {
    return undefined;
  }
  const [host, startedAt, address, proxyPort, administrationPort, linkPort] =
    wire;
  const [incarnation, stateIndex, appliedVersion] = wire.slice(6);
  const state = MEMBER_STATES[stateIndex];
  const upstreams = wire[9].map((upstream) =>
    decodeUpstream(upstream, address)
  );
  if (
    !areStrings(host, address) || state === undefined ||
    !areNumbers(startedAt, proxyPort, administrationPort, linkPort) ||
    !areNumbers(incarnation, appliedVersion) || upstreams.includes(undefined)
  ) {
    return undefined;
  }
  return {
    process: { host, startedAt },
    failureDomain,
    addresses: { address, proxyPort, administrationPort, linkPort },
    incarnation,
    state,
    appliedVersion,
    upstreams: upstreams as UpstreamAnnouncement[],
  };
}

/** Encodes an upstream for the wire; the address is null when it equals that of the host. */
export function encodeUpstream(
  upstream: UpstreamAnnouncement,
  hostAddress: string,
): readonly unknown[] {
  return [
    upstream.service,
    upstream.version,
    upstream.address === hostAddress ? null : upstream.address,
    upstream.port,
    upstream.slots,
    UPSTREAM_STATES.indexOf(upstream.state),
  ];
}

/** Decodes an upstream; undefined when the encoding is not valid. */
export function decodeUpstream(
  wire: unknown,
  hostAddress: string,
): UpstreamAnnouncement | undefined {
  if (!Array.isArray(wire)) {
    return undefined;
  }
  const [service, version, ownAddress, port, slots, stateIndex] = wire;
  const address = ownAddress ?? hostAddress;
  const state = UPSTREAM_STATES[stateIndex];
  return areStrings(service, version, address) && areNumbers(port, slots) &&
      state !== undefined
    ? { service, version, address, port, slots, state }
    : undefined;
}

/** Whether all values are strings. */
export function areStrings(...values: unknown[]): boolean {
  return values.every((value) => typeof value === "string");
}

/** Whether all values are finite numbers. */
export function areNumbers(...values: unknown[]): boolean {
  return values.every((value) => Number.isFinite(value));
}
