/**
 * The mesh daemon: one process beside each instance, assembled from the features.
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
import { compress, expand } from "../../base/node/compression.ts";
import { type HttpListener, listenHttp } from "../../base/node/http_server.ts";
import {
  afterPendingEvents,
  afterStall,
  createLoopDelay,
  STALLED_MS,
} from "../../base/node/loop_delay.ts";
import { STEADY_CLOCK } from "../../base/node/system_clock.ts";
import type { Fleet } from "../../features/fleet/common/fleet.ts";
import { createFleet } from "../../features/fleet/common/fleet.ts";
import { createGateClient } from "../../features/gate/common/gate_client.ts";
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
import { formatProcess, type HostIdentity } from "../../world/common/host.ts";
import { parseEndpoint } from "../../base/common/endpoint.ts";
import type { MeshSettings } from "../common/mesh_settings.ts";
import { createMeshMetrics } from "./mesh_metrics.ts";
import { createMeshState } from "./mesh_state.ts";
import type { MeshPlatform } from "./mesh_platform.ts";
import { registerHost } from "./host_registration.ts";
import { createRolloutControl } from "./rollout_control.ts";

/** A link that is silent for three of these counts as lost; longer in large fleets. */
const LINK_HEARTBEAT_MS: Milliseconds = 500;
/** Enough for all daemons of a large deployment to reconnect within some seconds. */
const ACCEPTED_LINKS_PER_SECOND = 200;
/** A host may be cut off for seconds and is needed as soon as it is back. */
const RECONNECT_BACKOFF = { baseMilliseconds: 100, capMilliseconds: 2_000 };
/** A process that has just started runs code that is not optimized and is late by itself. */
const STARTING_MS: Milliseconds = 5_000;
/** Clients read their last answers, and close, within this time. */
const LAST_ANSWERS_MS: Milliseconds = 200;
const STOP_CHECK_MS: Milliseconds = 25;
/** A daemon that finds no peer within this time serves alone. */
const ALONE_AFTER_MS: Milliseconds = 2_500;

export interface MeshDaemonOptions {
  readonly settings: MeshSettings;
  readonly platform: MeshPlatform;
  readonly log: EventLog;
}

export interface MeshDaemon extends Disposable {
  /** The settings have changed. */
  reload(settings: MeshSettings): void;
  /** Stops without cutting a call, as far as the time of the settings allows. */
  stop(): Promise<void>;
}

