/**
 * The metrics of a mesh daemon in the Prometheus text format.
 *
 * @module
 */

import type { HttpHandler } from "../../base/node/http_server.ts";
import type { LoopDelay } from "../../base/node/loop_delay.ts";
import { sendJson } from "../../base/node/http_server.ts";
import {
  createMetrics,
  type Labels,
} from "../../features/administration/common/metrics.ts";
import type { AccountLimits } from "../../features/account/common/account_limits.ts";
import type { RefusalReason } from "../../features/gate/common/gate_call.ts";
import type { Gate } from "../../features/gate/common/gate.ts";
import type {
  CallResult,
  Ingress,
} from "../../features/ingress/node/ingress_options.ts";
import type { PeerNetwork } from "../../features/link/common/peer_network.ts";
import type { RecordSync } from "../../features/operator/common/record_sync.ts";
import type { RouteKind } from "../../world/common/mesh_configuration.ts";
import type { MeshState } from "./mesh_state.ts";

const METRICS_PATH = "/metrics";
/** Version 0.0.4 of the Prometheus text format. */
const CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";
const MICROSECONDS_PER_MS = 1_000;
const ANSWERED: Labels = { result: "answered" };
const FAILED: Labels = { result: "failed" };

export interface MeshMetricsSources {
  readonly accountLimits: Pick<AccountLimits, "usage">;
  readonly ingress: Pick<Ingress, "activeCalls" | "onCallEnded">;
  readonly gate: Pick<
    Gate,
    | "load"
    | "rateLimit"
    | "coldLimit"
    | "onCallCompleted"
    | "onCallRefused"
    | "isServing"
  >;
  readonly network: Pick<PeerNetwork, "peers">;
  readonly sync: Pick<
    RecordSync,
    "position" | "reachesStore" | "isReading"
  >;
  readonly loopDelay: Pick<LoopDelay, "current" | "isOverloaded">;
  readonly state: Pick<MeshState, "configuration" | "evacuations">;
}

export interface MeshMetrics {
  /** Handles `GET /metrics`. */
  readonly handle: HttpHandler;
}

