/**
 * The log replica of a daemon: its folded state and the entries that it retains for peers.
 *
 * @module
 */

import type { LogEntry } from "../../../world/common/log_record.ts";
import {
  foldEntries,
  type FoldState,
  INITIAL_FOLD_STATE,
} from "../../fold/common/fold.ts";

/** Entries that a daemon retains for peers. A peer that is further behind gets the whole state. */
export const MAXIMUM_RETAINED_ENTRIES = 1_000;

export interface Replica {
  readonly fold: FoldState;
  /** The newest folded entries, contiguous up to the position. */
  readonly retained: readonly LogEntry[];
  /** Entries beyond the position by offset, held until the gap before them is filled. */
  readonly held: ReadonlyMap<number, LogEntry>;
}

export const EMPTY_REPLICA: Replica = {
  fold: INITIAL_FOLD_STATE,
  retained: [],
  held: new Map(),
};

/** Folds the entries that continue the log and holds those beyond a gap. */
export function applyEntries(
  replica: Replica,
  entries: readonly LogEntry[],
): Replica {
  const held = new Map(replica.held);
  let { position } = replica.fold;
  for (const entry of entries) {
    if (
      entry.offset >= position &&
      entry.offset < position + MAXIMUM_RETAINED_ENTRIES
    ) {
      held.set(entry.offset, entry);
    }
  }
  const contiguous: LogEntry[] = [];
  for (
    let entry = held.get(position);
    entry;
    entry = held.get(position)
  ) {
    contiguous.push(entry);
    held.delete(position);
    position += 1;
  }
  if (contiguous.length === 0) {
    return { ...replica, held };
  }
  return {
    fold: foldEntries(replica.fold, contiguous).state,
    retained: [...replica.retained, ...contiguous].slice(
      -MAXIMUM_RETAINED_ENTRIES,
    ),
    held,
  };
}

/** Replaces the state by a whole state that is ahead; one that is behind is ignored. */
export function adoptState(replica: Replica, fold: FoldState): Replica {
  const isAhead = fold.position > replica.fold.position &&
    fold.configuration.version >= replica.fold.configuration.version;
  if (!isAhead) {
    return replica;
  }
  const remaining = [...replica.held].filter(([offset]) =>
    offset >= fold.position
  );
  return applyEntries({ fold, retained: [], held: new Map(remaining) }, []);
}

/** Returns the retained entries from an offset; undefined when some are no longer retained. */
export function listEntries(
  { fold, retained }: Replica,
  from: number,
): readonly LogEntry[] | undefined {
  const first = fold.position - retained.length;
  return from < first ? undefined : retained.slice(from - first);
}
