import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { describe, test } from "node:test";
import { SILENT_LOG } from "../../../base/common/event_log.ts";
import { MONOTONIC_CLOCK } from "../../../base/node/system_clock.ts";
import {
  createFixtureReport,
  createFixtureRequest,
  FIXTURE_HEADERS,
} from "../common/gate_fixture.ts";
import { NO_NOTICES } from "../common/instance_notices.ts";
import { createGate } from "./gate.ts";

/** The instance answers after this time. */
const WORK_MS = 100;

// Guards against "unauthorized" for a nested call whose parent has ended while the instance goes on with it.
describe("a nested call without a running parent", () => {
  const cases: readonly {
    readonly name: string;
    readonly sharesByAccount: boolean;
    readonly isCancelled: boolean;
    readonly hasUnclearParent: boolean;
  }[] = [
    {
      name: "may belong to a call that its client gave up",
      sharesByAccount: true,
      isCancelled: true,
      hasUnclearParent: true,
    },
    {
      name: "does not belong to a call that was answered",
      sharesByAccount: true,
      isCancelled: false,
      hasUnclearParent: false,
    },
    {
      name: "needs no parent without accounts",
      sharesByAccount: false,
      isCancelled: true,
      hasUnclearParent: false,
    },
  ];
  for (
    const { name, sharesByAccount, isCancelled, hasUnclearParent } of cases
  ) {
    test(name, async (context) => {
      const server = createServer((request, response) => {
        setTimeout(() => {
          response.setHeader("x-request", String(request.headers["x-request"]));
          response.end("done");
        }, WORK_MS);
      });
      await new Promise<void>((resolve) =>
        server.listen(0, "127.0.0.1", resolve)
      );
      const gate = createGate({
        clock: MONOTONIC_CLOCK,
        log: SILENT_LOG,
        headers: FIXTURE_HEADERS,
        readNotices: () => NO_NOTICES,
        heartbeatMilliseconds: 5_000,
        afterStall: (callback) => callback(),
        sharesByAccount: () => sharesByAccount,
      });
      context.after(() => {
        gate.dispose();
        server.closeAllConnections();
        server.close();
      });
      const { port } = server.address() as AddressInfo;
      gate.applyReport(createFixtureReport({ port, slots: 4 }));
      await new Promise<void>((resolve) => {
        const handle = gate.offer(
          createFixtureRequest("a1", 2_000),
          () => resolve(),
        );
        if (isCancelled) {
          setTimeout(() => handle.cancel(), WORK_MS / 2);
        }
      });
      assert.equal(gate.findParent("a1.b"), undefined);
      assert.equal(gate.hasUnclearParent("a1.b"), hasUnclearParent);
    });
  }
});