export function createMeshMetrics(
  { accountLimits, ingress, gate, network, sync, state, loopDelay }:
    MeshMetricsSources,
): MeshMetrics {
  const metrics = createMetrics();
  const calls = metrics.counter(
    "guavarun_calls_total",
    "Calls of the clients on this host, by kind and result",
  );
  const durations = metrics.histogram(
    "guavarun_call_duration_microseconds",
    "Time from the head of a call to its answer, by kind",
  );
  const instanceCalls = metrics.counter(
    "guavarun_instance_calls_total",
    "Calls that the instance on this host has worked on, by result",
  );
  const instanceCallDurations = metrics.histogram(
    "guavarun_instance_call_duration_microseconds",
    "Time for which the instance on this host worked on a call",
  );
  const refusals = metrics.counter(
    "guavarun_gate_refusals_total",
    "Calls that the gate of this host has refused as not run, by reason",
  );
  const refusalLabels = new Map<RefusalReason, Labels>();
  const callLabels = new Map<string, Labels>();
  const kindLabels = new Map<string, Labels>();

  /** Returns the same object for equal labels, because the metrics look them up by identity. */
  function getLabels(kind: RouteKind, result: CallResult): Labels {
    const key = `${kind}|${result}`;
    let labels = callLabels.get(key);
    if (labels === undefined) {
      labels = { kind, result };
      callLabels.set(key, labels);
      kindLabels.set(kind, kindLabels.get(kind) ?? { kind });
    }
    return labels;
  }

  ingress.onCallEnded(({ kind, result, duration }) => {
    calls.add(1, getLabels(kind, result));
    durations.record(duration * MICROSECONDS_PER_MS, kindLabels.get(kind));
  });
  gate.onCallCompleted(({ isFailure, duration }) => {
    instanceCalls.add(1, isFailure ? FAILED : ANSWERED);
    instanceCallDurations.record(duration * MICROSECONDS_PER_MS);
  });

  gate.onCallRefused((reason) => {
    const labels = refusalLabels.get(reason) ?? { reason };
    refusalLabels.set(reason, labels);
    refusals.add(1, labels);
  });

  const gauges: readonly (readonly [string, string, () => number])[] = [
    [
      "loop_delay_milliseconds",
      "For how long events wait in this process",
      () => Math.round(loopDelay.current),
    ],
    [
      "overloaded",
      "1 while events wait so long that this daemon does nothing for others",
      () => Number(loopDelay.isOverloaded),
    ],
    ["active_calls", "Calls under way", () => ingress.activeCalls],
    ["gate_running", "Calls at the instance", () => gate.load.running],
    ["gate_waiting", "Calls that wait", () => gate.load.waiting],
    ["gate_limit", "Calls at the instance at most", () => gate.load.limit],
    [
      "gate_rate_limit",
      "Requests per second that the instance takes; 0 when it names no limit",
      () => gate.rateLimit ?? 0,
    ],
    [
      "gate_cold_limit",
      "Requests per second to which a cold instance is bound; 0 when it is warm",
      () => gate.coldLimit ?? 0,
    ],
    [
      "evacuations_active",
      "Failure domains that the operator has evacuated",
      () => state.evacuations.active.size,
    ],
    [
      "gate_pace_ratio",
      "Time of the instance for calls relative to what is usual, without what its host states for this moment",
      () => gate.load.relativeServiceTime,
    ],
    [
      "gate_momentary_service_time_ratio",
      "Time that work takes on this host at this moment relative to usual; 1 when the instance does not state it",
      () => gate.load.currentServiceTime ?? 1,
    ],
    [
      "instance_serving",
      "1 when the instance on this host may be sent calls",
      () => Number(gate.isServing),
    ],
    ["links", "Open links to other daemons", () => network.peers.length],
    [
      "store_reachable",
      "1 when the last call to the store succeeded",
      () => Number(sync.reachesStore),
    ],
    [
      "store_reader",
      "1 when this daemon reads the store for its failure domain",
      () => Number(sync.isReading),
    ],
    [
      "records_position",
      "Offset up to which the operator's records are known; -1 for none",
      () => sync.position,
    ],
    [
      "configuration_version",
      "Version of the configuration in force; -1 for none; above 2^53 only its first digits are exact",
      () => Number(state.configuration?.version ?? -1),
    ],
  ];
  for (const [name, help, read] of gauges) {
    metrics.gauge(`guavarun_${name}`, help, () => [{ value: read() }]);
  }
  metrics.gauge(
    "guavarun_configuration_info",
    "1 for the version of the configuration in force, with all of its digits as a label",
    () =>
      state.configuration === undefined ? [] : [{
        value: 1,
        labels: { version: String(state.configuration.version) },
      }],
  );
  const accountGauges = [
    ["asked", "Calls that accounts asked for on this host"],
    ["admitted", "Calls of accounts that this host admitted"],
    ["refused", "Calls of accounts that this host refused at their limits"],
    ["limit", "Calls per second of an account on all hosts together"],
  ] as const;
  for (const [field, help] of accountGauges) {
    metrics.gauge(
      `guavarun_account_${field}`,
      `${help}; the accounts with most demand, and all others as \"other\"`,
      () =>
        accountLimits.usage.map((usage) => ({
          value: usage[field],
          labels: { account: usage.account ?? "other" },
        })),
    );
  }

  return {
    handle(request, response) {
      request.resume();
      if (request.url !== METRICS_PATH) {
        sendJson(response, 404, { error: "No such call" });
        return;
      }
      const text = Buffer.from(metrics.format());
      response.writeHead(200, {
        "content-type": CONTENT_TYPE,
        "content-length": text.length,
      });
      response.end(text);
    },
  };
}
