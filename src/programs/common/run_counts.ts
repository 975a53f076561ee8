/**
 * Counts the runs of an upstream stand-in by idempotency key, to detect duplicate runs.
 *
 * @module
 */

/** Number of keys that are kept; tests read them long before this limit is reached. */
const MAXIMUM_KEYS = 200_000;

export interface RunCounts {
  /** Counts a run; called when its effect is committed. */
  record(key: string | undefined): void;
  readonly runs: number;
  /** The number of runs of one key. */
  runsOf(key: string): number;
  /** The number of runs of each key. */
  listKeys(): Readonly<Record<string, number>>;
  /** The keys that ran more than once. */
  listRepeated(): readonly string[];
}

export function createRunCounts(): RunCounts {
  const byKey = new Map<string, number>();
  let runs = 0;
  return {
    record(key) {
      runs += 1;
      if (key === undefined) {
        return;
      }
      byKey.set(key, (byKey.get(key) ?? 0) + 1);
      if (byKey.size > MAXIMUM_KEYS) {
        byKey.delete(byKey.keys().next().value!);
      }
    },
    get runs() {
      return runs;
    },
    runsOf: (key) => byKey.get(key) ?? 0,
    listKeys: () => Object.fromEntries(byKey),
    listRepeated: () =>
      [...byKey].filter(([, count]) => count > 1).map(([key]) => key),
  };
}
