import assert from "node:assert/strict";
import { connect, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { sendEndlessBytes } from "./endless_writer.ts";
import { type HttpHandler, listenHttp, sendJson } from "./http_server.ts";
import { limitRemainingBody } from "./remaining_body.ts";

const HEAD = "POST / HTTP/1.1\r\nHost: x\r\n";
const CHUNKED = `${HEAD}Transfer-Encoding: chunked\r\n\r\n`;

async function open(
  context: TestContext,
  handler: HttpHandler,
): Promise<{ readonly socket: Socket; readonly received: () => string }> {
  const listener = await listenHttp(handler, { address: "127.0.0.1", port: 0 });
  const socket = connect(listener.port, "127.0.0.1");
  let text = "";
  socket.on("data", (bytes) => text += bytes);
  // The server closes the connection while the client sends.
  socket.on("error", () => {});
  context.after(async () => {
    socket.destroy();
    await listener.close();
  });
  return { socket, received: () => text };
}

test(
  "the connection of a client that keeps sending an endless body after the response is closed",
  {
    timeout: 20_000,
  },
  async (context) => {
    const { socket, received } = await open(context, (request, response) => {
      request.resume();
      sendJson(response, 413, {});
    });
    sendEndlessBytes(socket, { start: CHUNKED, unit: "4\r\nbody\r\n" });
    while (!socket.destroyed) {
      await sleep(10);
    }
    assert.match(received(), /^HTTP\/1.1 413 /);
  },
);

test(
  "the connection of a client that slowly sends an endless body after the response is closed",
  {
    timeout: 20_000,
  },
  async (context) => {
    const { socket, received } = await open(context, (request, response) => {
      limitRemainingBody(request, response, {
        timeoutMilliseconds: 100,
        maximumBytes: Infinity,
      });
      request.resume();
      sendJson(response, 413, {});
    });
    socket.write(CHUNKED);
    const timer = setInterval(() => socket.write("1\r\nb\r\n"), 10);
    context.after(() => clearInterval(timer));
    while (!socket.destroyed) {
      await sleep(10);
    }
    assert.match(received(), /^HTTP\/1.1 413 /);
  },
);

test("a connection whose request body ends soon after the response is kept", {
  timeout: 20_000,
}, async (context) => {
  const { socket, received } = await open(context, (request, response) => {
    limitRemainingBody(request, response, {
      timeoutMilliseconds: 200,
      maximumBytes: 100,
    });
    request.resume();
    sendJson(response, 413, {});
  });
  socket.write(`${HEAD}Content-Length: 4\r\n\r\nbo`);
  await sleep(50);
  socket.write("dy");
  await sleep(400);
  socket.write(`${HEAD}Content-Length: 0\r\n\r\n`);
  while (received().split("413 ").length < 3) {
    assert.ok(!socket.destroyed);
    await sleep(10);
  }
});