export async function startMeshDaemon(
  options: MeshDaemonOptions,
): Promise<MeshDaemon> {
  const { platform } = options;
  let { settings } = options;
  const clock = STEADY_CLOCK;
  const startedAt = clock.now();
  const owned = createDisposableStore();
  const self = identify(settings);
  const processName = formatProcess(self.process);
  const log = options.log;
  const random = createRandomSource(hashText(processName) | 0);
  let stopPhase: StopPhase = "serving";
  let endsAt: Milliseconds = Infinity;
  /** Other daemons are told: they offer no more calls and read the store in place of this one. */
  let isLeaving = false;
  let isDisposed = false;

  const network = owned.add(
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
  const loopDelay = owned.add(createLoopDelay(clock));
  const gate = owned.add(
    createGate({
      clock,
      log,
      headers: platform.headers,
      heartbeatMilliseconds: settings.heartbeatSeconds * 1_000,
      afterStall: (callback) => afterStall(loopDelay.current, callback),
    }),
  );
  owned.add(
    createGateService({
      clock,
      log,
      network,
      gate,
      loopDelay: () => loopDelay.current,
      isStalled: () =>
        loopDelay.current >= STALLED_MS ||
        clock.now() - startedAt < STARTING_MS,
      remainingWorkTime: () =>
        stopPhase === "finishing" ? 0 : endsAt - clock.now(),
      afterPendingEvents,
    }),
  );
  const gates = owned.add(
    createGateClient({
      self: self.process,
      clock,
      log,
      network,
      gate,
      onLoadReport: (host, load) => fleet.updateLoad(host, load),
      afterPendingEvents,
    }),
  );
  const place = { host: settings.host, failureDomain: settings.failureDomain };
  const linkTarget = settings.announcedLink === undefined
    ? listening.val
    : { host: settings.host, ...parseEndpoint(settings.announcedLink) };
  const sync: RecordSync = owned.add(
    createRecordSync({
      self: place,
      clock,
      random,
      log,
      network,
      store: platform.store,
      compression: { compress, decompress: expand },
      candidates: () => [
        { ...place, reachesStore: sync.reachesStore && !isLeaving },
        ...fleet.members.map(({ host, failureDomain, status }) => ({
          host,
          failureDomain,
          reachesStore: status.reachesStore && !status.isStopping,
        })),
      ],
    }),
  );
  const state = createMeshState({ log, platform });
  const rollouts = owned.add(
    createRolloutControl({
      self: place,
      clock,
      log,
      store: platform.store,
      gate,
      sync,
      members: () => fleet.members,
      isStopping: () => isLeaving,
      onProgress: () => fleet.broadcastStatus(),
    }),
  );
  const fleet: Fleet = owned.add(
    createFleet({
      self: linkTarget,
      clock,
      log,
      network,
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
        reachesStore: sync.reachesStore,
        isStopping: isLeaving,
        rollouts: rollouts.book.progress,
        evidence: rollouts.ownEvidence,
      }),
    }),
  );
  owned.add(sync.onRecords(({ records, isFirst }) => {
    for (const { order, offset } of state.apply(records)) {
      rollouts.takeOrder(order, { offset, isInherited: isFirst });
    }
  }));
  owned.add(sync.onChanged(() => fleet.broadcastStatus()));
  owned.add(gate.onChanged(() => fleet.broadcastStatus()));
  owned.add(
    fleet.onDepartedReported((departed) => gate.restoreDepartures(departed)),
  );
  owned.add(fleet.onStatusReceived(({ peer, status }) => {
    sync.updatePeerPosition(peer.process.host, status.position);
    rollouts.mergeProgress(status.rollouts);
  }));

  const hostDelays = createHostDelays();
  const ingress = createIngress({
    clock,
    log,
    random,
    headers: platform.headers,
    ...place,
    gates,
    processIdentity: processName,
    callerService: () => settings.service,
    routes: () => state.routes,
    limits: () => state.configuration?.limits,
    candidates: (service) =>
      listCandidates(service, {
        self: place,
        clock,
        gate,
        gates,
        fleet,
        network,
        hostDelays,
        loopDelay: loopDelay.current,
      }),
    hostDelays,
    findParent: gate.findParent,
    loopDelay: () => loopDelay.current,
    stopPhase: () => stopPhase,
    timeUntilStopped: () => endsAt - clock.now(),
    chooseVersion: rollouts.book.chooseVersion,
  });

  function isReady(): boolean {
    return stopPhase === "serving" && state.routes !== undefined &&
      (network.peers.length > 0 || clock.now() - startedAt > ALONE_AFTER_MS);
  }

  const [calls, heartbeats, readiness] = await Promise.all([
    listenHttp(ingress.handle, {
      ...parseEndpoint(settings.listen.calls),
      maximumHeaderBytes: settings.maximumHeaderBytes,
    }),
    listenHttp(
      platform.createInstanceHandler({
        report(report) {
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
        },
        depart(departure) {
          const outcome = gate.applyDeparture(departure);
          log.write("info", "instance.departed", {
            instance: departure.identity,
            outcome: outcome.type,
          });
        },
        reject: (reason) =>
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
    ingress,
    gate,
    network,
    sync,
    state,
    loopDelay,
  });
  const listeners: HttpListener[] = [calls, heartbeats, readiness];
  if (settings.metrics !== undefined) {
    listeners.push(
      await listenHttp(metrics.handle, parseEndpoint(settings.metrics)),
    );
  }
  // Each pipelined call listens for the end of its connection.
  calls.server.on("connection", (socket: Socket) => socket.setMaxListeners(0));
  owned.add(state.onConfiguration(({ limits }) => {
    calls.server.keepAliveTimeout = Math.max(
      calls.server.keepAliveTimeout,
      limits.idleTimeoutMilliseconds,
    );
    calls.server.headersTimeout = Math.max(
      calls.server.headersTimeout,
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
    isStopped: () => isDisposed,
  });
  log.write("info", "process.started", {
    process: processName,
    linkPort: listening.val.port,
    calls: settings.listen.calls,
  });

  function dispose(): void {
    isDisposed = true;
    owned.dispose();
    for (const listener of listeners) {
      listener.close();
    }
  }

  return {
    reload(next) {
      settings = next;
      log.write("info", "settings.reloaded", { service: next.service });
    },
    async stop() {
      const plan = planStop(settings.stopSeconds * 1_000, loopDelay.current);
      const startedAt = clock.now();
      endsAt = startedAt + plan.endsCallsAfter;
      stopPhase = "leaving";
      log.write("info", "process.stopping", {
        activeCalls: ingress.activeCalls,
        ...plan,
      });
      await clock.sleep(startedAt + plan.acceptsOffersFor - clock.now());
      isLeaving = true;
      fleet.broadcastStatus();
      await clock.sleep(startedAt + plan.acceptsCallsFor - clock.now());
      stopPhase = "finishing";
      log.write("info", "process.finishing", {
        activeCalls: ingress.activeCalls,
        running: gate.load.running,
        waiting: gate.load.waiting,
      });
      while (
        clock.now() < endsAt &&
        ingress.activeCalls + calls.unsentAnswers + gate.load.running +
              gate.load.waiting > 0
      ) {
        await clock.sleep(STOP_CHECK_MS);
      }
      ingress.terminateCalls();
      await calls.finish(LAST_ANSWERS_MS);
      log.write("info", "process.stopped", {
        activeCalls: ingress.activeCalls,
      });
      dispose();
    },
    dispose,
  };
}

function identify(settings: MeshSettings): HostIdentity {
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
