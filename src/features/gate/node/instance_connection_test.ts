import assert from "node:assert/strict";
import { createServer, type Server, type Socket } from "node:net";
import { describe, test } from "node:test";
import { STEADY_CLOCK } from "../../../base/node/system_clock.ts";
import {
  createInstanceConnection,
  type ExchangeOutcome,
} from "./instance_connection.ts";

const UNFRAMED =
  "HTTP/1.1 200 OK\r\nRequest-Identity: a\r\nConnection: close\r\n\r\n";
const FRAMED =
  "HTTP/1.1 200 OK\r\nRequest-Identity: a\r\nContent-Length: 4\r\n\r\nbody";

interface Case {
  readonly name: string;
  readonly answer: (socket: Socket) => void;
  readonly outcome: string;
  readonly isReusable?: boolean;
}

const CASES: readonly Case[] = [
  {
    name:
      "an answer without a length whose connection ends in order is complete",
    answer: (socket) => socket.end(`${UNFRAMED}whole`),
    outcome: "response whole",
  },
  {
    name:
      "an answer without a length whose connection is reset is not complete",
    answer(socket) {
      socket.write(`${UNFRAMED}half`);
      setTimeout(() => socket.resetAndDestroy(), 20);
    },
    outcome: "broken",
  },
  {
    name: "a connection that ends before an answer leaves the outcome unknown",
    answer: (socket) => socket.end(),
    outcome: "broken",
  },
  {
    name: "a connection is used again after a whole answer",
    answer: (socket) => socket.write(FRAMED),
    outcome: "response body",
    isReusable: true,
  },
  {
    name: "a connection with surplus bytes is not used again",
    answer: (socket) => socket.write(`${FRAMED}surplus`),
    outcome: "response body",
  },
  {
    name: "an answer to another request is passed over",
    answer: (socket) =>
      socket.write(FRAMED.replace("Identity: a", "Identity: b") + FRAMED),
    outcome: "response body",
    isReusable: true,
  },
];

function listen(answer: (socket: Socket) => void): Promise<Server> {
  return new Promise((resolve) => {
    const server = createServer((socket) => {
      socket.on("error", () => {});
      socket.once("data", () => answer(socket));
    });
    server.listen(0, "127.0.0.1", () => resolve(server));
  });
}

describe("one exchange with an instance", () => {
  for (const { name, answer, outcome, isReusable = false } of CASES) {
    test(name, async () => {
      const server = await listen(answer);
      const { port } = server.address() as { port: number };
      const connection = createInstanceConnection({
        address: "127.0.0.1",
        port,
        clock: STEADY_CLOCK,
        identityHeader: "request-identity",
        onClosed() {},
      });
      const ended = await new Promise<ExchangeOutcome>((resolve) =>
        connection.exchange({
          requestIdentity: "a",
          head: "GET / HTTP/1.1\r\nHost: x\r\n\r\n",
          body: new Uint8Array(),
          isHead: false,
        }, resolve)
      );
      const text = ended.type === "response"
        ? `response ${ended.response.body}`
        : ended.type;
      assert.equal(text, outcome);
      await new Promise((resolve) => setTimeout(resolve, 5));
      assert.equal(connection.isReusable(STEADY_CLOCK.now()), isReusable);
      connection.dispose();
      server.close();
    });
  }

  test("a refused connection means that the request was not sent", async () => {
    const server = await listen(() => {});
    const { port } = server.address() as { port: number };
    await new Promise((resolve) => server.close(resolve));
    const connection = createInstanceConnection({
      address: "127.0.0.1",
      port,
      clock: STEADY_CLOCK,
      identityHeader: "request-identity",
      onClosed() {},
    });
    const ended = await new Promise<ExchangeOutcome>((resolve) =>
      connection.exchange({
        requestIdentity: "a",
        head: "GET / HTTP/1.1\r\nHost: x\r\n\r\n",
        body: new Uint8Array(),
        isHead: false,
      }, resolve)
    );
    assert.equal(ended.type, "not-sent");
  });
});
