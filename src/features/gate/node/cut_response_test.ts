import assert from "node:assert/strict";
import { createServer, type Server, type Socket } from "node:net";
import { describe, test } from "node:test";
import { MONOTONIC_CLOCK } from "../../../base/node/system_clock.ts";
import {
  createInstanceConnection,
  type ExchangeOutcome,
  type InstanceConnection,
} from "./instance_connection.ts";

type Framing = "length" | "chunked" | "none";

const HEADS: Readonly<Record<Framing, string>> = {
  length: "Content-Length: 12\r\n",
  chunked: "Transfer-Encoding: chunked\r\n",
  none: "Connection: close\r\n",
};
const BODIES: Readonly<Record<Framing, string>> = {
  length: "twelve bytes",
  chunked: "6\r\ntwelve\r\n6\r\n bytes\r\n0\r\n\r\n",
  none: "twelve bytes",
};
const BODY = "twelve bytes";

function createResponse(framing: Framing, identity: string) {
  const head = `HTTP/1.1 200 OK\r\nRequest-Identity: ${identity}\r\n` +
    `Server: instance\r\n${HEADS[framing]}\r\n`;
  return { head, whole: head + BODIES[framing] };
}

/** Listens with an instance that passes each request to `respond`, with its number on the connection. */
function listen(
  respond: (socket: Socket, requestNumber: number) => void,
): Promise<Server> {
  return new Promise((resolve) => {
    const server = createServer((socket) => {
      let requests = 0;
      socket.on("error", () => {});
      socket.on("data", (data: Buffer) => {
        // A write that checks whether the connection was reset is an empty line.
        if (data.toString().startsWith("GET")) {
          requests += 1;
          respond(socket, requests);
        }
      });
    });
    server.listen(0, "127.0.0.1", () => resolve(server));
  });
}

function exchange(
  connection: InstanceConnection,
  requestIdentity: string,
): Promise<ExchangeOutcome> {
  return new Promise((resolve) =>
    connection.exchange({
      requestIdentity,
      head: "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
      body: Buffer.alloc(0),
      isHead: false,
    }, resolve)
  );
}

function connectTo(server: Server): InstanceConnection {
  return createInstanceConnection({
    address: "127.0.0.1",
    port: (server.address() as { port: number }).port,
    clock: MONOTONIC_CLOCK,
    identityHeader: "request-identity",
    onClosed() {},
  });
}

function describeOutcome(outcome: ExchangeOutcome): string {
  return outcome.type === "response"
    ? `${outcome.response.status} ${outcome.response.body}`
    : outcome.type;
}

const WHOLE = `200 ${BODY}`;

// Guards against a response that stops in its head or its body and is relayed as a whole one.
describe("a response that ends early is not taken for a whole one", () => {
  for (const framing of ["length", "chunked", "none"] as const) {
    for (const isKept of [false, true]) {
      const { head, whole } = createResponse(framing, "last");
      test(`${framing === "none" ? "no framing" : framing}, on a ${isKept ? "kept" : "fresh"} connection, at each of ${whole.length} positions`, async (context) => {
        for (let length = 0; length <= whole.length; length += 1) {
          const server = await listen((socket, requestNumber) => {
            if (isKept && requestNumber === 1) {
              socket.write(createResponse("length", "first").whole);
            } else {
              socket.end(whole.slice(0, length));
            }
          });
          const connection = connectTo(server);
          if (isKept) {
            const first = await exchange(connection, "first");
            assert.equal(describeOutcome(first), WHOLE);
          }
          const outcome = describeOutcome(await exchange(connection, "last"));
          if (length === whole.length) {
            assert.equal(outcome, WHOLE);
          } else if (framing === "none" && length >= head.length) {
            // Its end is the end of the connection, so any body is whole.
            assert.equal(outcome, `200 ${whole.slice(head.length, length)}`);
          } else {
            assert.equal(outcome, "broken", `after ${length} bytes`);
          }
          connection.dispose();
          server.close();
        }
        context.diagnostic(`${whole.length + 1} positions`);
      });
    }
  }
});

// Guards against a refusal of an earlier request that is taken for the response to a later one.
describe("a refusal that is sent once more on a kept connection", () => {
  const refuse = (identity: string | undefined, extra = "") =>
    "HTTP/1.1 503 Service Unavailable\r\nRefused: full\r\n" +
    (identity === undefined ? "" : `Request-Identity: ${identity}\r\n`) +
    `${extra}Content-Length: 0\r\n\r\n`;
  const ran = createResponse("length", "later").whole;
  const cases = [
    {
      name: "before the response to a later request",
      respond: (socket: Socket) => socket.write(refuse("earlier") + ran),
      outcome: WHOLE,
    },
    {
      name: "several times before it",
      respond: (socket: Socket) =>
        socket.write(refuse("earlier").repeat(3) + ran),
      outcome: WHOLE,
    },
    {
      name: "without an identity before it",
      respond: (socket: Socket) => socket.write(refuse(undefined) + ran),
      outcome: WHOLE,
    },
    {
      name: "with another identity that contains that of the later request",
      respond: (socket: Socket) => socket.write(refuse("later-1") + ran),
      outcome: WHOLE,
    },
    {
      name: "in place of the response",
      respond: (socket: Socket) => socket.end(refuse("earlier")),
      outcome: "broken",
    },
    {
      name: "and ends the connection",
      respond: (socket: Socket) =>
        socket.write(refuse("earlier", "Connection: close\r\n")),
      outcome: "broken",
    },
    {
      name: "cut in the middle, in place of the response",
      respond: (socket: Socket) => socket.end(refuse("earlier").slice(0, 50)),
      outcome: "broken",
    },
  ];
  for (const { name, respond, outcome } of cases) {
    test(`${name}: the later request does not count as refused`, async (context) => {
      const server = await listen((socket, requestNumber) => {
        if (requestNumber === 1) {
          socket.write(refuse("earlier"));
        } else {
          respond(socket);
        }
      });
      context.after(() => server.close());
      const connection = connectTo(server);
      context.after(() => connection.dispose());
      assert.equal(
        describeOutcome(await exchange(connection, "earlier")),
        "503 ",
      );
      const later = await exchange(connection, "later");
      assert.equal(describeOutcome(later), outcome);
    });
  }

  test("while no request waits: the connection is not used again", async (context) => {
    const server = await listen((socket) =>
      socket.write(refuse("earlier") + refuse("earlier"))
    );
    context.after(() => server.close());
    const connection = connectTo(server);
    await exchange(connection, "earlier");
    assert.equal(connection.isReusable(MONOTONIC_CLOCK.now()), false);
    connection.dispose();
  });
});
