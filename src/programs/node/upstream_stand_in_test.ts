import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { listenHttp, readBody } from "../../base/node/http_server.ts";
import {
  LOOPBACK,
  sendCall,
} from "../../features/attempt/node/proxy_fixture.ts";
import {
  describeReport,
  GOOD_BEHAVIOUR,
  planCall,
  type PlanOptions,
  type UpstreamBehaviour,
} from "../common/upstream_behaviour.ts";
import { startUpstreamStandIn } from "./upstream_stand_in.ts";

const OPTIONS: PlanOptions = {
  path: "/dispatch/1",
  instanceState: { age: 10_000, inFlight: 1, slots: 4 },
  serviceTimes: {
    serviceMilliseconds: 10,
    coldMilliseconds: 2_000,
    coldFactor: 5,
  },
  timeLeft: 500,
  fraction: 0.4,
};

test("a fault applies only to the configured paths, times, share and load", () => {
  const cases: [Partial<UpstreamBehaviour>, Partial<PlanOptions>, string][] = [
    [{}, {}, "run none 10"],
    [{}, { instanceState: { age: 0, inFlight: 0, slots: 4 } }, "run none 50"],
    [
      {},
      { instanceState: { age: 1_000, inFlight: 0, slots: 4 } },
      "run none 30",
    ],
    [{}, { instanceState: { age: 9_000, inFlight: 4, slots: 4 } }, "shed"],
    [{}, { timeLeft: 0 }, "deadline"],
    [{ fault: "fail" }, {}, "run fail 10"],
    [{ fault: "slow", slowMilliseconds: 90 }, {}, "run slow 100"],
    [{ fault: "fail", share: 0.4 }, {}, "run none 10"],
    [{ fault: "fail", afterMilliseconds: 10_001 }, {}, "run none 10"],
    [{ fault: "fail", afterMilliseconds: 10_000 }, {}, "run fail 10"],
    [{ fault: "fail", minimumLoad: 0.75 }, {}, "run none 10"],
    [{ fault: "fail", minimumLoad: 0.5 }, {}, "run fail 10"],
    [{ fault: "fail", pathPrefix: "/booking" }, {}, "run none 10"],
    [{ fault: "fail", pathPrefix: "/dispatch" }, {}, "run fail 10"],
  ];
  for (const [behaviour, options, expected] of cases) {
    const plan = planCall({ ...GOOD_BEHAVIOUR, ...behaviour }, {
      ...OPTIONS,
      ...options,
    });
    const text = plan.kind === "run"
      ? `run ${plan.fault} ${plan.duration}`
      : plan.kind;
    assert.equal(text, expected, JSON.stringify([behaviour, options]));
  }
  const now = { healthy: false, inFlight: 4, slots: 4 };
  const earlier = { healthy: true, inFlight: 2, slots: 4 };
  const reported = (["true", "lagging", "false"] as const).map((reports) =>
    describeReport({ ...GOOD_BEHAVIOUR, reports }, now, earlier)
  );
  assert.deepEqual(reported, [now, earlier, {
    healthy: true,
    inFlight: 0,
    slots: 4,
  }]);
});

test("the stand-in announces itself, renews the announcement, changes its behaviour and counts duplicate runs", async (context) => {
  const states: string[] = [];
  const administration = await listenHttp(async (request, response) => {
    const body = await readBody(request, 10_000);
    states.push(JSON.parse(String(body.unwrap())).state);
    response.end();
  }, { address: LOOPBACK, port: 0 });
  const upstream = await startUpstreamStandIn({
    service: "bib",
    version: "v2",
    address: LOOPBACK,
    port: 0,
    slots: 4,
    administration: `http://${LOOPBACK}:${administration.port}`,
    drainNoticeMilliseconds: 100,
  });
  context.after(() => Promise.all([upstream.kill(), administration.close()]));
  const url = `http://${LOOPBACK}:${upstream.port}`;
  const post = (path: string, body: string) =>
    sendCall(url, {
      method: "POST",
      path,
      headers: { "idempotency-key": "sagana.1" },
      body: Buffer.from(body),
    });
  assert.equal((await post("/numbers", "")).status, 200);
  assert.equal((await post("/behaviour", '{"fault":"fail"}')).status, 200);
  assert.equal((await post("/behaviour", '{"fault":"odd"}')).status, 400);
  assert.equal((await post("/numbers", "")).status, 500);
  assert.equal((await sendCall(url, { path: "/health" })).status, 503);
  assert.deepEqual(upstream.runs.listRepeated(), ["sagana.1"]);
  await sleep(1_100);
  await upstream.drain();
  assert.deepEqual(states.slice(0, 3), ["ready", "ready", "draining"]);
  // Renewals during the drain must never announce the upstream as ready.
  assert.ok(states.slice(3).every((state) => state === "draining"));
});
