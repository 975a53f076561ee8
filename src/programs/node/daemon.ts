/**
 * The daemon: assembles the features of one host.
 *
 * @module
 */

import { createDisposableStore } from "../../base/common/disposable.ts";
import {
  combineEventLogs,
  createEventBuffer,
} from "../../base/common/event_log.ts";
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
import { createClaimClient } from "../../features/claim/common/create_claim_client.ts";
import { createTableKeeper } from "../../features/table/common/table_keeper.ts";
import { createAdmissionController } from "../../features/admission/common/controller.ts";
import { createProxy } from "../../features/attempt/node/proxy.ts";
import { createConfigurationSource } from "../../features/distribution/common/create_configuration_source.ts";
import { createPeerNetwork } from "../../features/link/node/peer_network.ts";
import { createHttpLogClient } from "../../features/log/node/http_log_client.ts";
import { createDirectory } from "../../features/membership/common/create_directory.ts";
import { createTrafficShift } from "../../features/move/common/shift_service.ts";
import { checkRecord } from "../../features/fold/common/fold.ts";
import { createInstanceRouter } from "../../features/routing/common/router.ts";
import { formatProcess, type HostIdentity } from "../../world/common/host.ts";
import type { DaemonSettings } from "../common/daemon_settings.ts";
import type { RunningDaemon, StartOptions } from "./assembly.ts";

export async function startDaemon(
  settings: DaemonSettings,
  options: StartOptions,
): Promise<RunningDaemon> {
  const clock = SYSTEM_CLOCK;
  const owned = createDisposableStore();
  const listeners = await openListeners(settings);
  const self = identify(settings, listeners);
  const buffer = createEventBuffer(
    settings.limits.retainedEvents,
    () => clock.now(),
  );
  const log = combineEventLogs([options.log, buffer.log]).extend({
    host: self.process.host,
    failureDomain: self.failureDomain,
    process: formatProcess(self.process),
  });
  const random = createRandomSource(hashText(formatProcess(self.process)) | 0);

  const network = owned.add(createPeerNetwork({ self, clock, random, log }));
  const listening = await network.listening;
  if (listening.err) {
    throw listening.val;
  }
  const logClient = owned.add(createHttpLogClient({
    url: `http://${settings.platform.address}:${settings.platform.port}`,
  }));
  const directory = owned.add(createDirectory({
    self: {
      ...self,
      addresses: { ...self.addresses, linkPort: listening.val.port },
    },
    network,
    seeds: settings.seeds.map(({ host, address, linkPort }) => ({
      host,
      address,
      port: linkPort,
    })),
    clock,
    random,
    log,
  }));
  const configuration = owned.add(createConfigurationSource({
    self,
    directory,
    network,
    logClient,
    clock,
    random,
    log,
  }));
  const shift = owned.add(createTrafficShift({
    self,
    directory,
    network,
    configuration,
    logClient,
    clock,
    random,
    log,
  }));
  const router = owned.add(
    createInstanceRouter({ directory, shift, clock, random }),
  );
  const admission = owned.add(createAdmissionController({
    configuration: () => configuration.current,
    directory,
    network,
    clock,
    log,
  }));
  const claims = owned.add(
    createClaimClient({ self, directory, network, clock, log }),
  );
  const tables = owned.add(
    createTableKeeper({ source: configuration, directory, clock, log }),
  );
  const proxy = owned.add(createProxy({
    table: () => (configuration.isReady ? tables.current : undefined),
    admission,
    claims,
    router,
    shift,
    clock,
    random,
    log,
    self,
  }));
  const administration = createAdministration({
    self,
    configuration,
    directory,
    logClient,
    shift,
    events: buffer.events,
    metrics: createMetrics(),
    tokens: settings.tokens,
    checkRecord: (current, record, now) => {
      const checked = checkRecord(current, record, now);
      return checked.err ? checked.val : undefined;
    },
    clock,
    log,
    maximumBodyBytes: settings.limits.maximumAdministrationBodyBytes,
  });
  listeners.proxyHandler = proxy.handle;
  listeners.administrationHandler = administration.handle;
  log.write("info", "daemon.started", {
    proxyPort: listeners.proxy.port,
    administrationPort: listeners.administration.port,
    linkPort: listening.val.port,
  });

  return {
    proxyPort: listeners.proxy.port,
    administrationPort: listeners.administration.port,
    linkPort: listening.val.port,
    async stop() {
      directory.leave();
      const drained = listeners.proxy.drain();
      await proxy.drain();
      await drained;
      owned.dispose();
      await listeners.administration.close();
      log.write("info", "daemon.stopped");
    },
  };
}

interface Listeners {
  readonly proxy: HttpListener;
  readonly administration: HttpListener;
  proxyHandler: HttpHandler;
  administrationHandler: HttpHandler;
}

/** Opens the ports first, since the identity of the daemon contains them. */
async function openListeners(settings: DaemonSettings): Promise<Listeners> {
  const { address } = settings;
  const notStarted: HttpHandler = (_request, response) =>
    sendJson(response, 503, { reason: "The daemon is starting" }, {
      "guavarun-outcome": "not-run",
    });
  const handlers = {
    proxyHandler: notStarted,
    administrationHandler: notStarted,
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

function identify(
  settings: DaemonSettings,
  listeners: Listeners,
): HostIdentity {
  return {
    process: { host: settings.host, startedAt: SYSTEM_CLOCK.now() },
    failureDomain: settings.failureDomain,
    addresses: {
      address: settings.address,
      proxyPort: listeners.proxy.port,
      administrationPort: listeners.administration.port,
      linkPort: settings.linkPort,
    },
  };
}
