/**
 * Merges the events of many processes into one ordered timeline.
 *
 * The events of one process keep their order. Events of different processes whose times differ by at most the clock
 * error are ordered by configuration version if both have one, by the progress of the same move, or by the attempts
 * of the same call. All other events are ordered by time.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { TimelineEvent } from "./timeline_event.ts";

/** The expected maximum difference between the clocks of two hosts. */
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

/** Merges and filters events. The events of each source must be in the order in which the source wrote them. */
export function mergeTimeline(
  events: readonly TimelineEvent[],
  options: MergeOptions = {},
): TimelineEvent[] {
  const clockError = options.clockErrorMilliseconds ?? DEFAULT_CLOCK_ERROR_MS;
  const nodes = events.map((event) => ({
    event,
    predecessors: [],
    isMerged: false,
  }));
  for (const getOrderKey of ORDER_KEY_FUNCTIONS) {
    addOrderConstraints(nodes, { getOrderKey, clockError });
  }
  const filter = options.filter ?? {};
  const versions = findVersions(events, filter);
  return mergeSources(groupBySource(nodes)).filter((event) =>
    matchesFilter(event, filter, versions)
  );
}

interface EventNode {
  readonly event: TimelineEvent;
  /** Events of other sources that must be merged before this one. */
  readonly predecessors: EventNode[];
  isMerged: boolean;
}

interface OrderKey {
  readonly group: string;
  readonly value: number;
}

/** Returns the group of an event (all versions, one move or one call) and its position in that group. */
type OrderKeyFunction = (event: TimelineEvent) => OrderKey | undefined;

const ORDER_KEY_FUNCTIONS: readonly OrderKeyFunction[] = [
  getVersionOrder,
  getMoveOrder,
  getCallOrder,
];

function getVersionOrder({ fields }: TimelineEvent): OrderKey | undefined {
  return isNumber(fields.version)
    ? { group: "version", value: Number(fields.version) }
    : undefined;
}

/** Orders the events of a move: it is published, then steps through increasing shares, then is closed. */
function getMoveOrder({ event, fields }: TimelineEvent): OrderKey | undefined {
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

function getCallOrder({ fields }: TimelineEvent): OrderKey | undefined {
  return fields.call !== undefined && isNumber(fields.attempt)
    ? { group: `call ${fields.call}`, value: Number(fields.attempt) }
    : undefined;
}

function isNumber(text: string | undefined): boolean {
  return text !== undefined && text !== "" && Number.isFinite(Number(text));
}

interface OrderOptions {
  readonly getOrderKey: OrderKeyFunction;
  readonly clockError: Milliseconds;
}

function addOrderConstraints(
  nodes: readonly EventNode[],
  { getOrderKey, clockError }: OrderOptions,
): void {
  const groups = new Map<string, { node: EventNode; value: number }[]>();
  for (const node of nodes) {
    const orderKey = getOrderKey(node.event);
    if (orderKey !== undefined) {
      const group = groups.get(orderKey.group) ?? [];
      groups.set(orderKey.group, group);
      group.push({ node, value: orderKey.value });
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
          first.node.predecessors.push(second.node);
        } else if (first.value < second.value) {
          second.node.predecessors.push(first.node);
        }
      }
    });
  }
}

function groupBySource(nodes: readonly EventNode[]): EventNode[][] {
  const sources = new Map<string, EventNode[]>();
  for (const node of nodes) {
    const sourceNodes = sources.get(node.event.source) ?? [];
    sources.set(node.event.source, sourceNodes);
    sourceNodes.push(node);
  }
  return [...sources.values()];
}

/**
 * Repeatedly takes the earliest event whose predecessors are merged. When the order of the sources and the order
 * constraints form a cycle, the earliest of the next events is taken, so that the merge always terminates.
 */
function mergeSources(sources: readonly EventNode[][]): TimelineEvent[] {
  const positions = sources.map(() => 0);
  const merged: TimelineEvent[] = [];
  for (;;) {
    const heads = sources.flatMap((source, index) =>
      positions[index] < source.length
        ? [{ index, node: source[positions[index]] }]
        : []
    );
    if (heads.length === 0) {
      return merged;
    }
    const ready = heads.filter(({ node }) =>
      node.predecessors.every((other) => other.isMerged)
    );
    const { index, node } = findEarliest(ready.length > 0 ? ready : heads);
    node.isMerged = true;
    positions[index] += 1;
    merged.push(node.event);
  }
}

function findEarliest<T extends { readonly node: EventNode }>(
  heads: readonly T[],
): T {
  return heads.reduce((best, head) =>
    head.node.event.at < best.node.event.at ? head : best
  );
}

/** Finds the versions that the filtered change or move produced. Its later events contain only these versions. */
function findVersions(
  events: readonly TimelineEvent[],
  { change, move }: TimelineFilter,
): Set<string> {
  const found = new Set<string>();
  for (const { event, fields } of events) {
    const isPublication = event.endsWith(".published") &&
      fields.change !== undefined &&
      (fields.change === change || fields.change === move);
    if (isPublication && fields.version !== undefined) {
      found.add(fields.version);
    }
  }
  return found;
}

function matchesFilter(
  { host, failureDomain, fields }: TimelineEvent,
  filter: TimelineFilter,
  versions: ReadonlySet<string>,
): boolean {
  const matches = (
    wanted: string | undefined,
    ...found: (string | undefined)[]
  ) => wanted === undefined || found.includes(wanted);
  const hasVersion = fields.version !== undefined &&
    versions.has(fields.version);
  return matches(filter.host, host) &&
    matches(filter.failureDomain, failureDomain) &&
    matches(filter.call, fields.call) &&
    (hasVersion ||
      matches(filter.change, fields.change) &&
        matches(filter.move, fields.move, fields.change));
}
