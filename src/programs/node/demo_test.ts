import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type HttpHandler,
  listenHttp,
  sendJson,
} from "../../base/node/http_server.ts";
import type { ProcessStarters } from "./process_starters.ts";
import { createUuidV7 } from "./demo_callers.ts";
import { runDemo } from "./demo.ts";

interface FakeBehaviour {
  readonly moveState: string;
  /** Handles the 50th call; all others are answered. */
  readonly badCall?: HttpHandler;
}

/** Starts fake daemons that accept every request, to test the demo by itself. */
function createFakeStarters(behaviour: FakeBehaviour): ProcessStarters {
  let version = -1;
  let calls = 0;
  const idle = () =>
    Promise.resolve({ port: 1, stop: () => Promise.resolve() });
  return {
    startPlatform: idle,
    startUpstream: idle,
    async startDaemon(settings) {
      const { address, proxyPort, administrationPort, linkPort } = settings;
      const administration = await listenHttp((request, response) => {
        version += request.url === "/changes" ? 1 : 0;
        sendJson(response, 200, {
          ready: true,
          version,
          offset: version,
          result: "accepted",
          state: behaviour.moveState,
          description: `${request.method} ${request.url}`,
        });
      }, { address, port: administrationPort });
      const proxy = await listenHttp((request, response) => {
        calls += 1;
        if (calls === 50 && behaviour.badCall !== undefined) {
          behaviour.badCall(request, response);
        } else {
          sendJson(response, 200, {});
        }
      }, { address, port: proxyPort });
      return {
        proxyPort,
        administrationPort,
        linkPort,
        async stop() {
          await Promise.all([administration.close(), proxy.close()]);
        },
      };
    },
  };
}

test(
  "the demo fails when a call is lost or the move is not done, and only then",
  { concurrency: true },
  async (context) => {
    const refuse = (outcome: string): HttpHandler => (_, response) =>
      sendJson(response, 503, {}, { "guavarun-outcome": outcome });
    const cases: [string, FakeBehaviour, number, RegExp][] = [
      ["all answered", { moveState: "done" }, 0, /\b0 lost; 0 refusals/],
      [
        "connection cut",
        {
          moveState: "done",
          badCall: (request) => request.socket.destroy(),
        },
        1,
        /\b1 lost;/,
      ],
      [
        "outcome unknown",
        { moveState: "done", badCall: refuse("unknown") },
        1,
        /\b1 lost;/,
      ],
      [
        "refused as not run, then answered",
        { moveState: "done", badCall: refuse("not-run") },
        0,
        /\b0 lost; 1 refusals/,
      ],
      ["refused move", { moveState: "refused" }, 1, /is not done: refused/],
      [
        "good version taken back",
        { moveState: "taken-back" },
        1,
        /is not done/,
      ],
    ];
    await Promise.all(
      cases.map(([name, behaviour, code, expected]) =>
        context.test(name, async () => {
          const lines: string[] = [];
          const exitCode = await runDemo({
            print: (line) => lines.push(line),
            starters: createFakeStarters(behaviour),
            moveDeadlineMilliseconds: 1_000,
          });
          assert.match(lines.join("\n"), expected);
          assert.equal(exitCode, code, lines.join("\n"));
        })
      ),
    );
  },
);

test("a UUID of a caller begins with its time of creation, which claims need", () => {
  const identity = createUuidV7(1_700_000_000_000);
  assert.match(identity, /^018bcfe5-6800-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-/);
  assert.equal(identity.length, 36);
});
