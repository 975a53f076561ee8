import assert from "node:assert/strict";
import { test } from "node:test";
import { buildTable } from "./build_table.ts";
import { createConfiguration, createTableFixture } from "./table_fixture.ts";

test("a call matches the route with the longest matching path prefix, so that no route receives another's calls", () => {
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

test("a configuration with a missing reference leaves the whole active table unchanged", () => {
  const fixture = createTableFixture();
  fixture.announce("bib");
  fixture.publish(createConfiguration(1, { issue: "bib POST /bibs" }));
  const old = fixture.manager.current;
  const bad = createConfiguration(2, { issue: "bib POST /bibs" });
  for (
    const configuration of [
      { ...bad, services: new Map() },
      { ...bad, routes: new Map() },
    ]
  ) {
    fixture.publish(configuration);
    fixture.clock.advance(5_000);
    assert.equal(fixture.manager.current, old);
    assert.equal(fixture.events.at(-1)?.event, "table.refused");
  }
});

test("the swap waits at most 2 s for a new service, and no older version becomes active", () => {
  const fixture = createTableFixture();
  fixture.announce("bib");
  fixture.publish(createConfiguration(1, { issue: "bib POST /bibs" }));
  const both = { issue: "bib POST /bibs", heats: "results GET /heats" };
  const steps: [string, () => void, number][] = [
    ["new service", () => fixture.publish(createConfiguration(2, both)), 1],
    ["1.5 s", () => fixture.clock.advance(1_500), 1],
    ["newer", () => fixture.publish(createConfiguration(3, both)), 1],
    ["2 s since the first", () => fixture.clock.advance(500), 3],
    ["older", () => fixture.publish(createConfiguration(2, both)), 3],
    ["much later", () => fixture.clock.advance(9_000), 3],
    [
      "another new service",
      () => fixture.publish(createConfiguration(4, { x: "other GET /x" })),
      3,
    ],
    ["its instance", () => fixture.announce("other"), 4],
  ];
  for (const [name, act, version] of steps) {
    act();
    assert.equal(fixture.manager.current.version, version, name);
  }
});
