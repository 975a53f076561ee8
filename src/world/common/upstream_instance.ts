import type {
  FailureDomainName,
  HostName,
  ServiceName,
  ServiceVersion,
} from "./names.ts";

export type UpstreamState = "starting" | "ready" | "draining";

/** The announcement that an instance of an upstream sends to the daemon on its host. */
export interface UpstreamAnnouncement {
  readonly service: ServiceName;
  readonly version: ServiceVersion;
  readonly address: string;
  readonly port: number;
  /** The number of calls that the instance handles concurrently. */
  readonly slots: number;
  readonly state: UpstreamState;
}

/** An announced instance of an upstream with its host and failure domain. */
export interface UpstreamInstance extends UpstreamAnnouncement {
  /** Unique among all instances: `host/address:port`. */
  readonly identity: string;
  readonly host: HostName;
  readonly failureDomain: FailureDomainName;
}

export function formatInstanceIdentity(
  host: HostName,
  announcement: Pick<UpstreamAnnouncement, "address" | "port">,
): string {
  return `${host}/${announcement.address}:${announcement.port}`;
}
