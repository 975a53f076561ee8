import assert from "node:assert/strict";
import { Agent } from "node:http";
import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import {
  createProxyFixture,
  type FixtureCall,
  type FixtureOptions,
  LOOPBACK,
  sendCall,
} from "../../features/attempt/node/proxy_fixture.ts";
import {
  GOOD_BEHAVIOUR,
  type UpstreamBehaviour,
} from "../common/upstream_behaviour.ts";
import {
  startUpstreamStandIn,
  type UpstreamSettings,
} from "./upstream_stand_in.ts";

async function startUpstream(
  context: TestContext,
  fault: Partial<UpstreamBehaviour> = {},
  settings: Partial<UpstreamSettings> = {},
) {
  const upstream = await startUpstreamStandIn({
    service: "booking",
    version: "v1",
    address: LOOPBACK,
    port: 0,
    slots: 16,
    behaviour: { ...GOOD_BEHAVIOUR, ...fault },
    ...settings,
  });
  context.after(() => upstream.kill());
  return upstream;
}

async function startProxy(context: TestContext, options: FixtureOptions) {
  const fixture = await createProxyFixture(options);
  context.after(() => fixture.close());
  return fixture;
}

function createAgent(context: TestContext, maxSockets = 32): Agent {
  const agent = new Agent({ keepAlive: true, maxSockets });
  context.after(() => agent.destroy());
  return agent;
}

/** Starts an upstream that writes raw bytes, for faults that an HTTP server does not produce. */
async function startRawUpstream(
  context: TestContext,
  onRequest: (socket: Socket, path: string, sockets: Set<Socket>) => void,
) {
  const sockets = new Set<Socket>();
  const server: Server = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => {});
    socket.on("close", () => sockets.delete(socket));
    socket.on(
      "data",
      (data) =>
        onRequest(socket, data.toString("latin1").split(" ")[1], sockets),
    );
  });
  await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
  context.after(() => {
    sockets.forEach((socket) => socket.destroy());
    server.close();
  });
  return { port: (server.address() as AddressInfo).port, sockets };
}

function answerRaw(socket: Socket, text: string): void {
  socket.write(
    `HTTP/1.1 200 OK\r\ncontent-length: ${text.length}\r\n\r\n${text}`,
  );
}

function bodyOf(answer: Awaited<ReturnType<typeof sendCall>>): string {
  return answer.status === "cut" ? "(cut)" : answer.body;
}

/** Shorter than the 4 s after which a pool closes any idle connection. */
const WAIT_LIMIT_MS = 2_000;

/** Waits for a condition that holds almost immediately on an idle machine. */
async function waitUntil(condition: () => boolean): Promise<void> {
  const limit = Date.now() + WAIT_LIMIT_MS;
  while (!condition()) {
    assert.ok(Date.now() < limit, `${condition} was not true in time`);
    await sleep(5);
  }
}

test("a late response never reaches another call: slow calls time out while others share the connections", async (context) => {
  const upstream = await startUpstream(context, {
    fault: "slow",
    share: 0.2,
    slowMilliseconds: 220,
  });
  const fixture = await startProxy(context, {
    ports: [upstream.port],
    route: { deadlineMilliseconds: 200 },
    retryShare: 0,
  });
  const agent = createAgent(context, 8);
  const answers = await Promise.all(
    Array.from(
      { length: 300 },
      (_, index) =>
        sleep(index * 4).then(() =>
          sendCall(fixture.url, {
            path: `/units/${index}`,
            agent,
            headers: { "idempotency-key": `${index}` },
          })
        ),
    ),
  );
  answers.forEach((answer, index) => {
    if (answer.status === 200) {
      assert.equal(JSON.parse(answer.body).path, `/units/${index}`);
    } else {
      // A call that got no free connection was refused before it was sent.
      const ran = upstream.runs.runsOf(`${index}`) > 0;
      const outcome = answer.headers["guavarun-outcome"];
      assert.ok(outcome === "unknown" || (outcome === "not-run" && !ran));
    }
  });
  const whole = answers.filter(({ status }) => status === 200).length;
  assert.ok(whole > 150 && whole < 300, `${whole} whole answers`);
});

