import assert from "node:assert/strict";
import { connect } from "node:net";
import { describe, test } from "node:test";
import { listenHttp } from "./http_server.ts";

const FIRST = "POST /first HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n";
const WORK_MS = 500;

describe("bytes that are no request behind a request at work", () => {
  for (
    const { name, bytes } of [
      { name: "malformed", bytes: `${FIRST}\r\n\0\r\n\r\n` },
      {
        name: "a header section that is too long",
        bytes: `${FIRST}\r\nGET / HTTP/1.1\r\ny: ${"z".repeat(30_000)}\r\n\r\n`,
      },
      {
        name: "behind the request that ends the connection",
        bytes: `${FIRST}connection: close\r\n\r\nGET / HTTP/1.1\r\n\r\n`,
      },
    ]
  ) {
    test(`${name}: the request gets its own answer, then the connection ends`, async (context) => {
      const text = await exchange(context, bytes);
      assert.match(text, /^HTTP\/1\.1 200 /);
      assert.match(text, /\r\n\r\nanswer of \/first$/);
    });
  }

  test("without end: the connection is closed while the request is at work", async (context) => {
    const startedAt = performance.now();
    const endless = `${FIRST}\r\n${"\0".repeat(8 * 1024 * 1024)}`;
    assert.doesNotMatch(await exchange(context, endless), /^HTTP/);
    assert.ok(performance.now() - startedAt < WORK_MS);
  });

  test("without a request at work they are refused", async (context) => {
    assert.match(await exchange(context, "\0\r\n\r\n"), /^HTTP\/1\.1 400 /);
  });
});

/** Sends the bytes and reads until the connection ends. */
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
  // The body has no length, so it is one chunk.
  return text.replace(/\r\n\r\n[0-9a-f]+\r\n(.*)\r\n0\r\n\r\n$/s, "\r\n\r\n$1");
}
