import assert from "node:assert/strict";
import type { ServerResponse } from "node:http";
import { connect, type Socket } from "node:net";
import { after, before, describe, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { createEventBuffer } from "../../../base/common/event_log.ts";
import {
  type HttpListener,
  listenHttp,
} from "../../../base/node/http_server.ts";
import { MAXIMUM_RESPONSE_BODY_BYTES } from "../../gate/common/response_limits.ts";
import { createFixtureIngress } from "./ingress_fixture.ts";
import { UNREAD_RESPONSE_BUDGET_BYTES } from "./unread_responses.ts";

/** Responses as large as the gate accepts them. */
const BODY = Buffer.alloc(MAXIMUM_RESPONSE_BODY_BYTES, "b");
const CONNECTIONS = 10;
const PIPELINED = 12;
const SETTLE_MS = 1_000;

function requestText(identity: string): string {
  return `GET /x HTTP/1.1\r\nHost: mesh.example\r\nX-Request: ${identity}\r\n\r\n`;
}

// Guards against a process that runs out of memory because an instance sends large responses and clients do not read
// them.
describe("responses that clients do not read", () => {
  let listener: HttpListener;
  const responses = new Set<ServerResponse>();
  const clients: Socket[] = [];
  const buffer = createEventBuffer(1_000, () => performance.now());

  before(async () => {
    const ingress = createFixtureIngress({
      log: buffer.log,
      offer: (_, { settle }) => {
        settle({
          type: "answer",
          status: 200,
          rawHeaders: [],
          body: BODY,
          serviceMilliseconds: 1,
          wasNestedRefused: false,
        });
        return { cancel() {} };
      },
    });
    listener = await listenHttp((request, response) => {
      responses.add(response);
      response.once("finish", () => responses.delete(response));
      request.socket.once("close", () => responses.delete(response));
      ingress.handle(request, response);
    }, { address: "127.0.0.1", port: 0 });
  });

  after(async () => {
    clients.forEach((client) => client.destroy());
    await listener.close();
  });

  function open(): Socket {
    const socket = connect(listener.port, "127.0.0.1");
    socket.on("error", () => {});
    clients.push(socket);
    return socket;
  }

  /** The bytes that this process keeps for clients. */
  function countUnreadBytes(): number {
    return [...responses].reduce(
      (sum, { writableLength }) => sum + writableLength,
      0,
    );
  }

  async function readWhole(
    socket: Socket,
    pause: number,
  ): Promise<number> {
    let received = 0;
    socket.write(requestText("reader"));
    for await (const data of socket) {
      received += (data as Buffer).length;
      if (received >= BODY.length) {
        break;
      }
      await sleep(pause);
    }
    return received;
  }

  test("take no more memory than the budget, and clients that read get theirs", async () => {
    const slow = readWhole(open(), 5);
    let closed = 0;
    let mostBytes = 0;
    for (let index = 0; index < CONNECTIONS; index += 1) {
      const socket = open();
      socket.pause();
      socket.on("close", () => closed += 1);
      for (let number = 0; number < PIPELINED; number += 1) {
        socket.write(requestText(`unread-${index}-${number}`));
      }
      await sleep(SETTLE_MS / CONNECTIONS);
      mostBytes = Math.max(mostBytes, countUnreadBytes());
    }
    await sleep(SETTLE_MS);
    mostBytes = Math.max(mostBytes, countUnreadBytes());
    assert.ok(
      mostBytes <= UNREAD_RESPONSE_BUDGET_BYTES,
      `${mostBytes} bytes`,
    );
    assert.ok(await readWhole(open(), 0) >= BODY.length);
    assert.ok(await slow >= BODY.length);
    const events = buffer.events.filter(({ event }) =>
      event === "call.response-unread"
    );
    assert.ok(events.length > 0);
  });
});
