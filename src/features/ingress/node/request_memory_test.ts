import assert from "node:assert/strict";
import { connect, type Socket } from "node:net";
import { after, before, beforeEach, describe, test } from "node:test";
import {
  type HttpListener,
  listenHttp,
} from "../../../base/node/http_server.ts";
import { createFixtureIngress } from "./ingress_fixture.ts";

const MIB = 1024 * 1024;
/** The usual limit of a request body. */
const MAXIMUM_BODY_BYTES = 64 * MIB;
/** Half of the time-out of the fixture's route. */
const PROMPT_MS = 1_000;

interface Case {
  readonly name: string;
  /** The head of a request that arrives while another upload of the maximum size is being received. */
  readonly head: string;
  readonly body?: Buffer;
  readonly status: number;
}

const CASES: readonly Case[] = [
  {
    name: "another one of the maximum size is refused as not run",
    head: `Content-Length: ${MAXIMUM_BODY_BYTES}`,
    status: 503,
  },
  {
    name: "one in chunks is refused as not run once it is too large",
    head: "Transfer-Encoding: chunked",
    body: Buffer.alloc(20 * MIB, "b"),
    status: 503,
  },
  {
    name: "an ordinary one is accepted",
    head: "Content-Length: 60000",
    body: Buffer.alloc(60_000, "b"),
    status: 200,
  },
  {
    name: "an ordinary one in chunks is accepted",
    head: "Transfer-Encoding: chunked",
    body: Buffer.alloc(60_000, "b"),
    status: 200,
  },
  { name: "one without a body is accepted", head: "X-A: b", status: 200 },
];

// Guards against a process that runs out of memory because of several large uploads at the same time.
describe("requests while an upload of the maximum size is being received", () => {
  let listener: HttpListener;
  let port: number;
  const clients: Socket[] = [];
  let offers = 0;

  before(async () => {
    const ingress = createFixtureIngress({
      offer: (_, { settle }) => {
        offers += 1;
        settle({
          type: "answer",
          status: 200,
          rawHeaders: [],
          body: Buffer.from("ok"),
          serviceMilliseconds: 1,
          wasNestedRefused: false,
        });
        return { cancel() {} };
      },
    });
    listener = await listenHttp(ingress.handle, {
      address: "127.0.0.1",
      port: 0,
    });
    port = (listener.server.address() as { port: number }).port;
  });

  beforeEach(() => void (offers = 0));

  after(async () => {
    clients.forEach((client) => client.destroy());
    await listener.close();
  });

  function openClient(): Socket {
    const client = connect(port, "127.0.0.1");
    client.on("error", () => {});
    clients.push(client);
    return client;
  }

  function sendHead(client: Socket, identity: string, head: string): void {
    client.write(
      `POST /x HTTP/1.1\r\nHost: mesh.example\r\nX-Request: ${identity}\r\n${head}\r\n\r\n`,
    );
  }

  /** Starts an upload of the maximum size and waits until its first bytes are received. */
  async function startLargeUpload(): Promise<Socket> {
    const client = openClient();
    sendHead(client, "large", `Content-Length: ${MAXIMUM_BODY_BYTES}`);
    client.write(Buffer.alloc(MIB, "a"));
    await new Promise((resolve) => setTimeout(resolve, 100));
    return client;
  }

  function request({ head, body }: Case): Promise<string> {
    const client = openClient();
    return new Promise((resolve) => {
      let text = "";
      client.on("data", (data) => {
        text += data;
        if (text.includes("\r\n\r\n")) {
          resolve(text);
        }
      });
      sendHead(client, "next", head);
      if (body !== undefined && head.startsWith("Transfer")) {
        client.write(`${body.length.toString(16)}\r\n`);
        client.write(body);
        client.write("\r\n0\r\n\r\n");
      } else if (body !== undefined) {
        client.write(body);
      }
    });
  }

  for (const each of CASES) {
    test(each.name, { timeout: 10_000 }, async () => {
      const large = await startLargeUpload();
      const startedAt = performance.now();
      const response = await request(each);
      // Without the budget, the upload is refused only when the time-out of its route has passed.
      assert.ok(performance.now() - startedAt < PROMPT_MS);
      assert.ok(response.startsWith(`HTTP/1.1 ${each.status} `), response);
      assert.equal(offers, each.status === 200 ? 1 : 0);
      assert.equal(/retry-after: \d/i.test(response), each.status === 503);
      large.destroy();
      await new Promise((resolve) => setTimeout(resolve, 100));
    });
  }

  test("the memory of an upload whose client has left is free again", {
    timeout: 10_000,
  }, async () => {
    for (let round = 0; round < 3; round += 1) {
      const large = await startLargeUpload();
      large.destroy();
      await new Promise((resolve) => setTimeout(resolve, 100));
    }
    const large = openClient();
    let text = "";
    large.on("data", (data) => text += data);
    sendHead(large, "last", `Content-Length: ${MAXIMUM_BODY_BYTES}`);
    await new Promise((resolve) => setTimeout(resolve, 200));
    assert.equal(text, "");
    large.destroy();
  });
});
