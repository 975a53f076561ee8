/**
 * The mesh daemon, a sidecar process of each instance. Creates its features and connects them.
 *
 * @module
 */

import type { Socket } from "node:net";
import {
  createDisposableStore,
  type Disposable,
} from "../../base/common/disposable.ts";
import type { EventLog } from "../../base/common/event_log.ts";
import { hashText } from "../../base/common/hashing.ts";
import type { Milliseconds } from "../../base/common/milliseconds.ts";
import { createRandomSource } from "../../base/common/random_source.ts";
import type { StopPhase } from "../../base/common/stop_phase.ts";
import { compress, decompress } from "../../base/node/compression.ts";
import { type HttpListener, listenHttp } from "../../base/node/http_server.ts";
import {
  createLoopDelay,
  deferAfterStall,
  runAfterPendingEvents,
  STALL_THRESHOLD_MS,
} from "../../base/node/loop_delay.ts";
import {
  MAXIMUM_TIMER_MS,
  MONOTONIC_CLOCK,
} from "../../base/node/system_clock.ts";
import { createAccountLimits } from "../../features/account/common/account_limits.ts";
import type { Fleet } from "../../features/fleet/common/fleet.ts";
import { createFleet } from "../../features/fleet/common/fleet.ts";
import {
  type Coordinator,
  listCoordinators,
} from "../../features/fleet/common/coordinators.ts";
import { createGateClient } from "../../features/gate/common/gate_client.ts";
import { createDepartureRecords } from "../../features/gate/common/departure_records.ts";
import { createReadyReportHold } from "../../features/gate/common/ready_report_hold.ts";
import { createGateService } from "../../features/gate/common/gate_service.ts";
import { createGate } from "../../features/gate/node/gate.ts";
import { planStop } from "../../features/ingress/common/stop_plan.ts";
import { createIngress } from "../../features/ingress/node/ingress.ts";
import { createPeerNetwork } from "../../features/link/node/peer_network.ts";
import {
  createRecordSync,
  type RecordSync,
} from "../../features/operator/common/record_sync.ts";
import { listCandidates } from "../../features/placement/common/candidates.ts";
import { createHostDelays } from "../../features/placement/common/host_delays.ts";
import type { InstanceReport } from "../../world/common/mesh_instance.ts";
import { formatProcess, type HostIdentity } from "../../world/common/host.ts";
import { parseEndpoint } from "../../base/common/endpoint.ts";
import type { MeshSettings } from "../common/mesh_settings.ts";
import { createEvacuationControl } from "./evacuation_control.ts";
import { createMeshMetrics } from "./mesh_metrics.ts";
import { createMeshState } from "./mesh_state.ts";
import type { MeshPlatform } from "./mesh_platform.ts";
import { registerHost } from "./host_registration.ts";
import { createHostRewrite } from "./host_rewrite.ts";
import { createRolloutControl } from "./rollout_control.ts";

/** A link without traffic for three intervals counts as lost; large fleets allow a longer time. */
const LINK_HEARTBEAT_MS: Milliseconds = 500;
/** Lets all daemons of a large deployment reconnect within a few seconds. */
const ACCEPTED_LINKS_PER_SECOND = 200;
/** Short, because a host can be partitioned for seconds and is needed as soon as it is reachable again. */
const RECONNECT_BACKOFF = { baseMilliseconds: 100, capMilliseconds: 2_000 };
/** A process that has just started runs unoptimized code, which delays its event loop. */
const WARM_UP_MS: Milliseconds = 5_000;
/** Time for clients to read their last responses and close their connections. */
const CLOSE_GRACE_MS: Milliseconds = 200;
const STOP_CHECK_MS: Milliseconds = 25;
/** A daemon that finds no peer within this time becomes ready without one. */
const PEER_WAIT_MS: Milliseconds = 2_500;

export interface MeshDaemonOptions {
  readonly settings: MeshSettings;
  readonly platform: MeshPlatform;
  readonly log: EventLog;
}

export interface MeshDaemon extends Disposable {
  /** Applies changed settings. */
  reload(settings: MeshSettings): void;
  /** Drains the calls in flight and stops; ends calls that still run shortly before `stopSeconds` are over. */
  stop(): Promise<void>;
}

