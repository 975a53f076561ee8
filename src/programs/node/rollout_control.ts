/**
 * Runs the rollouts on this daemon: collects evidence at the gate, advances the rollouts in the
 * registry, and writes their status to the store while this daemon is the leader.
 *
 * @module
 */

import type { Clock } from "../../base/common/clock.ts";
import type { Disposable } from "../../base/common/disposable.ts";
import type { EventLog } from "../../base/common/event_log.ts";
import type { Milliseconds } from "../../base/common/milliseconds.ts";
import type { RolloutOrder } from "../../world/common/mesh_configuration.ts";
import type {
  HostName,
  RouteName,
  ServiceName,
} from "../../world/common/names.ts";
import type { Coordinator } from "../../features/fleet/common/coordinators.ts";
import {
  computeEvidenceInterval,
  type FleetMember,
} from "../../features/fleet/common/fleet.ts";
import type { CallRecord, Gate } from "../../features/gate/common/gate.ts";
import type { MeshStore } from "../../features/operator/common/mesh_store.ts";
import type { RecordSync } from "../../features/operator/common/record_sync.ts";
import {
  createRolloutRegistry,
  type RolloutEvent,
  type RolloutRegistry,
} from "../../features/rollout/common/rollout_registry.ts";
import {
  chooseEvaluators,
  chooseLeader,
} from "../../features/rollout/common/rollout_evaluators.ts";
import {
  isFinal,
  type RolloutProgress,
} from "../../features/rollout/common/rollout_progress.ts";
import type {
  HostEvidence,
  RouteEvidence,
} from "../../features/rollout/common/version_evidence.ts";
import { createRecordedOrders } from "./recorded_orders.ts";

const STEP_INTERVAL_MS: Milliseconds = 200;
const WRITE_RETRY_MS: Milliseconds = 400;
/**
 * After a longer time between two rounds the process was paused, or stalled for long. What others have sent
 * meanwhile is read after this round, and until then all others seem to be unreachable.
 */
const MAXIMUM_ROUND_INTERVAL_MS: Milliseconds = 3 * STEP_INTERVAL_MS;
/** Allows for slow links and hosts. */
const MINIMUM_EVIDENCE_LIFETIME_MS: Milliseconds = 5_000;
/** Evidence is left out once this many later statuses of its host are missing. */
const MISSED_EVIDENCE_INTERVALS = 3;

export interface RolloutControlOptions {
  readonly self: { readonly host: HostName };
  readonly clock: Clock;
  readonly log: EventLog;
  readonly store: MeshStore;
  readonly gate: Gate;
  readonly sync: Pick<RecordSync, "reachesStore">;
  readonly members: () => readonly FleetMember[];
  /** This daemon and the others, of which one leads. */
  readonly coordinators: () => readonly Coordinator[];
  readonly isStopping: () => boolean;
  /** Called when this daemon has advanced or ended a rollout. */
  readonly onProgress: () => void;
  /** Called when the end of a rollout was received from another daemon. */
  readonly onProgressReceived: () => void;
}

export interface OrderOrigin {
  readonly offset: number;
  /** Whether the order may have been written before this process started. */
  readonly mayPredateStart: boolean;
}

export interface RolloutControl extends Disposable {
  readonly registry: RolloutRegistry;
  /** Evidence of the local gate; empty unless a rollout of the instance's service is running. */
  readonly localEvidence: readonly RouteEvidence[];
  /** The daemons that evaluate the evidence of all. */
  readonly evaluators: readonly HostName[];
  addOrder(order: RolloutOrder, origin: OrderOrigin): void;
  mergeProgress(progress: readonly RolloutProgress[]): void;
}

