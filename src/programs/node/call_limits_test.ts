import assert from "node:assert/strict";
import { test } from "node:test";
import * as valibot from "valibot";
import { SILENT_LOG } from "../../base/common/event_log.ts";
import {
  createProxyFixture,
  LOOPBACK,
  sendCall,
} from "../../features/attempt/node/proxy_fixture.ts";
import { daemonSettingsSchema } from "../common/daemon_settings.ts";
import { GOOD_BEHAVIOUR } from "../common/upstream_behaviour.ts";
import { startDaemon } from "./daemon.ts";
import { startUpstreamStandIn } from "./upstream_stand_in.ts";

test("calls beyond the limits of the proxy are refused and not run", async (context) => {
  const upstream = await startUpstreamStandIn({
    service: "booking",
    version: "v1",
    address: LOOPBACK,
    port: 0,
    slots: 16,
    behaviour: GOOD_BEHAVIOUR,
    serviceMilliseconds: 200,
  });
  context.after(() => upstream.kill());
  const fixture = await createProxyFixture({
    ports: [upstream.port],
    limits: { maximumCallBodyBytes: 100_000, maximumCallsInFlight: 2 },
  });
  context.after(() => fixture.close());
  const bodies = [
    [100_000, 200, undefined],
    [100_001, 413, "not-run"],
  ] as const;
  for (const [length, status, outcome] of bodies) {
    const answer = await sendCall(fixture.url, {
      method: "POST",
      body: Buffer.alloc(length),
    });
    assert.equal(answer.status, status, `${length}`);
    assert.equal(answer.headers["guavarun-outcome"], outcome, `${length}`);
  }
  // Part of a chunked body is forwarded before its length is known, so the outcome is not "not run".
  const chunked = await sendCall(fixture.url, {
    method: "POST",
    headers: { "transfer-encoding": "chunked" },
    body: Buffer.alloc(100_001),
  });
  assert.equal(chunked.status, 413);
  const answers = await Promise.all(
    [1, 2, 3, 4].map(() => sendCall(fixture.url)),
  );
  assert.deepEqual(
    answers.map(({ status, headers }) => [status, headers["guavarun-outcome"]])
      .sort(),
    [[200, undefined], [200, undefined], [503, "not-run"], [503, "not-run"]],
  );
  assert.equal(
    (await sendCall(fixture.url)).status,
    200,
    "the limit is free again",
  );
});

test("a daemon applies the limits of its settings to calls", async (context) => {
  const cases = [
    { limits: { maximumCallBodyBytes: 1_024 }, status: 413 },
    { limits: { maximumCallBodyBytes: 2_048 }, status: 503 },
  ];
  for (const { limits, status } of cases) {
    const daemon = await startDaemon(
      valibot.parse(daemonSettingsSchema, {
        host: "tacoma-1",
        failureDomain: "tacoma",
        address: LOOPBACK,
        proxyPort: 0,
        administrationPort: 0,
        linkPort: 0,
        platform: { address: LOOPBACK, port: 1 },
        limits,
      }),
      { log: SILENT_LOG },
    );
    context.after(() => daemon.stop());
    // Without a platform no route is known, so a call within the limit is refused with 503.
    const answer = await sendCall(`http://${LOOPBACK}:${daemon.proxyPort}`, {
      method: "POST",
      body: Buffer.alloc(2_000),
    });
    assert.equal(answer.status, status);
    assert.equal(answer.headers["guavarun-outcome"], "not-run");
  }
});
