/**
 * Runs the rollouts on this daemon: collects evidence at the gate, advances the book, and writes
 * the status when this daemon leads.
 *
 * @module
 */

import type { Clock } from "../../base/common/clock.ts";
import type { Disposable } from "../../base/common/disposable.ts";
import type { EventLog } from "../../base/common/event_log.ts";
import { rankByRendezvous } from "../../base/common/hashing.ts";
import type { Milliseconds } from "../../base/common/milliseconds.ts";
import type { RolloutOrder } from "../../world/common/mesh_configuration.ts";
import type {
  HostName,
  RouteName,
  ServiceName,
} from "../../world/common/names.ts";
import type { FleetMember } from "../../features/fleet/common/fleet.ts";
import type { CallRecord, Gate } from "../../features/gate/common/gate.ts";
import type { MeshStore } from "../../features/operator/common/mesh_store.ts";
import type { RecordSync } from "../../features/operator/common/record_sync.ts";
import {
  createRolloutRegistry,
  type RolloutEvent,
  type RolloutRegistry,
} from "../../features/rollout/common/rollout_registry.ts";
import { NO_STEP } from "../../features/rollout/common/rollout_plan.ts";
import {
  isFinal,
  type RolloutProgress,
} from "../../features/rollout/common/rollout_progress.ts";
import type {
  HostEvidence,
  RouteEvidence,
} from "../../features/rollout/common/version_evidence.ts";

const STEP_INTERVAL_MS: Milliseconds = 200;
const WRITE_RETRY_MS: Milliseconds = 400;

export interface RolloutControlOptions {
  readonly self: { readonly host: HostName };
  readonly clock: Clock;
  readonly log: EventLog;
  readonly store: MeshStore;
  readonly gate: Gate;
  readonly sync: Pick<RecordSync, "reachesStore">;
  readonly members: () => readonly FleetMember[];
  readonly isStopping: () => boolean;
  readonly onProgress: () => void;
}

export interface OrderPlace {
  readonly offset: number;
  /** Whether the order may be older than this process. */
  readonly isInherited: boolean;
}

export interface RolloutControl extends Disposable {
  readonly book: RolloutRegistry;
  /** What the own gate has seen while a rollout of its service runs. */
  readonly ownEvidence: readonly RouteEvidence[];
  takeOrder(order: RolloutOrder, placed: OrderPlace): void;
  mergeProgress(progress: readonly RolloutProgress[]): void;
}

