/**
 * Headers, requests and reports for tests of a gate.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { InstanceReport } from "../../../world/common/mesh_instance.ts";
import type { GateRequest } from "./gate_call.ts";
import type { MeshHeaders } from "./mesh_headers.ts";

export const FIXTURE_HEADERS: MeshHeaders = {
  requestIdentity: "x-request",
  deadline: "x-deadline",
  expectedInstance: "x-instance",
  callerService: "x-caller",
  clientKey: "x-client-key",
  clientAccount: "x-client-account",
  notRun: "x-refused",
};

/** Creates a read whose objective equals its deadline. */
export function createFixtureRequest(
  identity: string,
  deadline: Milliseconds,
): GateRequest {
  return {
    identity,
    requestIdentity: identity,
    service: "booking",
    version: undefined,
    route: "lookup",
    method: "GET",
    target: "/",
    headerLines: `Host: mesh.example\r\nX-Request: ${identity}\r\n`,
    body: Buffer.alloc(0),
    callerService: "booking",
    isNested: false,
    rank: 1,
    objectiveInMilliseconds: deadline,
    deadlineInMilliseconds: deadline,
    meanServiceMilliseconds: 20,
  };
}

/** Creates a report of a ready instance on a loopback port. */
export function createFixtureReport(
  { port, slots }: { readonly port: number; readonly slots: number },
): InstanceReport {
  return {
    identity: "i-1",
    startedAt: 1,
    service: "booking",
    version: "v1",
    address: `127.0.0.1:${port}`,
    failureDomain: "east",
    slots,
    state: "ready",
    coldForMilliseconds: 0,
    sequence: 1,
  };
}
