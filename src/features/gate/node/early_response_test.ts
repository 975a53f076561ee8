import assert from "node:assert/strict";
import { createServer, type Server, type Socket } from "node:net";
import { describe, test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { MONOTONIC_CLOCK } from "../../../base/node/system_clock.ts";
import {
  createInstanceConnection,
  type ExchangeOutcome,
} from "./instance_connection.ts";

const IDENTITY = "upload-1";
const HEAD = `HTTP/1.1 200 OK\r\nRequest-Identity: ${IDENTITY}\r\n`;
const PART = "a part";
const TIMEOUT_MS = 5_000;

/** Reads an upload until its last byte has arrived. */
function readUpload(socket: Socket, length: number): Promise<void> {
  return new Promise((resolve) => {
    let received = 0;
    socket.resume();
    socket.on("data", (data: Buffer) => {
      received += data.length;
      if (received >= length) {
        resolve();
      }
    });
  });
}

/** Listens until the end of the test. */
function listen(
  context: TestContext,
  respond: (socket: Socket) => Promise<void>,
): Promise<Server> {
  return new Promise((resolve) => {
    const server = createServer(
      { pauseOnConnect: true, allowHalfOpen: true },
      (socket) => {
        socket.on("error", () => {});
        context.after(() => socket.destroy());
        respond(socket);
      },
    );
    context.after(() => server.close());
    server.listen(0, "127.0.0.1", () => resolve(server));
  });
}

function upload(server: Server, body: Buffer): Promise<ExchangeOutcome> {
  const connection = createInstanceConnection({
    address: "127.0.0.1",
    port: (server.address() as { port: number }).port,
    clock: MONOTONIC_CLOCK,
    identityHeader: "request-identity",
    onClosed() {},
  });
  return new Promise((resolve) =>
    connection.exchange({
      requestIdentity: IDENTITY,
      head: "PUT / HTTP/1.1\r\nHost: a\r\n" +
        `Content-Length: ${body.length}\r\n\r\n`,
      body,
      isHead: false,
    }, resolve)
  );
}

interface Case {
  readonly name: string;
  /** Sends the response and ends the connection without reading the upload. */
  readonly respond: (socket: Socket) => Promise<void>;
}

const resetAfter = (delay: number): Case => ({
  name: `its own side ended, a reset after ${delay} ms`,
  async respond(socket) {
    socket.end(`${HEAD}\r\n${PART}`);
    await sleep(delay);
    socket.resetAndDestroy();
  },
});

const CASES: readonly Case[] = [
  {
    name: "a reset",
    async respond(socket) {
      socket.write(`${HEAD}\r\n${PART}`);
      await sleep(1);
      socket.resetAndDestroy();
    },
  },
  resetAfter(0),
  resetAfter(2),
  resetAfter(20),
];

// Guards against a part of a body that is relayed as a whole response: without a length, only the end of the
// connection tells that the response is complete, and an instance that resets the connection may end its side first.
describe("a response without a length to an upload that the instance has not read", () => {
  for (const kilobytes of [1, 64, 1_024, 3_072]) {
    for (const { name, respond } of CASES) {
      test(
        `${kilobytes} kB, ${name}`,
        { timeout: TIMEOUT_MS },
        async (context) => {
          const server = await listen(context, respond);
          const outcome = await upload(server, Buffer.alloc(kilobytes * 1_024));
          assert.equal(outcome.type, "broken");
        },
      );
    }
  }
});

describe("a response to an upload", () => {
  const complete = [
    { name: "without a length", framing: "Connection: close\r\n" },
    { name: "with a length", framing: `Content-Length: ${PART.length}\r\n` },
  ];
  for (const { name, framing } of complete) {
    for (const kilobytes of [1, 3_072]) {
      test(`${name} after ${kilobytes} kB were read is whole`, {
        timeout: TIMEOUT_MS,
      }, async (context) => {
        const length = kilobytes * 1_024;
        const server = await listen(context, async (socket) => {
          await readUpload(socket, length);
          socket.end(`${HEAD}${framing}\r\n${PART}`);
        });
        const outcome = await upload(server, Buffer.alloc(length));
        assert.ok(outcome.type === "response", JSON.stringify(outcome));
        assert.equal(String(outcome.response.body), PART);
      });
    }
  }

  test("with a length before the upload was read is whole", {
    timeout: TIMEOUT_MS,
  }, async (context) => {
    const server = await listen(context, async (socket) => {
      socket.write(`${HEAD}Content-Length: ${PART.length}\r\n\r\n${PART}`);
      await sleep(20);
      socket.resetAndDestroy();
    });
    const outcome = await upload(server, Buffer.alloc(3_072 * 1_024));
    assert.ok(outcome.type === "response", JSON.stringify(outcome));
    assert.equal(String(outcome.response.body), PART);
  });
});
