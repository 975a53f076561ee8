import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { describe, test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { SILENT_LOG } from "../../../base/common/event_log.ts";
import { STEADY_CLOCK } from "../../../base/node/system_clock.ts";
import type { Gate } from "../common/gate.ts";
import { createGate } from "./gate.ts";
import {
  createFixtureReport,
  createFixtureRequest,
  FIXTURE_HEADERS,
} from "./gate_fixture.ts";

const USUAL_MS = 20;
const SLOTS = 12;

/** A gate before an instance that works on each call for `workMilliseconds`. */
async function startGate(
  context: TestContext,
  workMilliseconds: number,
): Promise<Gate> {
  const server = createServer((request, response) => {
    const identity = String(request.headers["x-request"]);
    setTimeout(() => {
      response.setHeader("x-request", identity);
      response.end("done");
    }, workMilliseconds);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const gate = createGate({
    clock: STEADY_CLOCK,
    log: SILENT_LOG,
    headers: FIXTURE_HEADERS,
    heartbeatMilliseconds: 5_000,
    afterStall: (callback) => callback(),
  });
  context.after(() => {
    gate.dispose();
    server.closeAllConnections();
    server.close();
  });
  gate.applyReport(
    createFixtureReport({
      port: (server.address() as AddressInfo).port,
      slots: SLOTS,
    }),
  );
  return gate;
}

describe("an instance that has become ten times slower", () => {
  const cases = [
    {
      name: "whose callers leave for a second send",
      deadline: 2_000,
      leavesAfter: 3 * USUAL_MS as number | undefined,
    },
    {
      name: "whose calls run out of time",
      deadline: 3 * USUAL_MS,
      leavesAfter: undefined,
    },
  ];
  for (const { name, deadline, leavesAfter } of cases) {
    test(`${name} looks slow, though none of its calls is answered`, {
      timeout: 10_000,
    }, async (context) => {
      const gate = await startGate(context, 10 * USUAL_MS);
      for (let round = 0; round < 3; round += 1) {
        let settled = 0;
        const tickets = Array.from(
          { length: SLOTS },
          (_, index) =>
            gate.offer(
              createFixtureRequest(`${round}-${index}`, deadline),
              () => void (settled += 1),
            ),
        );
        await sleep(leavesAfter ?? 0);
        if (leavesAfter !== undefined) {
          tickets.forEach((ticket) => ticket.cancel());
        }
        while (settled < SLOTS) {
          await sleep(1);
        }
      }
      // After 36 calls that took at least three times the usual time.
      assert.ok(
        gate.load.relativeServiceTime > 2,
        `the relativeServiceTime is ${gate.load.relativeServiceTime}`,
      );
    });
  }

  test("of usual speed does not look slow after callers leave at once", {
    timeout: 10_000,
  }, async (context) => {
    const gate = await startGate(context, USUAL_MS);
    let settled = 0;
    for (let index = 0; index < SLOTS; index += 1) {
      gate.offer(
        createFixtureRequest(String(index), 2_000),
        () => void (settled += 1),
      )
        .cancel();
    }
    while (settled < SLOTS) {
      await sleep(1);
    }
    assert.ok(
      gate.load.relativeServiceTime <= 1,
      `the relativeServiceTime is ${gate.load.relativeServiceTime}`,
    );
  });
});
