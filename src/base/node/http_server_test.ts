import assert from "node:assert/strict";
import { connect, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { setImmediate as nextLoopIteration } from "node:timers/promises";
import type { Milliseconds } from "../common/milliseconds.ts";
import { type HttpListener, listenHttp, sendJson } from "./http_server.ts";

const TEST_TIMEOUT_MS: Milliseconds = 20_000;
const CONNECTIONS = 8;
const WORK_MS: Milliseconds = 2;
const FINISH_MS: Milliseconds = 1_000;
/** Longer than the time without requests after which a drain closes idle connections. */
const STALL_MS: Milliseconds = 1_500;
const REQUEST = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

function blockEventLoop(duration: Milliseconds): void {
  const deadline = performance.now() + duration;
  while (performance.now() < deadline);
}

async function openListener(
  context: TestContext,
  { keepsConnections = false } = {},
): Promise<HttpListener> {
  const listener = await listenHttp((_request, response) => {
    blockEventLoop(WORK_MS);
    sendJson(
      response,
      200,
      {},
      keepsConnections ? {} : { connection: "close" },
    );
  }, { address: "127.0.0.1", port: 0 });
  context.after(() => listener.close());
  return listener;
}

/** Sends a request as soon as the connection is open; resolves with the response status or the error code. */
function sendRequest(socket: Socket): Promise<string> {
  return new Promise((resolve) => {
    socket.once(
      "error",
      (error: NodeJS.ErrnoException) => resolve(error.code ?? error.message),
    );
    socket.once("close", () => resolve("closed"));
    socket.once("data", (bytes) => resolve(String(bytes).slice(9, 12)));
    socket.write(REQUEST);
  });
}

const STOPS: readonly {
  readonly name: string;
  readonly stop: (listener: HttpListener) => Promise<void>;
}[] = [
  { name: "drain", stop: (listener) => listener.drain() },
  { name: "finish", stop: (listener) => listener.finish(FINISH_MS) },
];

for (const { name, stop } of STOPS) {
  test(
    `${name}: connections in the accept queue when the listener closes are served, later ones are refused`,
    { timeout: TEST_TIMEOUT_MS },
    async (context) => {
      const listener = await openListener(context);
      const statuses = Array.from(
        { length: CONNECTIONS },
        () => sendRequest(connect(listener.port, "127.0.0.1")),
      );
      // The kernel establishes the connections in the next tick, before the event loop has accepted them.
      await Promise.resolve();
      const stopped = new Promise<void>((resolve, reject) =>
        process.nextTick(() => stop(listener).then(resolve, reject))
      );
      assert.deepEqual(
        await Promise.all(statuses),
        Array.from({ length: CONNECTIONS }, () => "200"),
      );
      await stopped;
      assert.equal(
        await sendRequest(connect(listener.port, "127.0.0.1")),
        "ECONNREFUSED",
      );
    },
  );
}

test(
  "drain: a request that arrived on an idle connection while the event loop was blocked gets a response",
  { timeout: TEST_TIMEOUT_MS },
  async (context) => {
    const listener = await openListener(context, { keepsConnections: true });
    const socket = connect(listener.port, "127.0.0.1");
    assert.equal(await sendRequest(socket), "200");
    const drained = listener.drain();
    while (listener.server.listening) {
      await nextLoopIteration();
    }
    const status = sendRequest(socket);
    blockEventLoop(STALL_MS);
    assert.equal(await status, "200");
    await drained;
  },
);