export function createRolloutControl(
  options: RolloutControlOptions,
): RolloutControl {
  const { clock, gate, log, store } = options;
  const book = createRolloutRegistry();
  const evidence = new Map<RouteName, RouteEvidence>();
  /** Orders whose `running` status has been written, by offset. */
  const announced = new Set<number>();
  /** Services whose order was already there when this daemon started. */
  const inherited = new Set<ServiceName>();
  let evidenceInstance: string | undefined;
  let writing = false;

  function recordCall(
    { route, isFailure, isWarm, duration }: CallRecord,
  ): void {
    if (gate.instance?.identity !== evidenceInstance) {
      evidenceInstance = gate.instance?.identity;
      evidence.clear();
    }
    const row = evidence.get(route) ?? emptyEvidence(route);
    evidence.set(route, {
      route,
      calls: row.calls + 1,
      failures: row.failures + (isFailure ? 1 : 0),
      warmMilliseconds: row.warmMilliseconds + (isWarm ? duration : 0),
      warmCalls: row.warmCalls + (isWarm ? 1 : 0),
    });
  }

  function ownEvidence(): readonly RouteEvidence[] {
    const progress = gate.instance === undefined
      ? undefined
      : book.find(gate.instance.service);
    if (progress === undefined || isFinal(progress)) {
      return [];
    }
    const rows = new Map(evidence);
    for (const { route, duration } of gate.overdueCalls) {
      const row = rows.get(route) ?? emptyEvidence(route);
      rows.set(route, {
        ...row,
        calls: row.calls + 1,
        warmMilliseconds: row.warmMilliseconds + duration,
        warmCalls: row.warmCalls + 1,
      });
    }
    return [...rows.values()];
  }

  function allEvidence(): HostEvidence[] {
    const rows: HostEvidence[] = [];
    const { instance } = gate;
    if (instance !== undefined) {
      rows.push({
        host: options.self.host,
        service: instance.service,
        version: instance.version,
        routes: ownEvidence(),
      });
    }
    for (const { host, status } of options.members()) {
      if (status.instance !== undefined) {
        rows.push({
          host,
          service: status.instance.service,
          version: status.instance.version,
          routes: status.evidence,
        });
      }
    }
    return rows;
  }

  function isLeader(): boolean {
    if (options.isStopping() || !options.sync.reachesStore) {
      return false;
    }
    const able = options.members()
      .filter(({ status }) => status.reachesStore && !status.isStopping)
      .map(({ host }) => host);
    return rankByRendezvous("rollout-leader", [
      options.self.host,
      ...able,
    ])[0] ===
      options.self.host;
  }

  function countTargets(progress: RolloutProgress): number {
    const isTarget = (
      service: ServiceName | undefined,
      version: string | undefined,
    ) => service === progress.service && version === progress.targetVersion;
    const isOwn = gate.isServing &&
      isTarget(gate.instance?.service, gate.instance?.version);
    return (isOwn ? 1 : 0) +
      options.members().filter(({ status: { instance } }) =>
        instance?.isServing && isTarget(instance.service, instance.version)
      ).length;
  }

  function step(): void {
    if (book.progress.length === 0) {
      return;
    }
    const leads = isLeader();
    if (leads) {
      writeNext();
    }
    const events = book.advance({
      evidence: allEvidence(),
      isLeader: leads,
      // Until the status has been read, a rollout may have ended before this daemon started.
      countTargetInstances: (progress) =>
        announced.has(progress.orderOffset) ? countTargets(progress) : 0,
      now: clock.now(),
    });
    for (const event of events) {
      logEvent(event);
    }
    if (events.length > 0) {
      options.onProgress();
    }
  }

  function logEvent(event: RolloutEvent): void {
    const { service, targetVersion, share, state } = event.progress;
    log.write("info", `rollout.${event.type}`, {
      service,
      targetVersion,
      share,
      state,
      ...(event.type === "reverted"
        ? {
          route: event.regression.route,
          measure: event.regression.measure,
          target: event.regression.target,
          reference: event.regression.reference,
        }
        : {}),
    });
  }

  function writeNext(): void {
    const due = book.progress.find((progress) =>
      isFinal(progress)
        ? !progress.isStored
        : !announced.has(progress.orderOffset)
    );
    if (due === undefined || writing) {
      return;
    }
    writing = true;
    write(due)
      .catch((error) =>
        log.write("error", "rollout.write-failed", { error: String(error) })
      )
      .finally(() => {
        writing = false;
      });
  }

  async function write(progress: RolloutProgress): Promise<void> {
    const { service, targetVersion, state, orderOffset } = progress;
    const read = await store.readRolloutStatuses();
    if (read.err) {
      log.write("warn", "rollout.status-unread", { error: read.val.message });
      await clock.sleep(WRITE_RETRY_MS);
      return;
    }
    const known = read.val.statuses.find((status) =>
      status.service === service && status.targetVersion === targetVersion
    );
    const mayBeOfThisOrder = inherited.has(service) ||
      announced.has(orderOffset);
    if (known !== undefined && known.state !== "running" && mayBeOfThisOrder) {
      announced.add(orderOffset);
      book.mergeProgress(
        { ...progress, state: known.state, isStored: true },
        clock.now(),
      );
      options.onProgress();
      return;
    }
    const written = await store.writeRolloutStatus(
      { service, targetVersion, state },
      read.val.position,
    );
    log.write("info", "rollout.status-written", {
      service,
      targetVersion,
      state,
      outcome: written.ok ? written.val : written.val.message,
    });
    if (!written.ok || written.val === "conflict") {
      // Another daemon may have written the status of this order.
      inherited.add(service);
      await clock.sleep(WRITE_RETRY_MS);
      return;
    }
    announced.add(orderOffset);
    if (state !== "running") {
      book.mergeProgress({ ...progress, isStored: true }, clock.now());
      options.onProgress();
    }
  }

  const registrations = [
    gate.onCallCompleted(recordCall),
    clock.repeat(STEP_INTERVAL_MS, step),
  ];

  return {
    book,
    get ownEvidence() {
      return ownEvidence();
    },
    takeOrder(order, { offset, isInherited }) {
      const isNew = book.addOrder(order, offset, clock.now());
      // A peer may have told of the rollout before the order was read.
      if (isInherited) {
        inherited.add(order.service);
      } else if (isNew) {
        inherited.delete(order.service);
      }
      if (!isNew) {
        return;
      }
      evidence.clear();
      log.write("info", "rollout.ordered", {
        service: order.service,
        targetVersion: order.targetVersion,
        duration: order.durationMilliseconds,
        offset,
        inherited: isInherited,
      });
    },
    mergeProgress(progress) {
      let isChanged = false;
      for (const each of progress) {
        if (book.mergeProgress(each, clock.now())) {
          isChanged = true;
          if (isFinal(each) || each.step > NO_STEP) {
            announced.add(each.orderOffset);
          }
          log.write("info", "rollout.progress-taken", {
            service: each.service,
            step: each.step,
            share: each.share,
            state: each.state,
          });
        }
      }
      if (isChanged && progress.some(isFinal)) {
        options.onProgress();
      }
    },
    dispose() {
      for (const registration of registrations) {
        registration.dispose();
      }
    },
  };
}

function emptyEvidence(route: RouteName): RouteEvidence {
  return { route, calls: 0, failures: 0, warmMilliseconds: 0, warmCalls: 0 };
}
