import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { describe, test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { SILENT_LOG } from "../../../base/common/event_log.ts";
import { MONOTONIC_CLOCK } from "../../../base/node/system_clock.ts";
import type { Gate } from "../common/gate.ts";
import { NO_NOTICES } from "../common/instance_notices.ts";
import { createGate } from "./gate.ts";
import {
  createFixtureReport,
  createFixtureRequest,
  FIXTURE_HEADERS,
} from "../common/gate_fixture.ts";

const USUAL_MS = 20;
const SLOTS = 12;

/** Starts a gate for an instance that takes `workMilliseconds` for each call. */
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
    clock: MONOTONIC_CLOCK,
    log: SILENT_LOG,
    headers: FIXTURE_HEADERS,
    readNotices: () => NO_NOTICES,
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

describe("the relative service time of a gate", () => {
  const cases = [
    {
      name:
        "an instance that became ten times slower and whose callers cancel in favor of a hedged request",
      deadline: 2_000,
      cancelsAfter: 3 * USUAL_MS as number | undefined,
    },
    {
      name:
        "an instance that became ten times slower and whose calls exceed their deadline",
      deadline: 3 * USUAL_MS,
      cancelsAfter: undefined,
    },
  ];
  for (const { name, deadline, cancelsAfter } of cases) {
    test(
      `${name} has a high relative service time, though none of its calls is answered`,
      {
        timeout: 10_000,
      },
      async (context) => {
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
          await sleep(cancelsAfter ?? 0);
          if (cancelsAfter !== undefined) {
            tickets.forEach((ticket) => ticket.cancel());
          }
          while (settled < SLOTS) {
            await sleep(1);
          }
        }
        // After 36 calls that took at least three times the average time.
        assert.ok(
          gate.load.relativeServiceTime > 2,
          `the relative service time is ${gate.load.relativeServiceTime}`,
        );
      },
    );
  }

  test(
    "an instance of average speed has no high relative service time after callers cancel immediately",
    {
      timeout: 10_000,
    },
    async (context) => {
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
        `the relative service time is ${gate.load.relativeServiceTime}`,
      );
    },
  );
});
