import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { connect } from "node:net";
import { once } from "node:events";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import {
  createProxyFixture,
  FIXTURE_CUSTOMER,
  LOOPBACK,
  type ProxyFixture,
  sendCall,
} from "./proxy_fixture.ts";

const WORK_MS = 300;
/** Covers the notice time and the calls that are in flight after it. */
const DRAIN_LIMIT_MS = 3_000;

async function startProxy(
  context: TestContext,
): Promise<{ fixture: ProxyFixture; runs: string[] }> {
  const runs: string[] = [];
  const upstream = createServer((request, response) => {
    runs.push(request.url ?? "");
    setTimeout(() => response.end(`${request.url}`), WORK_MS);
  });
  upstream.listen(0, LOOPBACK);
  await once(upstream, "listening");
  const fixture = await createProxyFixture({
    ports: [(upstream.address() as AddressInfo).port],
  });
  context.after(async () => {
    await fixture.close();
    upstream.closeAllConnections();
    upstream.close();
  });
  return { fixture, runs };
}

test(
  "a drain ends while callers keep calling, and every call that ran is answered and every other one is refused",
  { timeout: 10_000 },
  async (context) => {
    const { fixture, runs } = await startProxy(context);
    const answers: Promise<{ path: string; status: number | "cut" }>[] = [];
    let number = 0;
    const timer = setInterval(() => {
      const path = `/${number += 1}`;
      answers.push(
        sendCall(fixture.url, { path }).then(({ status }) => ({
          path,
          status,
        })),
      );
    }, 50);
    context.after(() => clearInterval(timer));
    await sleep(200);
    const outcome = await Promise.race([
      fixture.proxy.drain().then(() => "drained"),
      sleep(DRAIN_LIMIT_MS, "not drained", { ref: false }),
    ]);
    clearInterval(timer);
    assert.equal(outcome, "drained");
    const ended = await Promise.all(answers);
    const wrong = ended.filter(({ path, status }) =>
      status !== (runs.includes(path) ? 200 : 503)
    );
    assert.deepEqual(wrong, []);
    assert.ok(ended.some(({ status }) => status === 503));
  },
);

test(
  "pipelined calls that were read before a drain are answered",
  { timeout: 10_000 },
  async (context) => {
    const { fixture, runs } = await startProxy(context);
    const socket = connect(fixture.listener.port, LOOPBACK);
    context.after(() => socket.destroy());
    let text = "";
    socket.on("data", (bytes: Buffer) => text += bytes.toString());
    for (const path of ["/1", "/2", "/3"]) {
      socket.write(
        `GET ${path} HTTP/1.1\r\nhost: h\r\nguavarun-customer: ${FIXTURE_CUSTOMER}\r\n\r\n`,
      );
    }
    while (runs.length < 3) {
      await sleep(5);
    }
    const drained = fixture.proxy.drain();
    await once(socket, "close");
    await drained;
    assert.equal(text.match(/HTTP\/1.1 200/g)?.length, 3);
    assert.equal(text.match(/connection: close/gi)?.length, 1);
  },
);
