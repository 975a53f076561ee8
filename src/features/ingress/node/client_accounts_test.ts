import assert from "node:assert/strict";
import { request } from "node:http";
import { describe, test } from "node:test";
import { listenHttp } from "../../../base/node/http_server.ts";
import type { ClientAccount } from "../../../world/common/client_account.ts";
import { buildAccountDirectory } from "../../account/common/account_directory.ts";
import { FIXTURE_HEADERS } from "../../gate/common/gate_fixture.ts";
import type { GateRequest } from "../../gate/common/gate_call.ts";
import {
  createFixtureIngress,
  FIXTURE_ROUTE,
  type FixtureIngressOptions,
} from "./ingress_fixture.ts";

const { clientKey, clientAccount, requestIdentity } = FIXTURE_HEADERS;
const PRESS: ClientAccount = { name: "press", keys: ["k1"], rank: 3 };
const COUNTY: ClientAccount = { name: "county", keys: ["k2"], rank: 1 };
const DIRECTORY = buildAccountDirectory({
  accounts: new Map([PRESS, COUNTY].map((account) => [account.name, account])),
});
const PUBLIC_ROUTE = { ...FIXTURE_ROUTE, isPublic: true };

interface Observed {
  readonly status: number;
  /** What was offered to the gate; undefined if nothing was. */
  readonly offered: GateRequest | undefined;
}

async function send(
  headers: Readonly<Record<string, string>>,
  options: Partial<FixtureIngressOptions>,
): Promise<Observed> {
  let offered: GateRequest | undefined;
  const ingress = createFixtureIngress({
    accounts: () => DIRECTORY,
    ...options,
    offer(_host, { request: gateRequest, settle }) {
      offered = gateRequest;
      settle({
        type: "answer",
        status: 200,
        rawHeaders: [],
        body: Buffer.alloc(0),
        serviceMilliseconds: 1,
        wasNestedRefused: false,
      });
      return { cancel() {} };
    },
  });
  const listener = await listenHttp(ingress.handle, {
    address: "127.0.0.1",
    port: 0,
  });
  try {
    return await new Promise((resolve, reject) => {
      request({
        host: "127.0.0.1",
        port: listener.port,
        method: "POST",
        path: "/x",
        headers: { [requestIdentity]: "call-1", ...headers },
      }, (response) => {
        response.resume();
        response.on(
          "end",
          () => resolve({ status: response.statusCode ?? 0, offered }),
        );
      }).on("error", reject).end("body");
    });
  } finally {
    listener.close();
  }
}

function listLines(offered: GateRequest | undefined, name: string): string[] {
  return (offered?.headerLines ?? "").split("\r\n").filter((line) =>
    line.toLowerCase().startsWith(`${name}:`)
  );
}

interface Case {
  readonly name: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly options?: Partial<FixtureIngressOptions>;
  readonly status?: number;
  /** The account lines that the instance gets. */
  readonly account?: readonly string[];
  readonly rank?: number;
}

const NESTED = {
  findParent: () => ({
    account: "press",
    rank: 0,
    recordNestedRefusal() {},
  }),
};
const PRESS_LINE = `${clientAccount}: press`;
const COUNTY_LINE = `${clientAccount}: county`;

const CASES: readonly Case[] = [
  {
    name: "with a key",
    headers: { [clientKey]: "k1" },
    account: [PRESS_LINE],
    rank: 3.001,
  },
  {
    name: "with a key, and the name of another account",
    headers: { [clientKey]: "k1", [clientAccount]: "other" },
    account: [PRESS_LINE],
  },
  { name: "with an unknown key", headers: { [clientKey]: "k9" }, status: 401 },
  { name: "without a key", headers: {}, status: 401 },
  {
    name: "without a key, with the name of an account",
    headers: { [clientAccount]: "press" },
    status: 401,
  },
  {
    name: "without a key, right after the start of the daemon",
    headers: {},
    options: { uptime: () => 100 },
    status: 503,
  },
  {
    name: "with a key on a public route",
    headers: { [clientKey]: "k1", [clientAccount]: "other" },
    options: { routes: () => ({ find: () => PUBLIC_ROUTE }) },
    account: [],
    rank: 1,
  },
  {
    name: "nested in a call of an account",
    headers: {},
    options: NESTED,
    account: [PRESS_LINE],
    rank: 0,
  },
  // Guards against requests of clients that run under the account of another client, because their identity
  // looks like that of a nested call.
  {
    name:
      "with a key, whose identity looks nested in a call of another account",
    headers: { [clientKey]: "k2" },
    options: NESTED,
    account: [COUNTY_LINE],
    rank: 1.001,
  },
  {
    name: "with an unknown key, whose identity looks nested",
    headers: { [clientKey]: "k9" },
    options: NESTED,
    status: 401,
  },
  {
    name: "with an empty key, whose identity looks nested",
    headers: { [clientKey]: "" },
    options: NESTED,
    status: 401,
  },
  {
    name: "nested in a call of an account, on a public route",
    headers: {},
    options: { ...NESTED, routes: () => ({ find: () => PUBLIC_ROUTE }) },
    account: [],
    rank: 0,
  },
  {
    name: "without a key, that may be nested in calls of several accounts",
    headers: {},
    options: { hasUnclearParent: () => true },
    status: 503,
  },
  {
    name: "without accounts in the configuration",
    headers: { [clientAccount]: "other" },
    options: { accounts: () => undefined },
    account: [`${clientAccount}: other`],
    rank: 1,
  },
];

describe("a request", () => {
  for (
    const { name, headers, options = {}, status = 200, account, rank } of CASES
  ) {
    test(name, async () => {
      const observed = await send(headers, options);
      assert.equal(observed.status, status);
      assert.equal(observed.offered !== undefined, status === 200);
      assert.deepEqual(
        listLines(observed.offered, clientAccount),
        account ?? [],
      );
      assert.deepEqual(listLines(observed.offered, clientKey), []);
      if (rank !== undefined) {
        assert.equal(observed.offered?.rank, rank);
      }
    });
  }
});
