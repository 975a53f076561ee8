import assert from "node:assert/strict";
import { createServer, request } from "node:http";
import type { AddressInfo } from "node:net";
import { test, type TestContext } from "node:test";
import { createRandomSource } from "../../../base/common/random_source.ts";
import { createHttpClient } from "../../../base/node/http_client.ts";
import { SYSTEM_CLOCK } from "../../../base/node/system_clock.ts";
import { createMemoryLog, type LogFaults } from "../common/memory_log.ts";
import { createMemoryLogClient } from "../common/memory_log_client.ts";
import { createHttpLogClient } from "./http_log_client.ts";
import { listenLogServer } from "./log_server.ts";

const RECORD = Uint8Array.of(1, 2, 3);

async function startServer(
  context: TestContext,
  options: { appendsPerSecond?: number } = {},
) {
  const log = createMemoryLog({ random: createRandomSource(1), ...options });
  const server = await listenLogServer({
    log,
    clock: SYSTEM_CLOCK,
    address: "127.0.0.1",
    port: 0,
  });
  const url = `http://127.0.0.1:${server.port}`;
  const client = createHttpLogClient({ url, timeoutMilliseconds: 200 });
  context.after(() => {
    client.dispose();
    server.dispose();
  });
  return { log, url, client };
}

test("the log in memory applies the platform's retention and append rate limit, so that readers are tested with them", () => {
  const log = createMemoryLog({
    random: createRandomSource(1),
    retentionMilliseconds: 1_000,
    appendsPerSecond: 2,
  });
  const kinds = [0, 0, 0, 500, 1_400].map((now) =>
    log.append("configuration", RECORD, now).kind
  );
  assert.deepEqual(kinds, [
    "appended",
    "appended",
    "rate-limited",
    "appended",
    "appended",
  ]);
  const page = log.read("configuration", { from: 0, now: 1_600 });
  assert.equal(page?.first, 3);
  assert.equal(page?.next, 4);
  assert.deepEqual(page?.entries.map((entry) => entry.offset), [3]);
});

test(
  "the outcome of a failed append is 'not-run' only if the log has not stored the record",
  { timeout: 10_000 },
  async (context) => {
    const cases: {
      name: string;
      faults: Partial<LogFaults>;
      outcome: string;
      kept: number;
    }[] = [
      { name: "none", faults: {}, outcome: "ok", kept: 1 },
      { name: "down", faults: { isDown: true }, outcome: "not-run", kept: 0 },
      {
        name: "lost answer",
        faults: { lostAnswerShare: 1 },
        outcome: "unknown",
        kept: 1,
      },
      {
        name: "slow",
        faults: { delayMilliseconds: 400 },
        outcome: "unknown",
        kept: 1,
      },
    ];
    for (const { name, faults, outcome, kept } of cases) {
      const { log, client } = await startServer(context);
      log.setFaults(faults);
      const inMemory = createMemoryLogClient({
        log,
        clock: SYSTEM_CLOCK,
        timeoutMilliseconds: 200,
      });
      for (const [index, tested] of [client, inMemory].entries()) {
        const answer = await tested.append("configuration", RECORD);
        assert.equal(answer.ok ? "ok" : answer.val.outcome, outcome, name);
        log.setFaults({ isDown: false });
        const page = log.read("configuration", { from: 0, now: Date.now() });
        assert.equal(page?.entries.length, kept * (index + 1), name);
        log.setFaults(faults);
      }
    }
    const refused = createHttpLogClient({ url: "http://127.0.0.1:1" });
    const answer = await refused.append("configuration", RECORD);
    assert.equal(answer.err && answer.val.outcome, "not-run");
    refused.dispose();
  },
);

test(
  "only a status that proves a refusal has the outcome 'not-run', so that no stored record is appended twice",
  { timeout: 10_000 },
  async (context) => {
    let status = 200;
    const server = createServer((incoming, outgoing) => {
      incoming.resume().on("end", () => {
        outgoing.writeHead(status);
        outgoing.end();
      });
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    const { port } = server.address() as AddressInfo;
    const client = createHttpLogClient({ url: `http://127.0.0.1:${port}` });
    context.after(() => {
      client.dispose();
      server.close();
      server.closeAllConnections();
    });
    const outcomes: Record<string, readonly number[]> = {
      "not-run": [400, 404, 405, 413, 429, 503],
      // An empty answer, a redirect, and errors that may occur after the append has taken effect.
      "unknown": [200, 202, 302, 408, 500, 502, 504],
    };
    for (const [outcome, statuses] of Object.entries(outcomes)) {
      for (status of statuses) {
        const answer = await client.append("configuration", RECORD);
        assert.equal(answer.err && answer.val.outcome, outcome, `${status}`);
      }
    }
  },
);

test(
  "a long poll returns as soon as an entry is appended",
  { timeout: 10_000 },
  async (context) => {
    const { client } = await startServer(context);
    const startedAt = Date.now();
    const waiting = client.read("configuration", 0, {
      waitMilliseconds: 3_000,
    });
    await new Promise((resolve) => setTimeout(resolve, 50));
    (await client.append("configuration", RECORD)).unwrap();
    const page = (await waiting).unwrap();
    assert.deepEqual([...page.entries[0].record], [...RECORD]);
    assert.ok(Date.now() - startedAt < 2_000);
  },
);

test(
  "the server refuses invalid requests without changing the log",
  { timeout: 10_000 },
  async (context) => {
    const { log, url } = await startServer(context, { appendsPerSecond: 1 });
    const http = createHttpClient();
    const cases = [
      { path: "/streams/other", status: 404 },
      { path: "/streams/configuration?from=-1", status: 400 },
      { path: "/streams/configuration", method: "PUT", status: 405 },
      { path: "/faults", method: "POST", body: "{", status: 400 },
      { path: "/faults", method: "POST", body: `{"isdown":true}`, status: 400 },
      { path: "/faults", method: "POST", body: `{"isDown":true}`, status: 200 },
      { path: "/streams/configuration", status: 503 },
      {
        path: "/faults",
        method: "POST",
        body: `{"isDown":false}`,
        status: 200,
      },
      {
        path: "/streams/configuration",
        method: "POST",
        body: "r",
        status: 200,
      },
      {
        path: "/streams/configuration",
        method: "POST",
        body: "r",
        status: 429,
      },
    ];
    for (const { path, status, method, body } of cases) {
      const answer = await http.send({
        step: "test",
        url: url + path,
        method,
        body,
      });
      assert.equal(answer.unwrap().status, status, `${method} ${path}`);
    }
    assert.equal(await postOversizedBody(`${url}/streams/configuration`), 413);
    assert.equal(
      log.read("configuration", { from: 0, now: Date.now() })?.next,
      1,
    );
    http.dispose();
  },
);

function postOversizedBody(url: string): Promise<number | undefined> {
  return new Promise((resolve) => {
    const outgoing = request(url, { method: "POST" }, (incoming) => {
      resolve(incoming.statusCode);
      outgoing.destroy();
    });
    outgoing.on("error", () => resolve(undefined));
    outgoing.end(new Uint8Array(1024 * 1024 + 1));
  });
}
