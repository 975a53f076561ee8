import assert from "node:assert/strict";
import { test } from "node:test";
import { compareWithGoldenFile } from "../../../base/node/golden_file.ts";
import type { Configuration } from "../../../world/common/configuration.ts";
import { createConfiguration, createTableBench } from "./table_bench.ts";

const GOLDEN_FILE = "src/features/table/common/golden/swaps.txt";
const HOST = "d1-h1";
const BIB = { issue: "bib POST /bibs" };
const BOTH = { ...BIB, heats: "results GET /heats" };
const THREE = { ...BOTH, photos: "uploads POST /photos" };

type Bench = ReturnType<typeof createTableBench>;
type Step = readonly [text: string, act: (bench: Bench) => void];

function publish(
  version: number,
  paths: Readonly<Record<string, string>>,
  change: Partial<Configuration> = {},
): Step {
  return [
    `publish ${version}: ${Object.values(paths).join(", ")}${
      Object.keys(change).map((name) => `, without ${name}`).join("")
    }`,
    (bench) =>
      bench.publish({ ...createConfiguration(version, paths), ...change }),
  ];
}

const announce = (service: string): Step => [
  `an instance of ${service} comes`,
  (bench) => bench.announce(service),
];
const withdraw = (service: string): Step => [
  `the instances of ${service} go`,
  (bench) => bench.withdraw(service),
];
const pass = (duration: number): Step => [
  `${duration} ms pass`,
  (bench) => bench.clock.advance(duration),
];

const CASES: Record<string, readonly Step[]> = {
  "a new service without an instance waits until the instance comes": [
    announce("bib"),
    publish(1, BIB),
    publish(2, BOTH),
    pass(1_000),
    announce("results"),
    pass(5_000),
  ],
  "a new service whose instance never comes holds the others back for 2 s": [
    announce("bib"),
    publish(1, BIB),
    publish(2, BOTH),
    pass(1_500),
    publish(3, THREE),
    pass(499),
    pass(1),
    announce("results"),
    publish(4, BIB),
  ],
  "a version that fails its check leaves the table in force": [
    announce("bib"),
    publish(1, BIB),
    publish(2, BIB, { services: new Map() }),
    publish(3, BIB, { routes: new Map() }),
    pass(5_000),
    publish(4, BOTH),
    publish(5, BOTH, { services: new Map() }),
    announce("results"),
    publish(6, BIB),
  ],
  "an older and a repeated version change nothing": [
    announce("bib"),
    publish(2, BIB),
    publish(1, BOTH),
    publish(2, BOTH),
    pass(3_000),
  ],
  "an older version does not take the place of a newer one that waits": [
    announce("bib"),
    publish(1, BIB),
    publish(3, BOTH),
    publish(2, BIB),
    pass(2_000),
  ],
  "a service in use that loses its instances does not hold a change back": [
    announce("bib"),
    publish(1, BIB),
    withdraw("bib"),
    publish(2, { ...BIB, list: "bib GET /bibs" }),
    pass(10),
  ],
};

/** A call by which two tables can be told apart, as the table in force answers it. */
function matchHeats({ keeper }: Bench): string {
  const call = { customer: "mto", method: "GET", path: "/heats" };
  const match = keeper.current.match(call);
  return typeof match === "string" ? match : `to ${match.route.service}`;
}

test("tables are swapped whole, in order and after the wait for a new service", () => {
  const lines: string[] = [];
  for (const [name, steps] of Object.entries(CASES)) {
    lines.push(`# ${name}`);
    const bench = createTableBench();
    let highest = -1;
    for (const [text, act] of steps) {
      const seen = bench.events.length;
      act(bench);
      const { version } = bench.keeper.current;
      assert.ok(version >= highest, `${name}: ${text}`);
      highest = version;
      lines.push(`${bench.clock.now()} -- ${text}`);
      for (const { at, event, fields } of bench.events.slice(seen)) {
        const { version, ...others } = fields;
        const details = Object.entries(others)
          .filter(([, value]) => value !== undefined)
          .map(([key, value]) => ` ${key}=${value}`).join("");
        lines.push(`${at} ${HOST} ${event}${details} ${version}`);
      }
      lines.push(
        `${bench.clock.now()} ${HOST} in force (heats ${
          matchHeats(bench)
        }) ${version}`,
      );
    }
    bench.keeper.dispose();
  }
  compareWithGoldenFile(GOLDEN_FILE, lines);
});
