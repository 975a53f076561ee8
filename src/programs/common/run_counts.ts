/**
 * The runs of an upstream stand-in, by idempotency key, so that a double run can be seen.
 *
 * @module
 */

/** The keys of this many runs are kept; a test reads them long before. */
const MAXIMUM_KEYS = 200_000;

export interface RunCounts {
  /** Counts a run, at the moment at which its effect would be final. */
  record(key: string | undefined): void;
  readonly runs: number;
  /** Runs of one key. */
  runsOf(key: string): number;
  /** All keys that ran, with their runs. */
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
