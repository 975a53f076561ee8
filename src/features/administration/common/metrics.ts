/**
 * The figures of a process in the text format of Prometheus, version 0.0.4.
 *
 * @module
 */

// The package's main module also loads its WebAssembly and compression code: 16 MB of resident
// memory against 3 MB for this one.
import int32Histogram from "hdr-histogram-js/dist/Int32Histogram.js";

export type Labels = Readonly<Record<string, string>>;

export interface Counter {
  /** Labels are not changed after they were passed. */
  add(amount?: number, labels?: Labels): void;
}

export interface Histogram {
  /** Records a value in the unit that the metric's name states. */
  record(value: number, labels?: Labels): void;
}

export interface GaugeSample {
  readonly value: number;
  readonly labels?: Labels;
}

export interface Metrics {
  /** Returns the counter of the name and creates it at the first request. */
  counter(name: string, help: string): Counter;
  histogram(name: string, help: string): Histogram;
  /** Registers a figure that is read at each output. */
  gauge(name: string, help: string, read: () => readonly GaugeSample[]): void;
  format(): string;
}

/** Sets of labels per metric; more would let callers grow the memory of the process. */
export const MAXIMUM_LABEL_SETS = 200;
const NO_LABELS: Labels = {};
const HIGHEST_VALUE = 600_000_000;
const SIGNIFICANT_DIGITS = 2;
const QUANTILES = [0.5, 0.9, 0.99, 0.999];

interface Family {
  readonly help: string;
  readonly type: "counter" | "gauge" | "summary";
  readonly lines: () => string[];
}

export function createMetrics(): Metrics {
  const families = new Map<string, Family>();
  const made = new Map<string, Counter | Histogram>();

  function find<T extends Counter | Histogram>(
    name: string,
    make: () => { metric: T; family: Family },
  ): T {
    const existing = made.get(name);
    if (existing !== undefined) {
      return existing as T;
    }
    const { metric, family } = make();
    made.set(name, metric);
    families.set(name, family);
    return metric;
  }

  return {
    counter: (name, help) => find(name, () => createCounter(name, help)),
    histogram: (name, help) => find(name, () => createHistogram(name, help)),
    gauge(name, help, read) {
      const lines = () =>
        read().map(({ value, labels }) => formatSample(name, value, labels));
      families.set(name, { help, type: "gauge", lines });
    },
    format: () =>
      [...families].flatMap(([name, family]) => [
        `# HELP ${name} ${family.help}`,
        `# TYPE ${name} ${family.type}`,
        ...family.lines(),
      ]).join("\n") + "\n",
  };
}

function createCounter(name: string, help: string) {
  const series = createSeries(() => ({ total: 0 }));
  const metric: Counter = {
    add(amount = 1, labels = NO_LABELS) {
      const entry = series.find(labels);
      if (entry !== undefined) {
        entry.total += amount;
      }
    },
  };
  const lines = () =>
    series.entries().map(({ labels, value }) =>
      formatSample(name, value.total, labels)
    );
  return { metric, family: { help, type: "counter", lines } as const };
}

function createHistogram(name: string, help: string) {
  const series = createSeries(() => ({
    sum: 0,
    figures: new int32Histogram.default(1, HIGHEST_VALUE, SIGNIFICANT_DIGITS),
  }));
  const metric: Histogram = {
    record(value, labels = NO_LABELS) {
      const entry = series.find(labels);
      if (entry !== undefined && value >= 0) {
        entry.sum += value;
        entry.figures.recordValue(Math.min(Math.round(value), HIGHEST_VALUE));
      }
    },
  };
  const lines = () =>
    series.entries().flatMap(({ labels, value: { sum, figures } }) => [
      ...QUANTILES.map((quantile) =>
        formatSample(name, figures.getValueAtPercentile(quantile * 100), {
          ...labels,
          quantile: String(quantile),
        })
      ),
      formatSample(`${name}_sum`, sum, labels),
      formatSample(`${name}_count`, figures.totalCount, labels),
    ]);
  return { metric, family: { help, type: "summary", lines } as const };
}

interface Series<T> {
  /** The value of a set of labels; undefined when the metric has too many sets. */
  find(labels: Labels): T | undefined;
  entries(): { labels: Labels; value: T }[];
}

function createSeries<T extends object>(make: () => T): Series<T> {
  const byKey = new Map<string, { labels: Labels; value: T }>();
  /** Callers that pass the same object each time spare the work of its key. */
  const byLabels = new WeakMap<Labels, T>();
  return {
    find(labels) {
      const known = byLabels.get(labels);
      if (known !== undefined) {
        return known;
      }
      const key = formatLabels(labels);
      let entry = byKey.get(key);
      if (entry === undefined && byKey.size < MAXIMUM_LABEL_SETS) {
        entry = { labels, value: make() };
        byKey.set(key, entry);
      }
      if (entry !== undefined) {
        byLabels.set(labels, entry.value);
      }
      return entry?.value;
    },
    entries: () => [...byKey.values()],
  };
}

function formatSample(name: string, value: number, labels: Labels = {}) {
  return `${name}${formatLabels(labels)} ${value}`;
}

function formatLabels(labels: Labels): string {
  const pairs = Object.entries(labels).map(([key, value]) =>
    `${key}="${escapeLabel(value)}"`
  );
  return pairs.length === 0 ? "" : `{${pairs.join(",")}}`;
}

function escapeLabel(value: string): string {
  return value.replaceAll("\\", "\\\\").replaceAll('"', '\\"')
    .replaceAll("\n", "\\n");
}
