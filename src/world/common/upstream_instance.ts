import type {
  FailureDomainName,
  HostName,
  ServiceName,
  ServiceVersion,
} from "./names.ts";

export type UpstreamState = "starting" | "ready" | "draining";

/** What an upstream says of itself when it announces itself to the daemon on its host. */
export interface UpstreamAnnouncement {
  readonly service: ServiceName;
  readonly version: ServiceVersion;
  readonly address: string;
  readonly port: number;
  /** Calls that the instance handles at a time. */
  readonly slots: number;
  readonly state: UpstreamState;
}

/** An announced upstream with its place. */
export interface UpstreamInstance extends UpstreamAnnouncement {
  /** Unique among all instances: `host/address:port`. */
  readonly identity: string;
  readonly host: HostName;
  readonly failureDomain: FailureDomainName;
}

export function identifyInstance(
  host: HostName,
  announcement: Pick<UpstreamAnnouncement, "address" | "port">,
): string {
  return `${host}/${announcement.address}:${announcement.port}`;
}
