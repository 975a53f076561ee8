/**
 * The routing table in force, and the swap to the table of a new configuration.
 *
 * @module
 */

import type { Clock } from "../../../base/common/clock.ts";
import {
  createDisposableStore,
  type Disposable,
} from "../../../base/common/disposable.ts";
import { createEmitter, type Event } from "../../../base/common/emitter.ts";
import type { EventLog } from "../../../base/common/event_log.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { Configuration } from "../../../world/common/configuration.ts";
import type { ServiceName } from "../../../world/common/names.ts";
import type { ConfigurationSource } from "../../distribution/common/configuration_source.ts";
import type { Directory } from "../../membership/common/directory.ts";
import { buildTable, type BuiltTable } from "./build_table.ts";
import type { RoutingTable } from "./routing_table.ts";

/**
 * The longest wait for an instance of a service that is new to the table. One missing service
 * must not hold back the configuration of all customers.
 */
export const NEW_SERVICE_WAIT_MS: Milliseconds = 2_000;

export interface TableKeeperOptions {
  readonly source: Pick<ConfigurationSource, "current" | "onChanged">;
  readonly directory: Pick<Directory, "instances" | "onChanged">;
  readonly clock: Clock;
  readonly log: EventLog;
}

export interface RoutingTableManager extends Disposable {
  /** The table in force; a reader that keeps the reference sees one whole version. */
  readonly current: RoutingTable;
  /** Fires after each swap. */
  readonly onChanged: Event<RoutingTable>;
}

interface PendingTable extends BuiltTable {
  readonly dueAt: Milliseconds;
  readonly timer: Disposable;
}

export function createRoutingTableManager(
  options: TableKeeperOptions,
): RoutingTableManager {
  const { source, directory, clock, log } = options;
  const owned = createDisposableStore();
  const changed = owned.add(createEmitter<RoutingTable>());
  const empty: RoutingTable = {
    version: -1,
    match: () => "unknown-customer",
  };
  let current: BuiltTable = { table: empty, services: new Set() };
  let pending: PendingTable | undefined;

  function take(configuration: Configuration): void {
    const newest = pending ?? current;
    if (configuration.version <= newest.table.version) {
      return;
    }
    const built = buildTable(configuration);
    if (built.err) {
      log.write("error", "table.refused", {
        version: configuration.version,
        reason: built.val,
      });
      return;
    }
    // A newer configuration takes over the deadline, so that a stream of changes ends in a swap.
    const dueAt = pending?.dueAt ?? clock.now() + NEW_SERVICE_WAIT_MS;
    pending?.timer.dispose();
    const timer = clock.schedule(dueAt - clock.now(), swap);
    pending = { ...built.val, dueAt, timer };
    swapWhenReachable();
  }

  function listMissing(services: ReadonlySet<ServiceName>): ServiceName[] {
    const known = new Set(directory.instances.map(({ service }) => service));
    return [...services].filter((name) =>
      !current.services.has(name) && !known.has(name)
    );
  }

  function swapWhenReachable(): void {
    if (pending !== undefined && listMissing(pending.services).length === 0) {
      swap();
    }
  }

  function swap(): void {
    if (pending === undefined) {
      return;
    }
    const missing = listMissing(pending.services);
    pending.timer.dispose();
    current = { table: pending.table, services: pending.services };
    pending = undefined;
    log.write("info", "table.swapped", {
      version: current.table.version,
      missingServices: missing.join(",") || undefined,
    });
    changed.fire(current.table);
  }

  owned.add(source.onChanged(take));
  owned.add(directory.onChanged(swapWhenReachable));
  owned.add({ dispose: () => pending?.timer.dispose() });
  take(source.current);
  return {
    get current() {
      return current.table;
    },
    onChanged: changed.event,
    dispose: () => owned.dispose(),
  };
}