export async function startMeshDaemon(
  options: MeshDaemonOptions,
): Promise<MeshDaemon> {
  const { platform } = options;
  let { settings } = options;
  const clock = MONOTONIC_CLOCK;
  const startedAt = clock.now();
  const disposables = createDisposableStore();
  const self = createHostIdentity(settings);
  const processName = formatProcess(self.process);
  const log = options.log;
  const random = createRandomSource(hashText(processName) | 0);
  let stopPhase: StopPhase = "serving";
  let stopDeadline: Milliseconds = Infinity;
  /**
   * Reported to the other daemons, which then offer no more calls and read the store instead of this
   * one.
   */
  let isLeaving = false;
  let isDisposed = false;

  const network = disposables.add(
    createPeerNetwork({
      self,
      clock,
      random,
      log,
      heartbeatIntervalMilliseconds: LINK_HEARTBEAT_MS,
      acceptedLinksPerSecond: ACCEPTED_LINKS_PER_SECOND,
      reconnectBackoff: RECONNECT_BACKOFF,
    }),
  );
  const listening = await network.listening;
  if (listening.err) {
    throw listening.val;
  }
  const loopDelay = disposables.add(createLoopDelay(clock));
  const state = createMeshState({ log, platform });
  const { evacuations } = state;
  disposables.add(evacuations);
  const gate = disposables.add(
    createGate({
      clock,
      log,
      headers: platform.headers,
      readNotices: platform.readNotices,
      heartbeatMilliseconds: settings.heartbeatSeconds * 1_000,
      loopDelay: () => loopDelay.current,
      readColdStartLimit: (service) =>
        state.configuration === undefined
          ? "unknown"
          : state.configuration.services.get(service)?.coldStart,
      // Until a configuration is known, only the service of the settings is.
      isKnownService: (service) =>
        service === settings.service ||
        state.configuration?.services.has(service) === true,
      isEvacuated: () => evacuations.isEvacuated(settings.failureDomain),
      afterStall: (callback) => deferAfterStall(loopDelay.current, callback),
      sharesByAccount: () => state.accounts !== undefined,
      weighAccount: (account) => state.accounts?.weigh(account) ?? 1,
    }),
  );
  disposables.add(
    createGateService({
      clock,
      log,
      network,
      gate,
      loopDelay: () => loopDelay.current,
      isStalled: () =>
        loopDelay.current >= STALL_THRESHOLD_MS ||
        clock.now() - startedAt < WARM_UP_MS,
      remainingWorkTime: () =>
        stopPhase === "finishing" ? 0 : stopDeadline - clock.now(),
      afterPendingEvents: runAfterPendingEvents,
    }),
  );
  const gates = disposables.add(
    createGateClient({
      self: self.process,
      clock,
      log,
      network,
      gate,
      onLoadReport: (host, load) => fleet.updateLoad(host, load),
      afterPendingEvents: runAfterPendingEvents,
    }),
  );
  const location = {
    host: settings.host,
    failureDomain: settings.failureDomain,
  };
  const linkTarget = settings.announcedLink === undefined
    ? listening.val
    : { host: settings.host, ...parseEndpoint(settings.announcedLink) };
  const sync: RecordSync = disposables.add(
    createRecordSync({
      self: location,
      clock,
      random,
      log,
      network,
      store: platform.store,
      compression: { compress, decompress },
      candidates: listAllCoordinators,
    }),
  );

  /** Whether this daemon can do a task for others. */
  function isAvailable(): boolean {
    return sync.reachesStore && !loopDelay.isOverloaded;
  }

  function listAllCoordinators(): readonly Coordinator[] {
    return listCoordinators({
      self: { ...location, isAvailable: isAvailable() && !isLeaving },
      members: fleet.members,
      network,
      loopDelay: loopDelay.current,
    });
  }

  const rollouts = disposables.add(
    createRolloutControl({
      self: location,
      clock,
      log,
      store: platform.store,
      gate,
      sync,
      members: () => fleet.members,
      coordinators: listAllCoordinators,
      isStopping: () => isLeaving,
      onProgress: () => fleet.broadcastStatus(),
      onProgressReceived: () => fleet.announceStatus(),
    }),
  );
  const fleet: Fleet = disposables.add(
    createFleet({
      self: linkTarget,
      failureDomain: settings.failureDomain,
      clock,
      log,
      network,
      evidenceRecipients: () => rollouts.evaluators,
      describeSelf: () => ({
        instance: gate.instance === undefined ? undefined : {
          identity: gate.instance.identity,
          service: gate.instance.service,
          version: gate.instance.version,
          isServing: gate.isServing,
          coldForMilliseconds: gate.coldForMilliseconds,
        },
        load: gate.load,
        departed: gate.departed,
        position: sync.position,
        isAvailable: isAvailable(),
        isStopping: isLeaving,
        rollouts: rollouts.registry.listProgress(clock.now()),
        evidence: rollouts.localEvidence,
      }),
    }),
  );
  disposables.add(sync.onRecords(({ records, isFirst }) => {
    for (const { order, offset } of state.apply(records)) {
      rollouts.addOrder(order, { offset, mayPredateStart: isFirst });
    }
  }));
  disposables.add(createEvacuationControl({
    failureDomain: settings.failureDomain,
    evacuations,
    gate,
    fleet,
    log,
    knowsFleet: () => clock.now() - startedAt > PEER_WAIT_MS,
  }));
  disposables.add(sync.onPositionChanged(() => fleet.announceStatus()));
  disposables.add(sync.onReachabilityChanged(() => fleet.broadcastStatus()));
  disposables.add(gate.onChanged(() => fleet.broadcastStatus()));
  disposables.add(
    loopDelay.onOverloadedChanged(() => fleet.broadcastStatus()),
  );
  disposables.add(
    fleet.onDepartedReported((departed) => gate.restoreDepartures(departed)),
  );
  disposables.add(
    gate.onRateLimitChanged((limit) => fleet.broadcastRateLimit(limit)),
  );
  disposables.add(
    fleet.onRateLimitReported((limit) => gate.restoreRateLimit(limit)),
  );
  disposables.add(fleet.onStatusReceived(({ peer, status }) => {
    sync.updatePeerPosition(peer.process.host, status.position);
    rollouts.mergeProgress(status.rollouts);
  }));

  const accountLimits = disposables.add(createAccountLimits({
    self: { ...location, startedAt: self.process.startedAt },
    clock,
    log,
    network,
    random,
    loopDelay: () => loopDelay.current,
    areHostsListed: () => fleet.hasListedHosts,
    listHosts() {
      const reachable = new Set(
        listAllCoordinators().filter(({ isReachable }) => isReachable).map((
          { host },
        ) => host),
      );
      return fleet.hosts.map(({ host }) => ({
        host,
        isReachable: reachable.has(host),
      }));
    },
  }));
  disposables.add(
    state.onConfiguration(({ accounts }) =>
      accountLimits.setAccounts(accounts)
    ),
  );
  const hostDelays = createHostDelays();
  const ingress = createIngress({
    clock,
    log,
    random,
    headers: platform.headers,
    ...location,
    gates,
    processIdentity: processName,
    callerService: () => settings.service,
    routes: () => state.routes,
    accounts: () => state.accounts,
    admitCall: accountLimits.admit,
    uptime: () => clock.now() - startedAt,
    limits: () => state.configuration?.limits,
    candidates: (service) =>
      listCandidates(service, {
        self: location,
        clock,
        gate,
        gates,
        fleet,
        network,
        hostDelays,
        isEvacuated: evacuations.isEvacuated,
        loopDelay: loopDelay.current,
      }),
    hostDelays,
    findParent: gate.findParent,
    hasUnclearParent: gate.hasUnclearParent,
    loopDelay: () => loopDelay.current,
    stopPhase: () => stopPhase,
    timeUntilStopped: () => stopDeadline - clock.now(),
    chooseVersion: (service, identity) =>
      rollouts.registry.chooseVersion(service, identity, clock.now()),
  });

  const departureRecords = createDepartureRecords({
    clock,
    log,
    write: (update) => platform.store.updateDepartures(settings.host, update),
    read: async () =>
      (await platform.store.readHosts(settings.host)).map(({ departed }) =>
        departed
      ),
  });
  const rewriteHost = createHostRewrite({
    clock,
    random,
    log,
    store: platform.store,
    target: linkTarget,
    countHosts: () => fleet.members.length + 1,
    departed: () => departureRecords.stored,
    isStopped: () => isDisposed,
  });
  disposables.add(sync.onEraChanged(rewriteHost));
  const reportHold = disposables.add(
    createReadyReportHold({
      clock,
      processStartedAt: self.process.startedAt,
      apply: applyReport,
      onExpired: () => log.write("warn", "instance.departures-unknown"),
    }),
  );

  /** Resolves with whether the departure of the latest start of an instance is stored. */
  async function confirmDeparture(identity: string): Promise<boolean> {
    const [latest] = gate.departed
      .filter((departed) => departed.identity === identity)
      .sort((left, right) => right.startedAt - left.startedAt);
    return latest !== undefined && await departureRecords.save(latest);
  }

  function applyReport(report: InstanceReport): void {
    const outcome = gate.applyReport(report);
    if (outcome.type !== "unchanged") {
      log.write("info", "instance.report", {
        instance: report.identity,
        service: report.service,
        version: report.version,
        state: report.state,
        sequence: report.sequence,
        outcome: outcome.type,
        reason: outcome.type === "ignored" ? outcome.reason : undefined,
      });
    }
  }

  function isReady(): boolean {
    return stopPhase === "serving" && state.routes !== undefined &&
      (network.peers.length > 0 || clock.now() - startedAt > PEER_WAIT_MS);
  }

  const [callListener, heartbeatListener, readinessListener] = await Promise
    .all([
      listenHttp(ingress.handle, {
        ...parseEndpoint(settings.listen.calls),
        maximumHeaderBytes: settings.maximumHeaderBytes,
      }),
      listenHttp(
        platform.createInstanceHandler({
          async applyReport(report) {
            if (!gate.acceptsReport(report)) {
              applyReport(report);
              return false;
            }
            reportHold.handle(report);
            return report.state === "ready" ||
              await confirmDeparture(report.identity);
          },
          applyDeparture(departure) {
            const outcome = gate.applyDeparture(departure);
            log.write("info", "instance.departed", {
              instance: departure.identity,
              outcome: outcome.type,
            });
            return confirmDeparture(departure.identity);
          },
          rejectMessage: (reason) =>
            log.write("warn", "instance.report-rejected", { reason }),
        }),
        parseEndpoint(settings.listen.heartbeats),
      ),
      listenHttp(
        platform.createReadinessHandler(isReady),
        parseEndpoint(settings.listen.readiness),
      ),
    ]);
  const metrics = createMeshMetrics({
    accountLimits,
    ingress,
    gate,
    network,
    sync,
    state,
    loopDelay,
  });
  const listeners: HttpListener[] = [
    callListener,
    heartbeatListener,
    readinessListener,
  ];
  if (settings.metrics !== undefined) {
    listeners.push(
      await listenHttp(metrics.handle, parseEndpoint(settings.metrics)),
    );
  }
  // Each pipelined call adds a listener for the close of its connection.
  callListener.server.on(
    "connection",
    (socket: Socket) => socket.setMaxListeners(0),
  );
  disposables.add(state.onConfiguration(({ limits }) => {
    const extend = (current: Milliseconds, configured: Milliseconds) =>
      Math.min(MAXIMUM_TIMER_MS, Math.max(current, configured));
    const { server } = callListener;
    server.keepAliveTimeout = extend(
      server.keepAliveTimeout,
      limits.idleTimeoutMilliseconds,
    );
    server.headersTimeout = extend(
      server.headersTimeout,
      limits.headerTimeoutMilliseconds,
    );
  }));
  sync.start();
  registerHost({
    clock,
    random,
    log,
    store: platform.store,
    fleet,
    target: linkTarget,
    onDepartedRead(departed) {
      departureRecords.restore(departed);
      gate.restoreDepartures(departed);
      reportHold.release();
    },
    isStopped: () => isDisposed,
  });
  log.write("info", "process.started", {
    process: processName,
    linkPort: listening.val.port,
    calls: settings.listen.calls,
  });

  function dispose(): void {
    isDisposed = true;
    disposables.dispose();
    for (const listener of listeners) {
      listener.close();
    }
  }

  return {
    reload(newSettings) {
      settings = newSettings;
      log.write("info", "settings.reloaded", { service: newSettings.service });
    },
    async stop() {
      const plan = planStop(settings.stopSeconds * 1_000, loopDelay.current);
      const stopStartedAt = clock.now();
      stopDeadline = stopStartedAt + plan.endsCallsAfter;
      stopPhase = "leaving";
      log.write("info", "process.stopping", {
        activeCalls: ingress.activeCalls,
        ...plan,
      });
      await clock.sleep(stopStartedAt + plan.acceptsOffersFor - clock.now());
      isLeaving = true;
      fleet.broadcastStatus();
      await clock.sleep(stopStartedAt + plan.acceptsCallsFor - clock.now());
      stopPhase = "finishing";
      log.write("info", "process.finishing", {
        activeCalls: ingress.activeCalls,
        atInstance: gate.activeCalls,
      });
      while (
        clock.now() < stopDeadline &&
        ingress.activeCalls + callListener.unsentResponses + gate.activeCalls >
          0
      ) {
        await clock.sleep(STOP_CHECK_MS);
      }
      ingress.terminateCalls();
      await callListener.finish(CLOSE_GRACE_MS);
      log.write("info", "process.stopped", {
        activeCalls: ingress.activeCalls,
      });
      dispose();
    },
    dispose,
  };
}

function createHostIdentity(settings: MeshSettings): HostIdentity {
  return {
    process: { host: settings.host, startedAt: Date.now() },
    failureDomain: settings.failureDomain,
    addresses: {
      address: settings.address,
      proxyPort: parseEndpoint(settings.listen.calls).port,
      administrationPort: 0,
      linkPort: settings.internalPorts[0],
    },
  };
}
