import assert from "node:assert/strict";
import { request } from "node:http";
import { describe, test } from "node:test";
import { listenHttp } from "../../../base/node/http_server.ts";
import type { OfferOptions } from "../../gate/common/gate_client.ts";
import {
  createFixtureIngress,
  listFixtureCandidates,
} from "./ingress_fixture.ts";

const HOSTS = ["a-1", "a-2", "a-3", "a-4"];

/** Offers a call to gates that return it while they may; returns what they were asked. */
async function callWith(
  currentServiceTime: number | undefined,
): Promise<{
  readonly status: number | undefined;
  readonly asked: readonly (true | undefined)[];
}> {
  const asked: (true | undefined)[] = [];
  const ingress = createFixtureIngress({
    candidates: () =>
      HOSTS.flatMap(listFixtureCandidates).map((candidate) => ({
        ...candidate,
        load: currentServiceTime === undefined
          ? candidate.load
          : { ...candidate.load, currentServiceTime },
        currentServiceTime,
      })),
    offer(_host, { request: { mayBeReturned }, settle }: OfferOptions) {
      asked.push(mayBeReturned);
      setImmediate(() =>
        settle(
          mayBeReturned
            ? {
              type: "refused",
              reason: "full",
              retryAfter: 10,
              reachedInstance: false,
            }
            : {
              type: "answer",
              status: 200,
              rawHeaders: [],
              body: Buffer.from("done"),
              serviceMilliseconds: 1,
              wasNestedRefused: false,
            },
        )
      );
      return { cancel() {} };
    },
  });
  const listener = await listenHttp(ingress.handle, {
    address: "127.0.0.1",
    port: 0,
  });
  const status = await new Promise<number | undefined>((resolve, reject) => {
    const outgoing = request({
      port: listener.port,
      agent: false,
      headers: { host: "mesh.example", "x-request": "call" },
    }, (response) => {
      response.resume();
      response.on("end", () => resolve(response.statusCode));
    });
    outgoing.on("error", reject);
    outgoing.end();
  });
  await listener.close();
  return { status, asked };
}

describe("a call to gates that return it while they may", () => {
  // Guards against a permission that is decided but not sent, and against calls that come back again and again.
  test("is kept by the third one", async () => {
    const { status, asked } = await callWith(1);
    assert.equal(status, 200);
    assert.deepEqual(asked, [true, true, undefined]);
  });

  test("is kept by the first one if no speed is reported", async () => {
    const { status, asked } = await callWith(undefined);
    assert.equal(status, 200);
    assert.deepEqual(asked, [undefined]);
  });
});