test("a response that arrives on an idle connection is delivered to no call", async (context) => {
  const upstream = await startRawUpstream(context, (socket, path, sockets) => {
    if (path === "/late") {
      // The response arrives after the deadline, also on the connections of other calls.
      setTimeout(() => {
        sockets.forEach((other) => answerRaw(other, "late"));
      }, 800);
      return;
    }
    answerRaw(socket, path);
  });
  const fixture = await startProxy(context, {
    ports: [upstream.port],
    route: { deadlineMilliseconds: 500 },
    retryShare: 0,
  });
  const late = sendCall(fixture.url, { path: "/late" });
  await sleep(550);
  // Opens a connection that is idle when the late response arrives.
  assert.equal(bodyOf(await sendCall(fixture.url, { path: "/a" })), "/a");
  assert.equal((await late).status, 504);
  // A connection with unexpected bytes is closed, because more may follow.
  await waitUntil(() => upstream.sockets.size === 0);
  assert.equal(bodyOf(await sendCall(fixture.url, { path: "/b" })), "/b");
});

test("a timeout replaces the other idle connections to the upstream, which may be unresponsive too", async (context) => {
  const upstream = await startRawUpstream(context, (socket, path) => {
    if (path !== "/silent") {
      setTimeout(() => answerRaw(socket, path), 20);
    }
  });
  const fixture = await startProxy(context, {
    ports: [upstream.port],
    route: { deadlineMilliseconds: 1_000 },
    retryShare: 0,
  });
  await Promise.all(
    ["/a", "/b", "/c"].map((path) => sendCall(fixture.url, { path })),
  );
  // Idle connections are kept and reused.
  for (let index = 0; index < 20; index += 1) {
    assert.equal(bodyOf(await sendCall(fixture.url, { path: "/e" })), "/e");
  }
  assert.equal(upstream.sockets.size, 3);
  assert.equal((await sendCall(fixture.url, { path: "/silent" })).status, 504);
  await waitUntil(() => upstream.sockets.size === 0);
  assert.equal(bodyOf(await sendCall(fixture.url, { path: "/d" })), "/d");
});

test("while an upstream is unresponsive, stale responses are served within the limit to the same customer only", async (context) => {
  const upstream = await startUpstream(context);
  const fixture = await startProxy(context, {
    ports: [upstream.port],
    route: { deadlineMilliseconds: 300, stalenessMilliseconds: 3_000 },
  });
  const fresh = await sendCall(fixture.url, { path: "/units" });
  upstream.setBehaviour({ fault: "silent" });
  const stale = await sendCall(fixture.url, { path: "/units" });
  assert.equal(bodyOf(stale), bodyOf(fresh));
  assert.equal(stale.headers.age, "0");
  assert.match(stale.headers.warning ?? "", /^110 /);
  const others: FixtureCall[] = [
    { headers: { "guavarun-customer": "mto" } },
    { headers: { authorization: "x" } },
    { path: "/units?day=2" },
  ];
  for (const call of others) {
    const answer = await sendCall(fixture.url, { path: "/units", ...call });
    assert.equal(answer.status, 504, JSON.stringify(call));
    assert.equal(answer.headers["guavarun-outcome"], "unknown");
  }
  await sleep(3_000);
  assert.equal((await sendCall(fixture.url, { path: "/units" })).status, 504);
});

test("an upstream that fails in the middle of a response never leads to a truncated one", async (context) => {
  const broken = await startUpstream(context, { fault: "cut" });
  const good = await startUpstream(context);
  const cases = [
    // Small responses are buffered, so the call can be retried at another instance.
    { ports: [broken.port, good.port], path: "/a", status: 200 },
    // The head of a large response has already been forwarded.
    { ports: [broken.port], path: "/a?bytes=300000", status: "cut" },
    { ports: [broken.port], path: "/a", status: 502 },
  ];
  for (const { ports, path, status } of cases) {
    const fixture = await startProxy(context, { ports });
    for (let index = 0; index < 4; index += 1) {
      const answer = await sendCall(fixture.url, { path });
      assert.equal(answer.status, status, path);
    }
  }
});

interface ClassCase {
  readonly name: string;
  readonly callClass: "read" | "idempotent" | "non-idempotent";
  readonly fault: Partial<UpstreamBehaviour>;
  readonly slots: number;
  readonly status: number;
  readonly outcome?: string;
  readonly claim?: string;
}

