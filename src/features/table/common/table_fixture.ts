/**
 * A test fixture: a routing table manager with a fake configuration source, a fake directory and a
 * virtual clock.
 *
 * @module
 */

import { VirtualClock } from "../../../base/common/clock.ts";
import { createEmitter } from "../../../base/common/emitter.ts";
import { createEventBuffer } from "../../../base/common/event_log.ts";
import {
  type Configuration,
  EMPTY_CONFIGURATION,
} from "../../../world/common/configuration.ts";
import type { Route } from "../../../world/common/route.ts";
import type { UpstreamInstance } from "../../../world/common/upstream_instance.ts";
import { createRoutingTableManager } from "./routing_table_manager.ts";

/** A configuration of one customer; each route is given as `SERVICE METHOD PATH`. */
export function createConfiguration(
  version: number,
  paths: Readonly<Record<string, string>>,
): Configuration {
  const routes = Object.entries(paths).map(([name, target]): Route => {
    const [service, method, pathPrefix] = target.split(" ");
    return {
      name,
      service,
      method,
      pathPrefix,
      callClass: "read",
      stalenessMilliseconds: 0,
      deadlineMilliseconds: 1_000,
    };
  });
  const limits = { requestsPerSecond: 1, concurrency: 1, retryShare: 0 };
  const contract = { customer: "mto", routes: Object.keys(paths), limits };
  return {
    ...EMPTY_CONFIGURATION,
    version,
    services: new Map(
      routes.map(({ service }) => [service, { name: service, version: "v1" }]),
    ),
    routes: new Map(routes.map((route) => [route.name, route])),
    contracts: new Map([["mto", contract]]),
  };
}

/** Creates the fixture with an empty configuration and no instances. */
export function createTableFixture() {
  const clock = new VirtualClock();
  const changed = createEmitter<Configuration>();
  const directoryChanged = createEmitter<void>();
  const instances: UpstreamInstance[] = [];
  const buffer = createEventBuffer(100, () => clock.now());
  const manager = createRoutingTableManager({
    source: { current: EMPTY_CONFIGURATION, onChanged: changed.event },
    directory: { instances, onChanged: directoryChanged.event },
    clock,
    log: buffer.log,
  });
  return {
    clock,
    manager,
    publish: (configuration: Configuration) => changed.fire(configuration),
    announce(service: string) {
      instances.push({ service } as UpstreamInstance);
      directoryChanged.fire();
    },
    /** Removes the instances of a service. */
    withdraw(service: string) {
      const kept = instances.filter((instance) => instance.service !== service);
      instances.splice(0, instances.length, ...kept);
      directoryChanged.fire();
    },
    events: buffer.events,
  };
}
