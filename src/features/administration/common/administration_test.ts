import assert from "node:assert/strict";
import { createHash } from "node:crypto";
import { test } from "node:test";
import {
  type Configuration,
  EMPTY_CONFIGURATION,
} from "../../../world/common/configuration.ts";
import type { Route } from "../../../world/common/route.ts";
import { findToken, readBearerToken } from "./access_token.ts";
import {
  type ChangeContents,
  findMissingChangeRight,
} from "./change_rights.ts";
import { describeMove } from "./descriptions.ts";
import {
  changeDocumentSchema,
  moveDocumentSchema,
  parseDocument,
} from "./documents.ts";
import { createMetrics, MAXIMUM_LABEL_SETS } from "./metrics.ts";

const LIMITS = { requestsPerSecond: 1, concurrency: 1, retryShare: 0 };

function route(name: string, service: string): Route {
  return {
    name,
    service,
    method: "GET",
    pathPrefix: "/",
    callClass: "read",
    stalenessMilliseconds: 0,
    deadlineMilliseconds: 100,
  };
}

const CONFIGURATION: Configuration = {
  ...EMPTY_CONFIGURATION,
  services: new Map(["s1", "s2"].map((name) => [name, { name, version: "1" }])),
  routes: new Map([["r1", route("r1", "s1")], ["r2", route("r2", "s2")]]),
  contracts: new Map([
    ["a", { customer: "a", routes: ["r1"], limits: LIMITS }],
    ["b", { customer: "b", routes: ["r2"], limits: LIMITS }],
  ]),
};

function token(customers: string[]) {
  const sha256 = createHash("sha256").update(`key-${customers}`).digest("hex");
  return { sha256, team: "web", mayPublish: true, customers };
}

test("only an exact bearer token is found", () => {
  const tokens = [token(["a"]), token(["b"]), { ...token(["c"]), sha256: "" }];
  const cases: [string | undefined, number | undefined][] = [
    ["Bearer key-a", 0],
    ["bearer key-b", 1],
    ["Bearer key-", undefined],
    ["Bearer ", undefined],
    ["Basic key-a", undefined],
    [`Bearer ${tokens[0].sha256}`, undefined],
    [undefined, undefined],
  ];
  for (const [header, index] of cases) {
    const found = findToken(tokens, readBearerToken(header));
    assert.equal(found, index === undefined ? undefined : tokens[index]);
  }
});

test("a team may change only objects that are used by its own customers alone", () => {
  const contract = (customer: string, routes: string[]) => ({
    upsert: { contracts: [{ customer, routes, limits: LIMITS }] },
    remove: {},
  });
  const cases: [string, ChangeContents, string | undefined][] = [
    ["own contract", contract("a", ["r1"]), undefined],
    ["other contract", contract("b", ["r2"]), "contract of customer b"],
    [
      "route of another customer",
      contract("a", ["r1", "r2"]),
      "route that is used by",
    ],
    [
      "own route",
      { upsert: { routes: [route("r1", "s1")] }, remove: {} },
      undefined,
    ],
    [
      "other route",
      { upsert: {}, remove: { routes: ["r2"] } },
      "used by customer b",
    ],
    [
      "new route to a service of another customer",
      { upsert: { routes: [route("r3", "s2")] }, remove: {} },
      "service that is used by customer b",
    ],
    [
      "new service",
      { upsert: { services: [{ name: "s3", version: "1" }] }, remove: {} },
      undefined,
    ],
    [
      "other service",
      { upsert: { services: [{ name: "s2", version: "9" }] }, remove: {} },
      "service that is used by customer b",
    ],
    [
      "failure domains",
      { upsert: { failureDomains: ["d"] }, remove: {} },
      "failure domains",
    ],
  ];
  for (const [name, change, expected] of cases) {
    const missing = findMissingChangeRight(token(["a"]), CONFIGURATION, change);
    assert.equal(missing === undefined, expected === undefined, name);
    assert.ok(missing === undefined || missing.includes(expected!), name);
    assert.equal(
      findMissingChangeRight(token(["*"]), CONFIGURATION, change),
      undefined,
      name,
    );
  }
});

