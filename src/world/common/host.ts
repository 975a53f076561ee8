/**
 * Hosts and their daemon processes.
 *
 * @module
 */

import type { Milliseconds } from "../../base/common/milliseconds.ts";
import type { FailureDomainName, HostName } from "./names.ts";

/** Identifies one run of a daemon. After a restart, the daemon on the same host is another process. */
export interface ProcessIdentity {
  readonly host: HostName;
  readonly startedAt: Milliseconds;
}

/** The address and ports on which a daemon listens. */
export interface HostAddresses {
  readonly address: string;
  readonly proxyPort: number;
  readonly administrationPort: number;
  readonly linkPort: number;
}

/** The identity, failure domain and addresses of a daemon, from its settings. */
export interface HostIdentity {
  readonly process: ProcessIdentity;
  readonly failureDomain: FailureDomainName;
  readonly addresses: HostAddresses;
}

export function formatProcess(process: ProcessIdentity): string {
  return `${process.host}@${process.startedAt}`;
}
