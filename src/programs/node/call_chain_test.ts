import assert from "node:assert/strict";
import { Agent, createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test, type TestContext } from "node:test";
import {
  setImmediate as nextTurn,
  setTimeout as sleep,
} from "node:timers/promises";
import { createEmitter } from "../../base/common/emitter.ts";
import { createRandomSource } from "../../base/common/random_source.ts";
import { SYSTEM_CLOCK } from "../../base/node/system_clock.ts";
import {
  createFixtureInstance,
  createProxyFixture,
  FIXTURE_HOST,
  type FixtureResponse,
  LOOPBACK,
  sendCall,
} from "../../features/attempt/node/proxy_fixture.ts";
import { createInstanceRouter } from "../../features/routing/common/router.ts";
import { GOOD_BEHAVIOUR } from "../common/upstream_behaviour.ts";
import { startUpstreamStandIn } from "./upstream_stand_in.ts";

const MEASURED_CALLS = 40;
const INSTANCES_PER_LAYER = 3;
const LAYERS = 3;

function startUpstream(port = 0, fault: "none" | "fail" = "none") {
  return startUpstreamStandIn({
    service: "booking",
    version: "v1",
    address: LOOPBACK,
    port,
    slots: 16,
    serviceMilliseconds: fault === "fail" ? 1 : 30,
    drainNoticeMilliseconds: 1_000,
    behaviour: { ...GOOD_BEHAVIOUR, fault },
  });
}

/** Starts an upstream that calls the next service through a proxy and relays the status. */
async function startForwarder(
  context: TestContext,
  url: string,
  relaysRetryHeader: boolean,
): Promise<number> {
  const server = createServer(async (_, response) => {
    const answer = await sendCall(url);
    const retry = answer.headers["guavarun-retry"];
    response.writeHead(answer.status === "cut" ? 502 : answer.status, {
      ...(relaysRetryHeader && retry !== undefined
        ? { "guavarun-retry": retry }
        : {}),
    });
    response.end();
  });
  await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
  context.after(() => {
    server.closeAllConnections();
    server.close();
  });
  return (server.address() as AddressInfo).port;
}

/** Returns the number of calls at the failing service for each call of the client. */
async function measureAmplification(
  context: TestContext,
  retryShare: number,
  relaysRetryHeader: boolean,
): Promise<number> {
  const upstreams = await Promise.all(
    Array.from({ length: INSTANCES_PER_LAYER }, () => startUpstream(0, "fail")),
  );
  upstreams.forEach((upstream) => context.after(() => upstream.kill()));
  let ports = upstreams.map(({ port }) => port);
  let url = "";
  for (let layer = 1; layer <= LAYERS; layer += 1) {
    const fixture = await createProxyFixture({
      ports,
      retryShare,
      route: { callClass: "idempotent", deadlineMilliseconds: 20_000 },
    });
    context.after(() => fixture.close());
    url = fixture.url;
    if (layer < LAYERS) {
      ports = await Promise.all(
        ports.map(() => startForwarder(context, url, relaysRetryHeader)),
      );
    }
  }
  for (let call = 0; call < MEASURED_CALLS; call += 1) {
    assert.equal((await sendCall(url)).status, 500);
  }
  const arrived = upstreams.reduce((sum, { counts }) => sum + counts.calls, 0);
  return arrived / MEASURED_CALLS;
}

test("a retry storm over three proxies stays within the budget of one layer", async (context) => {
  for (const retryShare of [1, 0.2]) {
    const withoutHeader = await measureAmplification(
      context,
      retryShare,
      false,
    );
    const withHeader = await measureAmplification(context, retryShare, true);
    context.diagnostic(
      `retryShare ${retryShare}: amplification ${withoutHeader} without the header, ${withHeader} with it`,
    );
    assert.ok(withHeader <= 1 + retryShare, `${withHeader}`);
    assert.ok(withoutHeader <= (1 + retryShare) ** LAYERS, `${withoutHeader}`);
    assert.ok(withoutHeader > withHeader);
  }
});

/** Returns `whole`, `not-run` for a safe refusal, or a description of the failure. */
function describe(answer: FixtureResponse, path: string): string {
  if (answer.status === 200 && JSON.parse(answer.body).path === path) {
    return "whole";
  }
  const outcome = answer.headers["guavarun-outcome"];
  return outcome === "not-run" ? outcome : `${answer.status} ${outcome}`;
}

