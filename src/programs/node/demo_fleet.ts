/**
 * The fleet of the demo and of `scripts/run_processes.mjs`: a platform log, two failure domains
 * of three hosts, and upstreams of two versions of one service.
 *
 * @module
 */

import { createHash } from "node:crypto";
import * as valibot from "valibot";
import { findFreePorts } from "../../base/node/free_ports.ts";
import type { ChangeDocument } from "../../features/administration/common/documents.ts";
import {
  type DaemonSettings,
  daemonSettingsSchema,
} from "../common/daemon_settings.ts";
import {
  type PlatformSettings,
  platformSettingsSchema,
} from "../common/platform_settings.ts";
import {
  type UpstreamSettings,
  upstreamSettingsSchema,
} from "../common/upstream_settings.ts";

const LOOPBACK = "127.0.0.1";
const FAILURE_DOMAINS = ["tacoma", "everett"];
const HOSTS_PER_DOMAIN = 3;
const PORTS_PER_DAEMON = 3;

export const DEMO_CUSTOMER = "hollister";
export const DEMO_SERVICE = "booking";
export const OLD_VERSION = "1.0";
export const NEW_VERSION = "1.1";

export interface Fleet {
  readonly platform: PlatformSettings;
  readonly daemons: readonly DaemonSettings[];
  readonly upstreams: readonly UpstreamSettings[];
}

export interface FleetSize {
  readonly failureDomains?: readonly string[];
  readonly hostsPerDomain?: number;
}

/** Creates the settings of the fleet on free loopback ports, with one token for all customers. */
export async function createFleet(
  token: string,
  { failureDomains = FAILURE_DOMAINS, hostsPerDomain = HOSTS_PER_DOMAIN }:
    FleetSize = {},
): Promise<Fleet> {
  const hosts = failureDomains.flatMap((failureDomain) =>
    Array.from({ length: hostsPerDomain }, (_, index) => ({
      host: `${failureDomain}-${index + 1}`,
      failureDomain,
    }))
  );
  const ports = await findFreePorts(1 + hosts.length * PORTS_PER_DAEMON);
  const platform = valibot.parse(platformSettingsSchema, {
    address: LOOPBACK,
    port: ports.shift(),
  });
  const endpoints = hosts.map((host) => ({
    ...host,
    address: LOOPBACK,
    proxyPort: ports.shift(),
    administrationPort: ports.shift(),
    linkPort: ports.shift()!,
  }));
  const seeds = endpoints.map(({ host, address, linkPort }) => ({
    host,
    address,
    linkPort,
  }));
  const sha256 = createHash("sha256").update(token).digest("hex");
  const daemons = endpoints.map((endpoint) =>
    valibot.parse(daemonSettingsSchema, {
      ...endpoint,
      seeds: seeds.filter((seed) => seed.host !== endpoint.host),
      platform: { address: LOOPBACK, port: platform.port },
      tokens: [{ sha256, team: "demo", mayPublish: true, customers: ["*"] }],
    })
  );
  return { platform, daemons, upstreams: daemons.flatMap(createUpstreams) };
}

/** Creates the settings of one upstream per version for a host. */
function createUpstreams(daemon: DaemonSettings): UpstreamSettings[] {
  return [OLD_VERSION, NEW_VERSION].map((version) =>
    valibot.parse(upstreamSettingsSchema, {
      service: DEMO_SERVICE,
      version,
      address: LOOPBACK,
      administrationPort: daemon.administrationPort,
    })
  );
}

/** Creates the contract that the demo publishes, with a rate limit. */
export function createDemoContract(
  requestsPerSecond: number,
  failureDomains: readonly string[] = FAILURE_DOMAINS,
): ChangeDocument {
  const route = { service: DEMO_SERVICE, deadlineMilliseconds: 3_000 };
  return {
    upsert: {
      failureDomains: [...failureDomains],
      services: [{ name: DEMO_SERVICE, version: OLD_VERSION }],
      routes: [
        {
          ...route,
          name: "availability",
          method: "GET",
          pathPrefix: "/v1/availability",
          callClass: "read",
          stalenessMilliseconds: 5_000,
        },
        {
          ...route,
          name: "reservations",
          method: "POST",
          pathPrefix: "/v1/reservations",
          callClass: "non-idempotent",
          stalenessMilliseconds: 0,
        },
      ],
      contracts: [{
        customer: DEMO_CUSTOMER,
        routes: ["availability", "reservations"],
        limits: { requestsPerSecond, concurrency: 600, retryShare: 0.2 },
      }],
    },
    remove: { failureDomains: [], services: [], routes: [], contracts: [] },
  };
}
