import assert from "node:assert/strict";
import { connect } from "node:net";
import { describe, test } from "node:test";
import { listenHttp } from "./http_server.ts";

const FIRST = "POST /first HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n";
const WORK_MS = 500;

describe("malformed bytes after a request in flight", () => {
  for (
    const { name, bytes } of [
      { name: "an invalid request line", bytes: `${FIRST}\r\n\0\r\n\r\n` },
      {
        name: "a header section that is too long",
        bytes: `${FIRST}\r\nGET / HTTP/1.1\r\ny: ${"z".repeat(30_000)}\r\n\r\n`,
      },
      {
        name: "after a request with connection: close",
        bytes: `${FIRST}connection: close\r\n\r\nGET / HTTP/1.1\r\n\r\n`,
      },
    ]
  ) {
    test(`${name}: the request gets its own response, then the connection is closed`, async (context) => {
      const text = await exchange(context, bytes);
      assert.match(text, /^HTTP\/1\.1 200 /);
      assert.match(text, /\r\n\r\nanswer of \/first$/);
    });
  }

  test("too many malformed bytes: the connection is closed while the request is in flight", async (context) => {
    const startedAt = performance.now();
    const endless = `${FIRST}\r\n${"\0".repeat(8 * 1024 * 1024)}`;
    assert.doesNotMatch(await exchange(context, endless), /^HTTP/);
    assert.ok(performance.now() - startedAt < WORK_MS);
  });

  test("without a request in flight: the server responds with status 400", async (context) => {
    assert.match(await exchange(context, "\0\r\n\r\n"), /^HTTP\/1\.1 400 /);
  });
});

/** Sends the bytes and reads until the connection is closed. */
async function exchange(
  context: { after(release: () => Promise<void>): void },
  bytes: string,
): Promise<string> {
  const listener = await listenHttp((request, response) => {
    setTimeout(() => response.end(`answer of ${request.url}`), WORK_MS);
  }, { address: "127.0.0.1", port: 0 });
  context.after(listener.close);
  const socket = connect(listener.port, "127.0.0.1");
  let text = "";
  socket.on("data", (chunk) => text += chunk);
  socket.write(bytes);
  await new Promise((resolve) => {
    socket.once("error", resolve);
    socket.once("close", resolve);
  });
  // The response has no content-length, so its body is one chunk.
  return text.replace(/\r\n\r\n[0-9a-f]+\r\n(.*)\r\n0\r\n\r\n$/s, "\r\n\r\n$1");
}