export function createRolloutControl(
  options: RolloutControlOptions,
): RolloutControl {
  const { clock, gate, log, store } = options;
  const getEra = (orderOffset: number) => store.locate(orderOffset).era;
  const registry = createRolloutRegistry({ getEra });
  const evidence = new Map<RouteName, RouteEvidence>();
  const recordedOrders = createRecordedOrders(getEra);
  /**
   * Services whose order may already have a status in the store, written before this daemon started
   * or by another daemon.
   */
  const servicesWithPriorStatus = new Set<ServiceName>();
  let evidenceInstance: string | undefined;
  let isWriting = false;
  let lastRoundAt = clock.now();

  function recordCall(
    { route, isFailure, isWarm, duration }: CallRecord,
  ): void {
    if (gate.instance?.identity !== evidenceInstance) {
      evidenceInstance = gate.instance?.identity;
      evidence.clear();
    }
    const counts = evidence.get(route) ?? createEmptyEvidence(route);
    evidence.set(route, {
      route,
      calls: counts.calls + 1,
      failures: counts.failures + (isFailure ? 1 : 0),
      warmMilliseconds: counts.warmMilliseconds + (isWarm ? duration : 0),
      warmCalls: counts.warmCalls + (isWarm ? 1 : 0),
    });
  }

  function collectLocalEvidence(): readonly RouteEvidence[] {
    const progress = gate.instance === undefined
      ? undefined
      : registry.find(gate.instance.service);
    if (progress === undefined || isFinal(progress)) {
      return [];
    }
    const rows = new Map(evidence);
    for (const { route, duration } of gate.overdueCalls) {
      const row = rows.get(route) ?? createEmptyEvidence(route);
      rows.set(route, {
        ...row,
        calls: row.calls + 1,
        warmMilliseconds: row.warmMilliseconds + duration,
        warmCalls: row.warmCalls + 1,
      });
    }
    return [...rows.values()];
  }

  function collectEvidence(): HostEvidence[] {
    const rows: HostEvidence[] = [];
    const { instance } = gate;
    if (instance !== undefined) {
      rows.push({
        host: options.self.host,
        service: instance.service,
        version: instance.version,
        routes: collectLocalEvidence(),
      });
    }
    const members = options.members();
    const oldest = clock.now() - Math.max(
      MINIMUM_EVIDENCE_LIFETIME_MS,
      MISSED_EVIDENCE_INTERVALS * computeEvidenceInterval(members.length),
    );
    for (const { host, status, receivedAt } of members) {
      if (status.instance !== undefined && receivedAt >= oldest) {
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
    return chooseLeader(options.coordinators()) === options.self.host;
  }

  function listEvaluators(): readonly HostName[] {
    return chooseEvaluators(options.coordinators());
  }

  function countTargetInstances(progress: RolloutProgress): number {
    const isTarget = (
      service: ServiceName | undefined,
      version: string | undefined,
    ) => service === progress.service && version === progress.targetVersion;
    const isLocalTarget = gate.isServing &&
      isTarget(gate.instance?.service, gate.instance?.version);
    return (isLocalTarget ? 1 : 0) +
      options.members().filter(({ status: { instance } }) =>
        instance?.isServing && isTarget(instance.service, instance.version)
      ).length;
  }

  function advanceRollouts(): void {
    const now = clock.now();
    const sinceLastRound = now - lastRoundAt;
    lastRoundAt = now;
    if (registry.progress.length === 0) {
      return;
    }
    if (sinceLastRound > MAXIMUM_ROUND_INTERVAL_MS) {
      log.write("info", "rollout.round-skipped", {
        sinceLastRound: Math.round(sinceLastRound),
      });
      return;
    }
    const isLeading = isLeader();
    if (isLeading) {
      writeNextStatus();
    }
    const events = registry.advance({
      evidence: listEvaluators().includes(options.self.host)
        ? collectEvidence()
        : [],
      isLeader: isLeading,
      // Until the status is read from the store, the rollout may already have ended before this
      // daemon started.
      countTargetInstances: (progress) =>
        recordedOrders.has(progress.orderOffset)
          ? countTargetInstances(progress)
          : 0,
      now,
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

  function writeNextStatus(): void {
    const pending = registry.progress.find((progress) =>
      isFinal(progress)
        ? !progress.isStored
        : !recordedOrders.has(progress.orderOffset)
    );
    if (pending === undefined || isWriting) {
      return;
    }
    isWriting = true;
    writeStatus(pending)
      .catch((error) =>
        log.write("error", "rollout.write-failed", { error: String(error) })
      )
      .finally(() => {
        isWriting = false;
      });
  }

  async function writeStatus(progress: RolloutProgress): Promise<void> {
    const { service, targetVersion, state, orderOffset } = progress;
    const readResult = await store.readRolloutStatuses();
    if (readResult.err) {
      log.write("warn", "rollout.status-unread", {
        error: readResult.val.message,
      });
      await clock.sleep(WRITE_RETRY_MS);
      return;
    }
    const storedStatus = readResult.val.statuses.find((status) =>
      status.service === service && status.targetVersion === targetVersion
    );
    const mayBelongToOrder = servicesWithPriorStatus.has(service) ||
      recordedOrders.has(orderOffset);
    if (
      storedStatus !== undefined && storedStatus.state !== "running" &&
      mayBelongToOrder
    ) {
      recordedOrders.add(orderOffset);
      registry.mergeProgress(
        { ...progress, state: storedStatus.state, isStored: true },
        clock.now(),
      );
      options.onProgress();
      return;
    }
    if (
      storedStatus?.state === state && recordedOrders.confirm(orderOffset)
    ) {
      log.write("info", "rollout.status-confirmed", { service, state });
      return;
    }
    const writeResult = await store.writeRolloutStatus(
      { service, targetVersion, state },
      readResult.val.position,
    );
    log.write("info", "rollout.status-written", {
      service,
      targetVersion,
      state,
      outcome: writeResult.ok ? writeResult.val : writeResult.val.outcome,
      error: writeResult.err ? writeResult.val.message : undefined,
    });
    if (writeResult.err && writeResult.val.outcome !== "not-run") {
      recordedOrders.addUnanswered(orderOffset);
    }
    if (!writeResult.ok || writeResult.val === "conflict") {
      // Another daemon may have written the status of this order concurrently.
      servicesWithPriorStatus.add(service);
      await clock.sleep(WRITE_RETRY_MS);
      return;
    }
    recordedOrders.add(orderOffset);
    if (state !== "running") {
      registry.mergeProgress({ ...progress, isStored: true }, clock.now());
      options.onProgress();
    }
  }

  const registrations = [
    gate.onCallCompleted(recordCall),
    clock.repeat(STEP_INTERVAL_MS, advanceRollouts),
  ];

  return {
    registry,
    get localEvidence() {
      return collectLocalEvidence();
    },
    get evaluators() {
      return listEvaluators();
    },
    addOrder(order, { offset, mayPredateStart }) {
      recordedOrders.noteOrder(registry.find(order.service), offset);
      const isNew = registry.addOrder(order, offset, clock.now());
      // The order was known before the era rose: a final status in the copy may be that of an earlier rollout.
      const isKnownFromOlderEra = !isNew && recordedOrders.isOfLaterEra(offset);
      // `isNew` is also false when a peer reported the rollout before its order was read.
      if (mayPredateStart && !isKnownFromOlderEra) {
        servicesWithPriorStatus.add(order.service);
      } else if (isNew) {
        servicesWithPriorStatus.delete(order.service);
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
        inherited: mayPredateStart,
      });
    },
    mergeProgress(progress) {
      let isChanged = false;
      for (const received of progress) {
        recordedOrders.noteOrder(
          registry.find(received.service),
          received.orderOffset,
        );
        if (registry.mergeProgress(received, clock.now())) {
          isChanged = true;
          recordedOrders.addReported(received);
          log.write("info", "rollout.progress-taken", {
            service: received.service,
            step: received.step,
            share: received.share,
            state: received.state,
          });
        }
      }
      if (isChanged && progress.some(isFinal)) {
        options.onProgressReceived();
      }
    },
    dispose() {
      for (const registration of registrations) {
        registration.dispose();
      }
    },
  };
}

function createEmptyEvidence(route: RouteName): RouteEvidence {
  return { route, calls: 0, failures: 0, warmMilliseconds: 0, warmCalls: 0 };
}
