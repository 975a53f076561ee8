import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { createEmitter } from "../../base/common/emitter.ts";
import type { RefusalReason } from "../../features/gate/common/gate_call.ts";
import { createEvacuationRegister } from "../../features/evacuation/common/evacuation_register.ts";
import type { CallRecord } from "../../features/gate/common/gate.ts";
import type { EndedCall } from "../../features/ingress/node/ingress_options.ts";
import { createMeshMetrics } from "./mesh_metrics.ts";

test("refusals of the gate are counted by reason, so that missing room is told from other causes", async (context) => {
  const refused = createEmitter<RefusalReason>();
  const metrics = createMeshMetrics({
    accountLimits: { usage: [] },
    ingress: {
      activeCalls: 0,
      onCallEnded: createEmitter<EndedCall>().event,
    },
    gate: {
      load: {
        running: 0,
        waiting: 0,
        limit: 4,
        relativeServiceTime: 1,
        failureRate: 0,
      },
      rateLimit: undefined,
      coldLimit: undefined,
      isServing: true,
      onCallCompleted: createEmitter<CallRecord>().event,
      onCallRefused: refused.event,
    },
    network: { peers: [] },
    sync: { position: 0, reachesStore: true, isReading: false },
    loopDelay: { current: 0, isOverloaded: false },
    state: {
      configuration: undefined,
      evacuations: createEvacuationRegister(),
    },
  });
  for (const reason of ["full", "full", "nested-refused"] as const) {
    refused.fire(reason);
  }
  const server = createServer(metrics.handle);
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  context.after(() => {
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  const response = await fetch(`http://127.0.0.1:${port}/metrics`);
  const lines = (await response.text()).split("\n");
  const name = "guavarun_gate_refusals_total";
  assert.ok(lines.includes(`${name}{reason="full"} 2`));
  assert.ok(lines.includes(`${name}{reason="nested-refused"} 1`));
});
