/**
 * The folded log of one daemon with the entries that it keeps for others.
 *
 * @module
 */

import type { LogEntry } from "../../../world/common/log_record.ts";
import {
  foldEntries,
  type FoldState,
  INITIAL_FOLD_STATE,
} from "../../fold/common/fold.ts";

/** Entries that a daemon keeps for peers; a peer further behind takes the whole state. */
export const RETAINED_ENTRIES = 1_000;

export interface Replica {
  readonly fold: FoldState;
  /** The newest folded entries, contiguous up to the position. */
  readonly retained: readonly LogEntry[];
  /** Entries beyond the position, held until the gap before them is filled. */
  readonly held: ReadonlyMap<number, LogEntry>;
}

export const EMPTY_REPLICA: Replica = {
  fold: INITIAL_FOLD_STATE,
  retained: [],
  held: new Map(),
};

/** Folds the entries that continue the log and holds those beyond a gap. */
export function takeEntries(
  replica: Replica,
  entries: readonly LogEntry[],
): Replica {
  const held = new Map(replica.held);
  let { position } = replica.fold;
  for (const entry of entries) {
    if (
      entry.offset >= position && entry.offset < position + RETAINED_ENTRIES
    ) {
      held.set(entry.offset, entry);
    }
  }
  const taken: LogEntry[] = [];
  for (let entry = held.get(position); entry; entry = held.get(position)) {
    taken.push(entry);
    held.delete(position);
    position += 1;
  }
  if (taken.length === 0) {
    return { ...replica, held };
  }
  return {
    fold: foldEntries(replica.fold, taken).state,
    retained: [...replica.retained, ...taken].slice(-RETAINED_ENTRIES),
    held,
  };
}

/** Takes a whole state if it is ahead; a state that is behind never replaces a newer one. */
export function adoptState(replica: Replica, fold: FoldState): Replica {
  const isAhead = fold.position > replica.fold.position &&
    fold.configuration.version >= replica.fold.configuration.version;
  if (!isAhead) {
    return replica;
  }
  const held = [...replica.held].filter(([offset]) => offset >= fold.position);
  return takeEntries({ fold, retained: [], held: new Map(held) }, []);
}

/** The kept entries from an offset; undefined when some of them are no longer kept. */
export function listEntries(
  { fold, retained }: Replica,
  from: number,
): readonly LogEntry[] | undefined {
  const first = fold.position - retained.length;
  return from < first ? undefined : retained.slice(from - first);
}
