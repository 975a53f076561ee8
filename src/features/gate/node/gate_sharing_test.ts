import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { describe, test } from "node:test";
import { type EventLog, SILENT_LOG } from "../../../base/common/event_log.ts";
import { MONOTONIC_CLOCK } from "../../../base/node/system_clock.ts";
import type { Gate } from "../common/gate.ts";
import type {
  GateOutcome,
  GateRequest,
  RefusalReason,
} from "../common/gate_call.ts";
import {
  createFixtureReport,
  createFixtureRequest,
  FIXTURE_HEADERS,
} from "../common/gate_fixture.ts";
import { NO_NOTICES } from "../common/instance_notices.ts";
import { createGate } from "./gate.ts";

interface Context {
  readonly gate: Gate;
  readonly logged: Record<string, unknown>[];
  offer(request: GateRequest): Promise<GateOutcome>;
  report(): void;
}

/** Starts a gate to an instance that answers each call with the status after 20 ms. */
async function startGate(
  { sharesByAccount, slots, status }: {
    readonly sharesByAccount: boolean;
    readonly slots: number;
    readonly status: number;
  },
  onEnd: (dispose: () => void) => void,
): Promise<Context> {
  const server = createServer((request, response) => {
    setTimeout(() => {
      response.statusCode = status;
      response.setHeader("x-request", String(request.headers["x-request"]));
      response.end("done");
    }, 20);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const logged: Record<string, unknown>[] = [];
  const log: EventLog = {
    ...SILENT_LOG,
    write(_level, event, fields) {
      if (event === "gate.pressed") {
        logged.push({ ...fields });
      }
    },
  };
  const gate = createGate({
    clock: MONOTONIC_CLOCK,
    log,
    headers: FIXTURE_HEADERS,
    readNotices: () => NO_NOTICES,
    heartbeatMilliseconds: 5_000,
    afterStall: (callback) => callback(),
    sharesByAccount: () => sharesByAccount,
  });
  onEnd(() => {
    gate.dispose();
    server.closeAllConnections();
    server.close();
  });
  let sequence = 0;
  const report = () => {
    sequence += 1;
    gate.applyReport({ ...createFixtureReport({ port, slots }), sequence });
  };
  report();
  return {
    gate,
    logged,
    report,
    offer: (request) =>
      new Promise((resolve) => void gate.offer(request, resolve)),
  };
}

describe("calls whose nested calls are all refused", () => {
  /** Runs calls one after the other; returns the reasons of those that were refused. */
  async function runFailingCalls(
    sharesByAccount: boolean,
    onEnd: (dispose: () => void) => void,
  ): Promise<(RefusalReason | undefined)[]> {
    const { gate, offer } = await startGate(
      { sharesByAccount, slots: 4, status: 500 },
      onEnd,
    );
    const reasons: (RefusalReason | undefined)[] = [];
    for (let index = 0; index < 12; index += 1) {
      const ended = offer(createFixtureRequest(`call-${index}`, 2_000));
      gate.findParent(`call-${index}.nested`)?.recordNestedRefusal();
      const outcome = await ended;
      if (outcome.type === "refused") {
        reasons.push(outcome.reason);
        assert.ok(outcome.retryAfter > 0);
        assert.equal(outcome.reachedInstance, false);
      }
    }
    return reasons;
  }

  test("are refused before they start where accounts share the gate", async (context) => {
    const reasons = await runFailingCalls(
      true,
      (dispose) => context.after(dispose),
    );
    assert.ok(reasons.length > 0);
    assert.ok(reasons.every((reason) => reason === "nested-refused"));
  });

  test("are started without accounts", async (context) => {
    const reasons = await runFailingCalls(
      false,
      (dispose) => context.after(dispose),
    );
    assert.deepEqual(reasons, []);
  });
});

describe("the log line of a gate without room", () => {
  const cases = [
    { sharesByAccount: true, accountsWaiting: 2, reserved: 0 },
    { sharesByAccount: false, accountsWaiting: undefined, reserved: undefined },
  ];
  for (const { sharesByAccount, accountsWaiting, reserved } of cases) {
    const accounts = sharesByAccount ? "with" : "without";
    test(
      `${accounts} accounts ${
        sharesByAccount ? "contains" : "does not contain"
      } how they share the room`,
      async (context) => {
        const { gate, offer, report, logged } = await startGate(
          { sharesByAccount, slots: 1, status: 200 },
          (dispose) => context.after(dispose),
        );
        const refused: RefusalReason[] = [];
        gate.onCallRefused((reason) => refused.push(reason));
        const ended = [
          ...["a", "a", "b"].map((account, index) =>
            offer({ ...createFixtureRequest(`call-${index}`, 5_000), account })
          ),
          offer({ ...createFixtureRequest("late", 30), account: "c" }),
        ];
        report();
        await Promise.all(ended);
        assert.deepEqual(refused, ["full"]);
        assert.equal(logged.length, 1);
        assert.equal(logged[0].refused, 1);
        assert.equal(logged[0].accountsWaiting, accountsWaiting);
        assert.equal(logged[0].reserved, reserved);
      },
    );
  }
});