test("invalid documents are rejected with the key that is at fault", () => {
  const change = (routePart: object) => ({
    upsert: {
      routes: [{ ...route("r", "s"), ...routePart }],
      contracts: [{ customer: "a", routes: ["r"], limits: LIMITS }],
    },
  });
  const cases: [unknown, string | undefined][] = [
    [change({}), undefined],
    [{}, "changes nothing"],
    [change({ pathPrefix: "/a/../b" }), "upsert.routes.0.pathPrefix"],
    [change({ pathPrefix: "//a" }), "upsert.routes.0.pathPrefix"],
    [change({ pathPrefix: "a" }), "upsert.routes.0.pathPrefix"],
    [change({ pathPrefix: "/v1/units" }), undefined],
    [change({ method: "get" }), "upsert.routes.0.method"],
    [change({ callClass: "maybe" }), "upsert.routes.0.callClass"],
    [change({ deadlineMilliseconds: 0 }), "deadlineMilliseconds"],
    [change({ timeout: 5 }), "upsert.routes.0.timeout"],
    [{ identity: "../x" }, "identity"],
    [{ baseVersion: -2 }, "baseVersion"],
    [[], "(root)"],
  ];
  for (const [value, expected] of cases) {
    const body = Buffer.from(JSON.stringify(value));
    const result = parseDocument(changeDocumentSchema, body);
    assert.equal(result.ok, expected === undefined, JSON.stringify(value));
    assert.ok(result.ok || String(result.val).includes(expected!));
  }
  assert.ok(parseDocument(changeDocumentSchema, Buffer.from("{")).err);
  const move = { service: "s", toVersion: "2" };
  for (const times of [{}, { withinMilliseconds: 1, deadlineAt: 1 }]) {
    const body = Buffer.from(JSON.stringify({ ...move, ...times }));
    assert.ok(parseDocument(moveDocumentSchema, body).err);
  }
});

test("the description of a move states its share, deadline and outcome in plain words", () => {
  const move = {
    identity: "m",
    service: "bib",
    fromVersion: "1",
    toVersion: "2",
    startedAt: 0,
    deadlineAt: 600_000,
    outcome: "open",
    reason: "",
  } as const;
  const split = {
    stableVersion: "1",
    candidateVersion: "2",
    candidateShare: 0.05,
    candidateInstances: 1,
  };
  const subject = "The move of bib from 1 to 2";
  const cases: [string, string][] = [
    [
      describeMove(move, split, 120_000),
      `${subject} is open, with 5 % of the calls on 2, 8 min 0 s before its deadline.`,
    ],
    [
      describeMove(move, { ...split, candidateVersion: undefined }, 0),
      `${subject} is being taken back; the record of it is not accepted yet.`,
    ],
    [
      describeMove(
        { ...move, outcome: "taken-back", reason: "slow" },
        split,
        0,
      ),
      `${subject} is taken back: slow.`,
    ],
  ];
  for (const [found, expected] of cases) {
    assert.equal(found, expected);
  }
});

test("metrics are in the Prometheus text format and their number of label sets is bounded", () => {
  const metrics = createMetrics();
  const calls = metrics.counter("calls_total", "Calls");
  calls.add(2, { customer: 'a"b\n' });
  assert.equal(metrics.counter("calls_total", "Calls"), calls);
  const latency = metrics.histogram("latency_microseconds", "Latency");
  for (let value = 1; value <= 100; value += 1) {
    latency.record(value);
  }
  metrics.gauge("version", "Version", () => [{ value: 7 }]);
  assert.equal(
    metrics.format(),
    `# HELP calls_total Calls
# TYPE calls_total counter
calls_total{customer="a\\"b\\n"} 2
# HELP latency_microseconds Latency
# TYPE latency_microseconds summary
latency_microseconds{quantile="0.5"} 50
latency_microseconds{quantile="0.9"} 90
latency_microseconds{quantile="0.99"} 99
latency_microseconds{quantile="0.999"} 100
latency_microseconds_sum 5050
latency_microseconds_count 100
# HELP version Version
# TYPE version gauge
version 7
`,
  );
  for (let index = 0; index < 2 * MAXIMUM_LABEL_SETS; index += 1) {
    calls.add(1, { customer: `c${index}` });
  }
  const lines = metrics.format().split("\n").filter((line) =>
    line.startsWith("calls_total{")
  );
  assert.equal(lines.length, MAXIMUM_LABEL_SETS);
});
