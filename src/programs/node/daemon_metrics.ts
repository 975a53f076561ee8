/**
 * Registers the metrics of a daemon that `GET /metrics` returns.
 *
 * @module
 */

import type { Metrics } from "../../features/administration/common/metrics.ts";
import type { DaemonFeatures } from "./daemon_features.ts";

const MICROSECONDS_PER_SECOND = 1_000_000;

export function registerDaemonMetrics(
  metrics: Metrics,
  features: DaemonFeatures,
): void {
  const { configuration, directory, evacuations, network, proxy } = features;
  const { shift, tables } = features;
  const gauge = (name: string, help: string, read: () => number) =>
    metrics.gauge(name, help, () => [{ value: read() }]);

  gauge(
    "guavarun_configuration_version",
    "Version of the newest accepted configuration",
    () => configuration.current.version,
  );
  gauge(
    "guavarun_table_version",
    "Version of the routing table in force",
    () => tables.current.version,
  );
  gauge(
    "guavarun_members",
    "Members of the own failure domain",
    () => directory.localMembers.length,
  );
  gauge(
    "guavarun_instances",
    "Upstream instances that may be given work",
    () => directory.instances.length,
  );
  gauge(
    "guavarun_evacuations_active",
    "Failure domains that are evacuated",
    () => evacuations.active.size,
  );
  gauge("guavarun_open_moves", "Open moves", () => shift.openMoves.length);
  gauge("guavarun_links", "Open links", () => network.peers.length);
  metrics.gauge(
    "guavarun_link_bytes",
    "Bytes over links since the start",
    () => [
      { value: network.traffic.sentBytes, labels: { direction: "sent" } },
      {
        value: network.traffic.receivedBytes,
        labels: { direction: "received" },
      },
    ],
  );
  metrics.gauge(
    "guavarun_calls",
    "Calls of callers and attempts at upstreams since the start",
    () =>
      Object.entries(proxy.counts).map(([kind, value]) => ({
        value,
        labels: { kind },
      })),
  );
  gauge(
    "guavarun_calls_in_flight",
    "Calls without a whole answer yet",
    () => proxy.callsInFlight,
  );
  gauge(
    "guavarun_resident_bytes",
    "Resident memory of the process",
    () => process.memoryUsage.rss(),
  );
  gauge(
    "guavarun_processor_seconds",
    "Processor time of the process since its start",
    () => {
      const { user, system } = process.cpuUsage();
      return (user + system) / MICROSECONDS_PER_SECOND;
    },
  );
}