test("a draining upstream cuts no call and gets no new calls after it is removed from the directory", async (context) => {
  const upstreams = await Promise.all([startUpstream(), startUpstream()]);
  const [leaving, staying] = upstreams;
  const instances = upstreams.map(({ port }) => createFixtureInstance(port));
  let present = instances;
  const changed = createEmitter<void>();
  const fixture = await createProxyFixture({
    ports: [],
    retryShare: 0,
    route: { callClass: "non-idempotent" },
    router: createInstanceRouter({
      directory: {
        self: FIXTURE_HOST,
        get instances() {
          return present;
        },
        onChanged: changed.event,
      },
      shift: {
        splitOf: () => ({
          stableVersion: "v1",
          candidateVersion: undefined,
          candidateShare: 0,
          candidateInstances: Infinity,
        }),
      },
      clock: SYSTEM_CLOCK,
      random: createRandomSource(1),
    }),
  });
  context.after(() => Promise.all([fixture.close(), staying.kill()]));
  const calls = Array.from({ length: 300 }, async (_, index) => {
    await sleep(index * 5);
    const path = `/orders/${index}`;
    const headers = { "idempotency-key": `tacoma.${index}` };
    return describe(
      await sendCall(fixture.url, { method: "POST", path, headers }),
      path,
    );
  });
  await sleep(200);
  const drained = leaving.drain();
  await sleep(100);
  present = [instances[1]];
  changed.fire();
  // Calls that were assigned before may still arrive for a short time.
  await sleep(100);
  const seen = leaving.counts.calls;
  await drained;
  assert.equal(leaving.inFlight, 0);
  const kinds = await Promise.all(calls);
  assert.deepEqual(
    kinds.filter((kind) => kind !== "whole" && kind !== "not-run"),
    [],
  );
  assert.equal(leaving.counts.calls, seen, "calls after its removal");
  // A call that was assigned during the drain notice can still connect.
  assert.deepEqual(
    fixture.results.filter((result) => result === "not-connected"),
    [],
  );
  assert.deepEqual(
    [...leaving.runs.listRepeated(), ...staying.runs.listRepeated()],
    [],
  );
});

test("a draining proxy finishes the calls in flight and closes connections after their responses", async (context) => {
  const upstream = await startUpstream();
  const fixture = await createProxyFixture({ ports: [upstream.port] });
  const agent = new Agent({ keepAlive: true });
  context.after(() => Promise.all([upstream.kill(), fixture.close()]));
  const idle = new Agent({ keepAlive: true });
  await sendCall(fixture.url, { agent: idle });
  const calls = Array.from(
    { length: 6 },
    (_, index) => sendCall(fixture.url, { path: `/${index}`, agent }),
  );
  // On a busy machine the calls reach the proxy later than in some milliseconds.
  while (fixture.proxy.callsInFlight === 0) {
    await nextTurn();
  }
  const drained = fixture.proxy.drain().then(() => fixture.listener.drain());
  // A call on a connection that was idle when the drain began is still answered.
  await sleep(100);
  const late = await sendCall(fixture.url, { path: "/late", agent: idle });
  assert.equal(describe(late, "/late"), "whole");
  await drained;
  assert.equal(fixture.proxy.callsInFlight, 0);
  const answers = await Promise.all(calls);
  answers.forEach((answer, index) => {
    assert.equal(describe(answer, `/${index}`), "whole");
    assert.equal(answer.headers.connection, "close");
  });
  assert.equal((await sendCall(fixture.url)).status, "cut");
});

test("the proxy forwards the remaining deadline and drops hop-by-hop headers", async (context) => {
  const seen: Record<string, unknown>[] = [];
  const server = createServer((request, response) => {
    seen.push(request.headers);
    response.writeHead(200, {
      "keep-alive": "timeout=9",
      "x-kept": "1",
      "connection": "x-private",
      "x-private": "1",
    });
    response.end();
  });
  await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
  context.after(() => {
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  const fixture = await createProxyFixture({ ports: [port] });
  context.after(() => fixture.close());
  const answer = await sendCall(fixture.url, {
    headers: {
      "guavarun-deadline-milliseconds": "700",
      connection: "x-hop",
      "x-hop": "1",
      "x-end": "1",
      te: "trailers",
    },
  });
  const [headers] = seen;
  const deadline = Number(headers["guavarun-deadline-milliseconds"]);
  assert.ok(deadline > 500 && deadline <= 700, `${deadline}`);
  assert.deepEqual(
    ["x-hop", "te", "x-end", "guavarun-customer"].map((name) => headers[name]),
    [undefined, undefined, "1", "hollister"],
  );
  assert.deepEqual(
    ["x-kept", "x-private"].map((name) => answer.headers[name]),
    ["1", undefined],
  );
});
