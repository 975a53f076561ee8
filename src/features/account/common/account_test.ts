import assert from "node:assert/strict";
import { describe, test } from "node:test";
import type { ClientAccount } from "../../../world/common/client_account.ts";
import { buildAccountDirectory } from "./account_directory.ts";
import { rankCall } from "./call_rank.ts";
import {
  type CallerIdentification,
  type CallerRequest,
  identifyCaller,
} from "./caller_identification.ts";

const PRESS: ClientAccount = { name: "press", keys: ["k1", "k2"] };
const COUNTY: ClientAccount = { name: "county", keys: ["k3"], rank: 0 };
const DIRECTORY = buildAccountDirectory({
  accounts: new Map([PRESS, COUNTY].map((account) => [account.name, account])),
});
const REQUEST: CallerRequest = {
  directory: DIRECTORY,
  key: undefined,
  route: { rank: 2 },
  parent: undefined,
  hasUnclearParent: () => false,
  uptime: 60_000,
};

describe("the identification of a caller", () => {
  const cases: readonly [
    string,
    Partial<CallerRequest>,
    CallerIdentification,
  ][] = [
    ["the first key of an account", { key: "k1" }, {
      type: "identified",
      account: "press",
      rank: 2,
    }],
    // Guards against a client that counts as the instance on its host.
    ["a key, with an identity that looks nested", {
      key: "k1",
      parent: { account: "county", rank: 0 },
    }, { type: "identified", account: "press", rank: 2 }],
    ["a key without accounts, with an identity that looks nested", {
      directory: undefined,
      key: "k1",
      parent: { account: undefined, rank: 7 },
    }, { type: "identified", account: undefined, rank: 2 }],
    ["no key, nested in one of several calls", {
      hasUnclearParent: () => true,
    }, { type: "unknown-parent" }],
    ["another key of the account", { key: "k2" }, {
      type: "identified",
      account: "press",
      rank: 2,
    }],
    ["an account with a priority of its own", { key: "k3" }, {
      type: "identified",
      account: "county",
      rank: 0.002,
    }],
    ["an unknown key", { key: "k4" }, {
      type: "unauthorized",
      reason: "unknown-key",
    }],
    ["two keys of one account at a time", { key: "k1, k2" }, {
      type: "unauthorized",
      reason: "unknown-key",
    }],
    ["an empty key", { key: "" }, {
      type: "unauthorized",
      reason: "unknown-key",
    }],
    ["the name of a property of all objects", { key: "constructor" }, {
      type: "unauthorized",
      reason: "unknown-key",
    }],
    ["no key", {}, { type: "unauthorized", reason: "no-key" }],
    // Guards against a final answer to nested calls of calls that the daemon before served.
    ["no key shortly after the start", { uptime: 500 }, {
      type: "unknown-parent",
    }],
    ["an unknown key shortly after the start", { key: "k4", uptime: 500 }, {
      type: "unauthorized",
      reason: "unknown-key",
    }],
    ["no key on a public route", { route: { rank: 2, isPublic: true } }, {
      type: "identified",
      account: undefined,
      rank: 2,
    }],
    ["a nested call", { parent: { account: "press", rank: 1 } }, {
      type: "identified",
      account: "press",
      rank: 1,
    }],
    ["a nested call without accounts", {
      directory: undefined,
      parent: { account: undefined, rank: 1 },
    }, { type: "identified", account: undefined, rank: 2 }],
    ["no accounts", { directory: undefined, key: "k1" }, {
      type: "identified",
      account: undefined,
      rank: 2,
    }],
  ];
  for (const [name, change, expected] of cases) {
    test(name, () =>
      assert.deepEqual(
        identifyCaller({ ...REQUEST, ...change }),
        expected,
      ));
  }

  test("a configuration without accounts has no directory", () =>
    assert.equal(buildAccountDirectory({}), undefined));
});

test("the priority of the account goes before that of the route", () => {
  const inOrder = [
    rankCall({ rank: 0 }, { rank: 0 }),
    rankCall({ rank: 7 }, { rank: 0 }),
    rankCall({ rank: 5_000 }, { rank: 0 }),
    rankCall({ rank: 0 }, { rank: 1 }),
    rankCall({ rank: 1 }, { rank: 1 }),
    rankCall({ rank: 2 }, undefined),
  ];
  assert.deepEqual([...inOrder].sort((left, right) => left - right), inOrder);
  assert.equal(new Set(inOrder).size, inOrder.length);
});

describe("the weight of an account", () => {
  const limited = (name: string, requestsPerSecond: number): ClientAccount => ({
    name,
    keys: [],
    limit: { requestsPerSecond, burst: 1 },
  });
  const directory = buildAccountDirectory({
    accounts: new Map(
      [
        limited("large", 380),
        limited("small", 2),
        limited("tiny", 0.001),
        PRESS,
      ].map((account) => [account.name, account]),
    ),
  });
  const mean = (380 + 2 + 0.001) / 3;
  const cases: readonly [string | undefined, number][] = [
    ["large", 380],
    ["small", 2],
    ["tiny", 0.1],
    ["press", mean],
    ["unknown", mean],
    [undefined, mean],
  ];
  for (const [account, weight] of cases) {
    test(`of ${account}`, () =>
      assert.equal(directory?.weigh(account), weight));
  }
});
