/**
 * Hosts and the daemon processes on them.
 *
 * @module
 */

import type { Milliseconds } from "../../base/common/milliseconds.ts";
import type { FailureDomainName, HostName } from "./names.ts";

/** One run of a daemon. A restarted daemon on the same host is another process. */
export interface ProcessIdentity {
  readonly host: HostName;
  readonly startedAt: Milliseconds;
}

/** Where a daemon listens. */
export interface HostAddresses {
  readonly address: string;
  readonly proxyPort: number;
  readonly administrationPort: number;
  readonly linkPort: number;
}

/** A daemon as its settings describe it. */
export interface HostIdentity {
  readonly process: ProcessIdentity;
  readonly failureDomain: FailureDomainName;
  readonly addresses: HostAddresses;
}

export function formatProcess(process: ProcessIdentity): string {
  return `${process.host}@${process.startedAt}`;
}