test("a non-idempotent call is retried only when it certainly did not run", async (context) => {
  const cases: ClassCase[] = [
    {
      name: "shed",
      callClass: "non-idempotent",
      fault: {},
      slots: 0,
      status: 200,
      claim: "complete",
    },
    {
      name: "error",
      callClass: "non-idempotent",
      fault: { fault: "fail" },
      slots: 9,
      status: 500,
      claim: "complete",
    },
    {
      name: "cut",
      callClass: "non-idempotent",
      fault: { fault: "cut" },
      slots: 9,
      status: 502,
      outcome: "unknown",
      claim: "abandon",
    },
    {
      name: "silent",
      callClass: "non-idempotent",
      fault: { fault: "silent" },
      slots: 9,
      status: 504,
      outcome: "unknown",
      claim: "abandon",
    },
    {
      name: "error",
      callClass: "idempotent",
      fault: { fault: "fail" },
      slots: 9,
      status: 200,
    },
  ];
  for (
    const { name, callClass, fault, slots, status, outcome, claim } of cases
  ) {
    const broken = await startUpstream(context, fault, { slots });
    const good = await startUpstream(context);
    // The rotating router starts with the second port.
    const fixture = await startProxy(context, {
      ports: [good.port, broken.port],
      route: { callClass, deadlineMilliseconds: 200 },
    });
    const answer = await sendCall(fixture.url, {
      method: "POST",
      headers: { "idempotency-key": `tacoma.${name}` },
      body: Buffer.from("order"),
    });
    const label = `${callClass} ${name}`;
    assert.equal(answer.status, status, label);
    assert.equal(answer.headers["guavarun-outcome"], outcome, label);
    const runs = [broken, good].reduce(
      (sum, upstream) => sum + upstream.runs.runs,
      0,
    );
    assert.equal(runs, callClass === "idempotent" ? 2 : 1, label);
    await sleep(5);
    assert.deepEqual(fixture.claims, claim === undefined ? [] : [claim], label);
  }
});

test("a refusal says not-run only when no attempt may have run", async (context) => {
  const silent = await startUpstream(context, { fault: "cut" });
  const full = await startUpstream(context, {}, { slots: 0 });
  const cases = [
    { ports: [full.port], outcome: "not-run", status: 503 },
    // The attempt at one instance may have run; the other one shed its attempt.
    { ports: [full.port, silent.port], outcome: "unknown", status: 503 },
    { ports: [1], outcome: "not-run", status: 503 },
    { ports: [], outcome: "not-run", status: 503 },
  ];
  for (const { ports, outcome, status } of cases) {
    const fixture = await startProxy(context, { ports });
    const answer = await sendCall(fixture.url);
    assert.equal(answer.status, status, `${ports}`);
    assert.equal(answer.headers["guavarun-outcome"], outcome, `${ports}`);
  }
});

test("the retry budget limits retries, and failed calls tell the layers above not to retry", async (context) => {
  const ports: number[] = [];
  for (let index = 0; index < 3; index += 1) {
    ports.push((await startUpstream(context, { fault: "fail" })).port);
  }
  const fixture = await startProxy(context, { ports, retryShare: 0.1 });
  for (let index = 0; index < 100; index += 1) {
    const answer = await sendCall(fixture.url);
    assert.equal(answer.status, 500);
    assert.equal(answer.headers["guavarun-retry"], "never");
  }
  assert.equal(fixture.proxy.counts.attempts, 110);
});

test("uploads arrive complete, oversized ones are refused, abandoned calls are cancelled at the upstream", async (context) => {
  const upstream = await startUpstream(context, {}, {
    serviceMilliseconds: 150,
  });
  const fixture = await startProxy(context, {
    ports: [upstream.port],
    route: { callClass: "idempotent", deadlineMilliseconds: 5_000 },
  });
  const body = Buffer.alloc(5_000_000, 7);
  const upload = await sendCall(fixture.url, { method: "POST", body });
  assert.equal(JSON.parse(bodyOf(upload)).receivedBytes, body.length);
  const refused = await sendCall(fixture.url, {
    method: "POST",
    headers: { "content-length": String(2 ** 31) },
    abandonAfterMilliseconds: 1_000,
  });
  assert.equal(refused.status, 413);
  assert.equal(refused.headers["guavarun-outcome"], "not-run");
  const tooSlow = await sendCall(fixture.url, {
    method: "POST",
    headers: { "content-length": "9", "guavarun-deadline-milliseconds": "50" },
    agent: createAgent(context),
    abandonAfterMilliseconds: 1_000,
  });
  assert.equal(tooSlow.status, 504);
  assert.equal(tooSlow.headers["guavarun-outcome"], "not-run");
  await sendCall(fixture.url, { abandonAfterMilliseconds: 60 });
  await sleep(50);
  assert.equal(upstream.counts.cancelled, 1);
  assert.equal(fixture.results.at(-1), "cancelled");
});
