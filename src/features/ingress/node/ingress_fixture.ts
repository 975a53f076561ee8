/**
 * Test fixture: an ingress with one route and one gate.
 *
 * @module
 */

import { type EventLog, SILENT_LOG } from "../../../base/common/event_log.ts";
import { createRandomSource } from "../../../base/common/random_source.ts";
import { MONOTONIC_CLOCK } from "../../../base/node/system_clock.ts";
import type { MeshRoute } from "../../../world/common/mesh_configuration.ts";
import type { GateClient } from "../../gate/common/gate_client.ts";
import { FIXTURE_HEADERS } from "../../gate/common/gate_fixture.ts";
import { createIngress } from "./ingress.ts";
import type { Ingress, IngressOptions } from "./ingress_options.ts";

/** The daemon has been running for longer than calls last. */
const FIXTURE_UPTIME_MS = 60_000;

export const FIXTURE_INGRESS_HOST = "a-1";

export const FIXTURE_ROUTE: MeshRoute = {
  name: "lookup",
  virtualHost: "mesh.example",
  prefix: "/",
  kind: "unsafe",
  rank: 1,
  objectiveMilliseconds: 300,
  timeoutMilliseconds: 2_000,
  maximumInstances: 2,
  targets: [{ service: "booking", weight: 1 }],
};

export interface FixtureIngressOptions extends
  Partial<
    Pick<
      IngressOptions,
      | "routes"
      | "candidates"
      | "hostDelays"
      | "chooseVersion"
      | "accounts"
      | "admitCall"
      | "uptime"
      | "findParent"
      | "hasUnclearParent"
    >
  > {
  readonly log?: EventLog;
  readonly offer: GateClient["offer"];
  /** The host of the gate. */
  readonly gateHost?: string;
}

export function createFixtureIngress(
  { log = SILENT_LOG, offer, gateHost = FIXTURE_INGRESS_HOST, ...options }:
    FixtureIngressOptions,
): Ingress {
  return createIngress({
    clock: MONOTONIC_CLOCK,
    log,
    random: createRandomSource(1),
    headers: FIXTURE_HEADERS,
    host: FIXTURE_INGRESS_HOST,
    failureDomain: "east",
    gates: {
      offer,
      countOutstanding: () => 0,
      countOfferedSince: () => 0,
      isUnresponsive: () => false,
      onUnresponsive: () => ({ dispose() {} }),
      dispose() {},
    },
    processIdentity: `${FIXTURE_INGRESS_HOST}@1`,
    callerService: () => "caller",
    routes: () => ({ find: () => FIXTURE_ROUTE }),
    limits: () => undefined,
    candidates: () => listFixtureCandidates(gateHost),
    hostDelays: { record() {} },
    accounts: () => undefined,
    admitCall: () => ({ type: "admitted", permit: { giveBack() {} } }),
    uptime: () => FIXTURE_UPTIME_MS,
    findParent: () => undefined,
    hasUnclearParent: () => false,
    loopDelay: () => 0,
    stopPhase: () => "serving",
    timeUntilStopped: () => Infinity,
    chooseVersion: () => ({
      isPreferred: () => true,
      isPreferredForRetry: () => true,
      isAllowed: () => true,
    }),
    ...options,
  });
}

export function listFixtureCandidates(
  host: string,
): ReturnType<IngressOptions["candidates"]> {
  return [{
    host,
    failureDomain: "east",
    version: "v1",
    load: {
      running: 0,
      waiting: 0,
      limit: 4,
      relativeServiceTime: 1,
      failureRate: 0,
    },
    outstanding: 0,
    isCold: false,
    isUnresponsive: false,
    hostDelay: 0,
  }];
}
