import assert from "node:assert/strict";
import { createServer, type Server, type Socket } from "node:net";
import { describe, test } from "node:test";
import { MONOTONIC_CLOCK } from "../../../base/node/system_clock.ts";
import {
  createInstanceConnection,
  type ExchangeOutcome,
} from "./instance_connection.ts";

const CLOSE_DELIMITED_HEAD =
  "HTTP/1.1 200 OK\r\nRequest-Identity: a\r\nConnection: close\r\n\r\n";
const RESPONSE_WITH_LENGTH =
  "HTTP/1.1 200 OK\r\nRequest-Identity: a\r\nContent-Length: 4\r\n\r\nbody";

interface Case {
  readonly name: string;
  readonly answer: (socket: Socket) => void;
  readonly outcome: string;
  readonly isReusable?: boolean;
}

/** Heads of responses to other requests that no response can follow. The connection then stays open. */
const UNMATCHED_ENDS: readonly {
  readonly name: string;
  readonly head: string;
}[] = [
  {
    name: "that ends with its connection",
    head: CLOSE_DELIMITED_HEAD.replace("Identity: a", "Identity: b"),
  },
  {
    name: "that ends with its connection, with a part of its body,",
    head: CLOSE_DELIMITED_HEAD.replace("Identity: a", "Identity: b") + "half",
  },
  {
    name: "that has no identity and ends with its connection",
    head: "HTTP/1.1 200 OK\r\n\r\nhalf",
  },
  {
    name: "with a length, incomplete, after which the connection closes,",
    head:
      "HTTP/1.1 200 OK\r\nRequest-Identity: b\r\nConnection: close\r\nContent-Length: 9\r\n\r\nhalf",
  },
];

const CASES: readonly Case[] = [
  {
    name: "a close-delimited response is complete after an orderly close",
    answer: (socket) => socket.end(`${CLOSE_DELIMITED_HEAD}whole`),
    outcome: "response whole",
  },
  {
    name: "a close-delimited response is incomplete after a reset",
    answer(socket) {
      socket.write(`${CLOSE_DELIMITED_HEAD}half`);
      setTimeout(() => socket.resetAndDestroy(), 20);
    },
    outcome: "broken",
  },
  {
    name: "a connection closed before the response leaves the outcome unknown",
    answer: (socket) => socket.end(),
    outcome: "broken",
  },
  {
    name: "a connection is reusable after a complete response",
    answer: (socket) => socket.write(RESPONSE_WITH_LENGTH),
    outcome: "response body",
    isReusable: true,
  },
  {
    name: "a connection with surplus bytes is not reusable",
    answer: (socket) => socket.write(`${RESPONSE_WITH_LENGTH}surplus`),
    outcome: "response body",
  },
  {
    name: "a response to another request is skipped",
    answer: (socket) =>
      socket.write(
        RESPONSE_WITH_LENGTH.replace("Identity: a", "Identity: b") +
          RESPONSE_WITH_LENGTH,
      ),
    outcome: "response body",
    isReusable: true,
  },
  ...UNMATCHED_ENDS.map(({ name, head }): Case => ({
    name: `a response to another request ${name} ends the exchange promptly`,
    answer: (socket) => socket.write(head),
    outcome: "broken",
  })),
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

describe("an exchange with an instance", () => {
  for (const { name, answer, outcome, isReusable = false } of CASES) {
    test(name, { timeout: 2_000 }, async (context) => {
      const server = await listen(answer);
      context.after(() => server.close());
      const { port } = server.address() as { port: number };
      const connection = createInstanceConnection({
        address: "127.0.0.1",
        port,
        clock: MONOTONIC_CLOCK,
        identityHeader: "request-identity",
        onClosed() {},
      });
      const result = await new Promise<ExchangeOutcome>((resolve) =>
        connection.exchange({
          requestIdentity: "a",
          head: "GET / HTTP/1.1\r\nHost: x\r\n\r\n",
          body: new Uint8Array(),
          isHead: false,
        }, resolve)
      );
      const text = result.type === "response"
        ? `response ${result.response.body}`
        : result.type;
      assert.equal(text, outcome);
      await new Promise((resolve) => setTimeout(resolve, 5));
      assert.equal(connection.isReusable(MONOTONIC_CLOCK.now()), isReusable);
      connection.dispose();
    });
  }

  test("a refused connection means that the request was not sent", async () => {
    const server = await listen(() => {});
    const { port } = server.address() as { port: number };
    await new Promise((resolve) => server.close(resolve));
    const connection = createInstanceConnection({
      address: "127.0.0.1",
      port,
      clock: MONOTONIC_CLOCK,
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
