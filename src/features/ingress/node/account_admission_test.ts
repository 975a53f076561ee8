import assert from "node:assert/strict";
import { request } from "node:http";
import { describe, test } from "node:test";
import { listenHttp } from "../../../base/node/http_server.ts";
import type { ClientAccount } from "../../../world/common/client_account.ts";
import { buildAccountDirectory } from "../../account/common/account_directory.ts";
import type { AccountAdmission } from "../../account/common/account_limits.ts";
import type { ParentCall } from "../../gate/common/gate.ts";
import type { GateOutcome } from "../../gate/common/gate_call.ts";
import { FIXTURE_HEADERS } from "../../gate/common/gate_fixture.ts";
import {
  createFixtureIngress,
  FIXTURE_ROUTE,
  type FixtureIngressOptions,
} from "./ingress_fixture.ts";

const PRESS: ClientAccount = { name: "press", keys: ["k1"] };
const DIRECTORY = buildAccountDirectory({
  accounts: new Map([[PRESS.name, PRESS]]),
});
const ANSWER: GateOutcome = {
  type: "answer",
  status: 200,
  rawHeaders: [],
  body: Buffer.alloc(0),
  serviceMilliseconds: 1,
  wasNestedRefused: false,
};
const REFUSAL: GateOutcome = {
  type: "refused",
  reason: "no-instance",
  retryAfter: 100,
  reachedInstance: false,
};

const PARENT: ParentCall = {
  account: "press",
  rank: 1,
  recordNestedRefusal() {},
};

interface Observed {
  readonly status: number;
  readonly retryAfter: string | undefined;
  readonly offers: number;
  readonly asked: number;
  readonly givenBack: number;
}

/** Sends one call; the ingress asks for a permit with `admission`, and the gate settles with `outcome`. */
async function send(
  { admission, outcome = ANSWER, hasKey = true, ...options }:
    & {
      admission?: AccountAdmission;
      outcome?: GateOutcome;
      hasKey?: boolean;
    }
    & Partial<FixtureIngressOptions>,
): Promise<Observed> {
  let offers = 0;
  let asked = 0;
  let givenBack = 0;
  const ingress = createFixtureIngress({
    accounts: () => DIRECTORY,
    ...options,
    admitCall() {
      asked += 1;
      const giveBack = () => {
        givenBack += 1;
      };
      return admission ?? { type: "admitted", permit: { giveBack } };
    },
    offer(_host, { settle }) {
      offers += 1;
      settle(outcome);
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
        headers: {
          [FIXTURE_HEADERS.requestIdentity]: "call-1",
          ...(hasKey ? { [FIXTURE_HEADERS.clientKey]: "k1" } : {}),
        },
      }, (response) => {
        response.resume();
        response.on("end", () =>
          resolve({
            status: response.statusCode ?? 0,
            retryAfter: response.headers["retry-after"],
            offers,
            asked,
            givenBack,
          }));
      }).on("error", reject).end("body");
    });
  } finally {
    listener.close();
  }
}

describe("the limit of an account at the ingress", () => {
  const cases: readonly [
    string,
    Parameters<typeof send>[0],
    Partial<Observed>,
  ][] = [
    // Guards against a refused call that runs nevertheless, and against callers that come back at once.
    ["a call beyond the limit is refused as not run", {
      admission: { type: "refused", retryAfter: 250 },
    }, { status: 429, retryAfter: "0.250", offers: 0 }],
    ["a call within the limit keeps its permit", {}, {
      status: 200,
      offers: 1,
      asked: 1,
      givenBack: 0,
    }],
    // Guards against calls that count although no instance has run them.
    ["a call that no gate has taken gives its permit back", {
      outcome: REFUSAL,
    }, { status: 503, asked: 1, givenBack: 1 }],
    // Guards against a limit that is exceeded by calls with an unknown outcome.
    ["a call that may have run keeps its permit", {
      outcome: { type: "failed", reason: "link" },
    }, { status: 502, asked: 1, givenBack: 0 }],
    ["a nested call needs no permit", {
      hasKey: false,
      findParent: () => PARENT,
    }, { status: 200, asked: 0 }],
    // Guards against clients that get around the limit with identities that look nested.
    ["a call with a key counts, whatever its identity looks like", {
      findParent: () => PARENT,
    }, { status: 200, asked: 1 }],
    ["a call of a public route needs no permit", {
      routes: () => ({ find: () => ({ ...FIXTURE_ROUTE, isPublic: true }) }),
    }, { status: 200, asked: 0 }],
  ];
  for (const [name, options, expected] of cases) {
    test(name, async () => {
      const observed = await send(options);
      assert.deepEqual({ ...observed, ...expected }, observed);
    });
  }
});
