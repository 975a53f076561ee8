import assert from "node:assert/strict";
import { test } from "node:test";
import { buildTable } from "./build_table.ts";
import { createConfiguration, createTableBench } from "./table_bench.ts";

test("a call goes to the longest matching path, so that no route takes another's calls", () => {
  const { table } = buildTable(createConfiguration(1, {
    all: "results GET /",
    heats: "results GET /heats",
    laps: "results GET /heats/laps/",
    issue: "bib POST /bibs",
  })).unwrap();
  const cases = [
    ["GET", "/heats", "heats"],
    ["GET", "/heats?lane=1", "heats"],
    ["GET", "/heatsx", "all"],
    ["GET", "/heats/laps/3", "laps"],
    ["GET", "/bibs", "all"],
    ["POST", "/bibs/7", "issue"],
    ["POST", "/heats", "unknown-route"],
  ];
  for (const [method, path, expected] of cases) {
    const match = table.match({ customer: "mto", method, path });
    assert.equal(
      typeof match === "string" ? match : match.route.name,
      expected,
      `${method} ${path}`,
    );
  }
  assert.equal(
    table.match({ customer: "x", method: "GET", path: "/" }),
    "unknown-customer",
  );
});

test("a table with a missing reference leaves the old one in force, whole", () => {
  const bench = createTableBench();
  bench.announce("bib");
  bench.publish(createConfiguration(1, { issue: "bib POST /bibs" }));
  const old = bench.keeper.current;
  const bad = createConfiguration(2, { issue: "bib POST /bibs" });
  for (
    const configuration of [
      { ...bad, services: new Map() },
      { ...bad, routes: new Map() },
    ]
  ) {
    bench.publish(configuration);
    bench.clock.advance(5_000);
    assert.equal(bench.keeper.current, old);
    assert.equal(bench.events.at(-1)?.event, "table.refused");
  }
});

test("a new service is waited for at most 2 s, and no version returns", () => {
  const bench = createTableBench();
  bench.announce("bib");
  bench.publish(createConfiguration(1, { issue: "bib POST /bibs" }));
  const both = { issue: "bib POST /bibs", heats: "results GET /heats" };
  const steps: [string, () => void, number][] = [
    ["new service", () => bench.publish(createConfiguration(2, both)), 1],
    ["1.5 s", () => bench.clock.advance(1_500), 1],
    ["newer", () => bench.publish(createConfiguration(3, both)), 1],
    ["2 s since the first", () => bench.clock.advance(500), 3],
    ["older", () => bench.publish(createConfiguration(2, both)), 3],
    ["much later", () => bench.clock.advance(9_000), 3],
    [
      "another new service",
      () => bench.publish(createConfiguration(4, { x: "other GET /x" })),
      3,
    ],
    ["its instance", () => bench.announce("other"), 4],
  ];
  for (const [name, act, version] of steps) {
    act();
    assert.equal(bench.keeper.current.version, version, name);
  }
});
