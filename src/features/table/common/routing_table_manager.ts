/**
 * Holds the active routing table and swaps it for the table of a new configuration.
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
 * The maximum wait for an instance of a service that is new to the table. One missing service must not
 * delay the configuration of all customers.
 */
export const MAXIMUM_NEW_SERVICE_WAIT_MS: Milliseconds = 2_000;

export interface RoutingTableManagerOptions {
  readonly source: Pick<ConfigurationSource, "current" | "onChanged">;
  readonly directory: Pick<Directory, "instances" | "onChanged">;
  readonly clock: Clock;
  readonly log: EventLog;
}

export interface RoutingTableManager extends Disposable {
  /** The active table. Tables are immutable, so a reader that keeps the reference sees one version. */
  readonly current: RoutingTable;
  /** Fires after each swap. */
  readonly onChanged: Event<RoutingTable>;
}

interface PendingTable extends BuiltTable {
  readonly deadlineAt: Milliseconds;
  readonly timer: Disposable;
}

export function createRoutingTableManager(
  options: RoutingTableManagerOptions,
): RoutingTableManager {
  const { source, directory, clock, log } = options;
  const disposables = createDisposableStore();
  const changed = disposables.add(createEmitter<RoutingTable>());
  const empty: RoutingTable = {
    version: -1,
    match: () => "unknown-customer",
  };
  let current: BuiltTable = { table: empty, services: new Set() };
  let pending: PendingTable | undefined;

  function applyConfiguration(configuration: Configuration): void {
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
    // A newer configuration keeps the deadline, so that frequent changes cannot postpone the swap.
    const deadlineAt = pending?.deadlineAt ??
      clock.now() + MAXIMUM_NEW_SERVICE_WAIT_MS;
    pending?.timer.dispose();
    const timer = clock.schedule(deadlineAt - clock.now(), swap);
    pending = { ...built.val, deadlineAt, timer };
    swapIfReady();
  }

  function listServicesWithoutInstance(
    services: ReadonlySet<ServiceName>,
  ): ServiceName[] {
    const known = new Set(directory.instances.map(({ service }) => service));
    return [...services].filter((name) =>
      !current.services.has(name) && !known.has(name)
    );
  }

  function swapIfReady(): void {
    if (
      pending !== undefined &&
      listServicesWithoutInstance(pending.services).length === 0
    ) {
      swap();
    }
  }

  function swap(): void {
    if (pending === undefined) {
      return;
    }
    const missing = listServicesWithoutInstance(pending.services);
    pending.timer.dispose();
    current = { table: pending.table, services: pending.services };
    pending = undefined;
    log.write("info", "table.swapped", {
      version: current.table.version,
      missingServices: missing.join(",") || undefined,
    });
    changed.fire(current.table);
  }

  disposables.add(source.onChanged(applyConfiguration));
  disposables.add(directory.onChanged(swapIfReady));
  disposables.add({ dispose: () => pending?.timer.dispose() });
  applyConfiguration(source.current);
  return {
    get current() {
      return current.table;
    },
    onChanged: changed.event,
    dispose: () => disposables.dispose(),
  };
}
