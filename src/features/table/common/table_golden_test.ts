import assert from "node:assert/strict";
import { test } from "node:test";
import { compareWithGoldenFile } from "../../../base/node/golden_file.ts";
import type { Configuration } from "../../../world/common/configuration.ts";
import { createConfiguration, createTableFixture } from "./table_fixture.ts";

const GOLDEN_FILE = "src/features/table/common/golden/swaps.txt";
const HOST = "d1-h1";
const BIB = { issue: "bib POST /bibs" };
const BOTH = { ...BIB, heats: "results GET /heats" };
const THREE = { ...BOTH, photos: "uploads POST /photos" };

type TableFixture = ReturnType<typeof createTableFixture>;
type Step = readonly [text: string, act: (fixture: TableFixture) => void];

function publish(
  version: number,
  paths: Readonly<Record<string, string>>,
  change: Partial<Configuration> = {},
): Step {
  return [
    `publish ${version}: ${Object.values(paths).join(", ")}${
      Object.keys(change).map((name) => `, without ${name}`).join("")
    }`,
    (fixture) =>
      fixture.publish({ ...createConfiguration(version, paths), ...change }),
  ];
}

const announce = (service: string): Step => [
  `an instance of ${service} is announced`,
  (fixture) => fixture.announce(service),
];
const withdraw = (service: string): Step => [
  `the instances of ${service} are removed`,
  (fixture) => fixture.withdraw(service),
];
const pass = (duration: number): Step => [
  `${duration} ms pass`,
  (fixture) => fixture.clock.advance(duration),
];

const CASES: Record<string, readonly Step[]> = {
  "a new service without an instance waits until the instance is announced": [
    announce("bib"),
    publish(1, BIB),
    publish(2, BOTH),
    pass(1_000),
    announce("results"),
    pass(5_000),
  ],
  "a new service whose instance is never announced delays the swap by 2 s": [
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
  "an invalid version leaves the active table unchanged": [
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
  "an older version does not replace a pending newer one": [
    announce("bib"),
    publish(1, BIB),
    publish(3, BOTH),
    publish(2, BIB),
    pass(2_000),
  ],
  "a service in use that loses its instances does not delay a change": [
    announce("bib"),
    publish(1, BIB),
    withdraw("bib"),
    publish(2, { ...BIB, list: "bib GET /bibs" }),
    pass(10),
  ],
};

/** The active table's result for a call that distinguishes the tables of the cases. */
function matchHeats({ manager }: TableFixture): string {
  const call = { customer: "mto", method: "GET", path: "/heats" };
  const match = manager.current.match(call);
  return typeof match === "string" ? match : `to ${match.route.service}`;
}

test("tables are swapped as a whole, in version order and after the wait for a new service", () => {
  const lines: string[] = [];
  for (const [name, steps] of Object.entries(CASES)) {
    lines.push(`# ${name}`);
    const fixture = createTableFixture();
    let highest = -1;
    for (const [text, act] of steps) {
      const seen = fixture.events.length;
      act(fixture);
      const { version } = fixture.manager.current;
      assert.ok(version >= highest, `${name}: ${text}`);
      highest = version;
      lines.push(`${fixture.clock.now()} -- ${text}`);
      for (const { at, event, fields } of fixture.events.slice(seen)) {
        const { version, ...others } = fields;
        const details = Object.entries(others)
          .filter(([, value]) => value !== undefined)
          .map(([key, value]) => ` ${key}=${value}`).join("");
        lines.push(`${at} ${HOST} ${event}${details} ${version}`);
      }
      lines.push(
        `${fixture.clock.now()} ${HOST} active (heats ${
          matchHeats(fixture)
        }) ${version}`,
      );
    }
    fixture.manager.dispose();
  }
  compareWithGoldenFile(GOLDEN_FILE, lines);
});
