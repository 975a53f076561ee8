/**
 * Merges the events of many processes into one order.
 *
 * The events of one process keep their order. Events of different processes whose times differ
 * by at most the clock error are ordered by the configuration version, by the progress of a
 * move or by the attempt of a call, where they have one in common. All others are ordered by
 * time.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { TimelineEvent } from "./timeline_event.ts";

/** Hosts are expected to keep their clocks within this of each other. */
export const DEFAULT_CLOCK_ERROR_MS: Milliseconds = 50;

export interface TimelineFilter {
  readonly change?: string;
  readonly move?: string;
  readonly call?: string;
  readonly host?: string;
  readonly failureDomain?: string;
}

export interface MergeOptions {
  readonly clockErrorMilliseconds?: Milliseconds;
  readonly filter?: TimelineFilter;
}

/** Merges and filters. The events of each source must be in the order in which it wrote them. */
export function mergeTimeline(
  events: readonly TimelineEvent[],
  options: MergeOptions = {},
): TimelineEvent[] {
  const clockError = options.clockErrorMilliseconds ?? DEFAULT_CLOCK_ERROR_MS;
  const nodes = events.map((event) => ({ event, before: [], done: false }));
  for (const rank of RANKS) {
    addOrder(nodes, { rank, clockError });
  }
  const filter = options.filter ?? {};
  const versions = findVersions(events, filter);
  return takeInOrder(splitBySource(nodes)).filter((event) =>
    fits(event, filter, versions)
  );
}

interface EventNode {
  readonly event: TimelineEvent;
  /** Events of other sources that come first. */
  readonly before: EventNode[];
  done: boolean;
}

interface Rank {
  readonly group: string;
  readonly value: number;
}

/** The place of an event among those that share a version, a move or a call. */
type RankOf = (event: TimelineEvent) => Rank | undefined;

const RANKS: readonly RankOf[] = [rankByVersion, rankByMove, rankByCall];

function rankByVersion({ fields }: TimelineEvent): Rank | undefined {
  return isNumber(fields.version)
    ? { group: "version", value: Number(fields.version) }
    : undefined;
}

/** A move is published, then goes through its shares, then is closed. */
function rankByMove({ event, fields }: TimelineEvent): Rank | undefined {
  const move = fields.move ??
    (event === "move.published" ? fields.change : undefined);
  if (move === undefined) {
    return undefined;
  }
  if (event === "move.published") {
    return { group: `move ${move}`, value: -1 };
  }
  if (fields.outcome !== undefined && fields.outcome !== "open") {
    return { group: `move ${move}`, value: 2 };
  }
  return isNumber(fields.share)
    ? { group: `move ${move}`, value: Number(fields.share) }
    : undefined;
}

function rankByCall({ fields }: TimelineEvent): Rank | undefined {
  return fields.call !== undefined && isNumber(fields.attempt)
    ? { group: `call ${fields.call}`, value: Number(fields.attempt) }
    : undefined;
}

function isNumber(text: string | undefined): boolean {
  return text !== undefined && text !== "" && Number.isFinite(Number(text));
}

interface OrderOptions {
  readonly rank: RankOf;
  readonly clockError: Milliseconds;
}

function addOrder(
  nodes: readonly EventNode[],
  { rank, clockError }: OrderOptions,
): void {
  const groups = new Map<string, { node: EventNode; value: number }[]>();
  for (const node of nodes) {
    const place = rank(node.event);
    if (place !== undefined) {
      const group = groups.get(place.group) ?? [];
      groups.set(place.group, group);
      group.push({ node, value: place.value });
    }
  }
  for (const group of groups.values()) {
    group.sort((left, right) => left.node.event.at - right.node.event.at);
    group.forEach((first, index) => {
      for (
        let next = index + 1;
        next < group.length &&
        group[next].node.event.at - first.node.event.at <= clockError;
        next += 1
      ) {
        const second = group[next];
        if (first.node.event.source === second.node.event.source) {
          continue;
        }
        if (first.value > second.value) {
          first.node.before.push(second.node);
        } else if (first.value < second.value) {
          second.node.before.push(first.node);
        }
      }
    });
  }
}

function splitBySource(nodes: readonly EventNode[]): EventNode[][] {
  const sources = new Map<string, EventNode[]>();
  for (const node of nodes) {
    const own = sources.get(node.event.source) ?? [];
    sources.set(node.event.source, own);
    own.push(node);
  }
  return [...sources.values()];
}

/**
 * Takes the earliest event whose predecessors are taken. When clocks contradict the identities
 * in a circle, the earliest event of all is taken, so that the merge always ends.
 */
function takeInOrder(sources: readonly EventNode[][]): TimelineEvent[] {
  const positions = sources.map(() => 0);
  const taken: TimelineEvent[] = [];
  for (;;) {
    const heads = sources.flatMap((source, index) =>
      positions[index] < source.length
        ? [{ index, node: source[positions[index]] }]
        : []
    );
    if (heads.length === 0) {
      return taken;
    }
    const free = heads.filter(({ node }) =>
      node.before.every((other) => other.done)
    );
    const { index, node } = earliest(free.length > 0 ? free : heads);
    node.done = true;
    positions[index] += 1;
    taken.push(node.event);
  }
}

function earliest<T extends { readonly node: EventNode }>(
  heads: readonly T[],
): T {
  return heads.reduce((best, head) =>
    head.node.event.at < best.node.event.at ? head : best
  );
}

/** The versions that the wanted change or move produced; its effects name only these. */
function findVersions(
  events: readonly TimelineEvent[],
  { change, move }: TimelineFilter,
): Set<string> {
  const found = new Set<string>();
  for (const { event, fields } of events) {
    const isWanted = event.endsWith(".published") &&
      fields.change !== undefined &&
      (fields.change === change || fields.change === move);
    if (isWanted && fields.version !== undefined) {
      found.add(fields.version);
    }
  }
  return found;
}

function fits(
  { host, failureDomain, fields }: TimelineEvent,
  filter: TimelineFilter,
  versions: ReadonlySet<string>,
): boolean {
  const is = (wanted: string | undefined, ...found: (string | undefined)[]) =>
    wanted === undefined || found.includes(wanted);
  const hasVersion = fields.version !== undefined &&
    versions.has(fields.version);
  return is(filter.host, host) &&
    is(filter.failureDomain, failureDomain) &&
    is(filter.call, fields.call) &&
    (hasVersion ||
      is(filter.change, fields.change) &&
        is(filter.move, fields.move, fields.change));
}
