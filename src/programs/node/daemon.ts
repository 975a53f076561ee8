/**
 * The daemon of a host: opens its listeners and starts its features.
 *
 * @module
 */

import {
  createDisposableStore,
  type DisposableStore,
} from "../../base/common/disposable.ts";
import {
  combineEventLogs,
  createEventBuffer,
  filterEventLog,
} from "../../base/common/event_log.ts";
import type { Milliseconds } from "../../base/common/milliseconds.ts";
import { hashText } from "../../base/common/hashing.ts";
import { createRandomSource } from "../../base/common/random_source.ts";
import {
  type HttpHandler,
  type HttpListener,
  listenHttp,
  sendJson,
} from "../../base/node/http_server.ts";
import { SYSTEM_CLOCK } from "../../base/node/system_clock.ts";
import { createMetrics } from "../../features/administration/common/metrics.ts";
import { createAdministration } from "../../features/administration/node/administration.ts";
import { checkRecord } from "../../features/fold/common/fold.ts";
import { createPeerNetwork } from "../../features/link/node/peer_network.ts";
import { formatProcess, type HostIdentity } from "../../world/common/host.ts";
import type { DaemonSettings } from "../common/daemon_settings.ts";
import type { RunningDaemon, StartOptions } from "./process_starters.ts";
import {
  createDaemonFeatures,
  type DaemonFeatures,
} from "./daemon_features.ts";
import { registerDaemonMetrics } from "./daemon_metrics.ts";

export async function startDaemon(
  settings: DaemonSettings,
  options: StartOptions,
): Promise<RunningDaemon> {
  const disposables = createDisposableStore();
  const listeners = await openListeners(settings);
  try {
    return await runDaemon(settings, { ...options, disposables, listeners });
  } catch (error) {
    disposables.dispose();
    await Promise.all([
      listeners.proxy.close(),
      listeners.administration.close(),
    ]);
    throw error;
  }
}

interface RunOptions extends StartOptions {
  readonly disposables: DisposableStore;
  readonly listeners: Listeners;
}

async function runDaemon(
  settings: DaemonSettings,
  options: RunOptions,
): Promise<RunningDaemon> {
  const { disposables, listeners } = options;
  const clock = SYSTEM_CLOCK;
  const startedAt = options.startedAt ?? clock.now();
  const identity = createHostIdentity(settings, listeners, startedAt);
  const processName = formatProcess(identity.process);
  const buffer = createEventBuffer(
    settings.limits.retainedEvents,
    () => clock.now(),
  );
  const log = combineEventLogs([
    options.log,
    filterEventLog(buffer.log, settings.log.level),
  ]).extend({
    host: settings.host,
    failureDomain: settings.failureDomain,
    process: processName,
  });
  const random = createRandomSource(hashText(processName) | 0);

  const network = disposables.add(
    createPeerNetwork({ self: identity, clock, random, log }),
  );
  const listening = await network.listening;
  if (listening.err) {
    throw listening.val;
  }
  const linkPort = listening.val.port;
  const self: HostIdentity = {
    ...identity,
    addresses: { ...identity.addresses, linkPort },
  };
  const context = { settings, self, network, clock, random, log, disposables };
  const features = createDaemonFeatures(context);
  const metrics = createMetrics();
  registerDaemonMetrics(metrics, features);
  const administration = createAdministration({
    ...context,
    ...features,
    events: buffer.events,
    metrics,
    tokens: settings.tokens,
    checkRecord: (current, record, now) => {
      const checked = checkRecord(current, record, now);
      return checked.err ? checked.val : undefined;
    },
    maximumBodyBytes: settings.limits.maximumAdministrationBodyBytes,
  });
  listeners.proxyHandler = features.proxy.handle;
  listeners.administrationHandler = administration.handle;
  const ports = {
    proxyPort: listeners.proxy.port,
    administrationPort: listeners.administration.port,
    linkPort,
  };
  log.write("info", "daemon.started", ports);
  return {
    ...ports,
    async stop() {
      await leaveAndDrain(features, listeners, settings);
      disposables.dispose();
      await listeners.administration.close();
      log.write("info", "daemon.stopped");
    },
  };
}

/** Announces that the daemon leaves and waits for the calls in flight, up to the drain limit. */
async function leaveAndDrain(
  { directory, proxy }: DaemonFeatures,
  listeners: Listeners,
  settings: DaemonSettings,
): Promise<void> {
  directory.leave();
  const drained = proxy.drain().then(() => listeners.proxy.drain());
  const drainTimeout = SYSTEM_CLOCK.schedule(
    settings.limits.drainMilliseconds,
    () => void listeners.proxy.close(),
  );
  await drained;
  drainTimeout.dispose();
}

interface Listeners {
  readonly proxy: HttpListener;
  readonly administration: HttpListener;
  proxyHandler: HttpHandler;
  administrationHandler: HttpHandler;
}

/** Opens the ports before the features start, because the daemon's identity contains them. */
async function openListeners(settings: DaemonSettings): Promise<Listeners> {
  const { address } = settings;
  const handlers = {
    proxyHandler: refuseBeforeStart,
    administrationHandler: refuseBeforeStart,
  };
  const proxy = await listenHttp(
    (request, response) => handlers.proxyHandler(request, response),
    { address, port: settings.proxyPort },
  );
  const administration = await listenHttp(
    (request, response) => handlers.administrationHandler(request, response),
    { address, port: settings.administrationPort },
  );
  return Object.assign(handlers, { proxy, administration });
}

const refuseBeforeStart: HttpHandler = (_request, response) =>
  sendJson(response, 503, { outcome: "not-run", reason: "starting" }, {
    "guavarun-outcome": "not-run",
  });

function createHostIdentity(
  settings: DaemonSettings,
  listeners: Listeners,
  startedAt: Milliseconds,
): HostIdentity {
  return {
    process: { host: settings.host, startedAt },
    failureDomain: settings.failureDomain,
    addresses: {
      address: settings.address,
      proxyPort: listeners.proxy.port,
      administrationPort: listeners.administration.port,
      linkPort: settings.linkPort,
    },
  };
}
