/**
 * Decides whether this daemon reads the platform's log. Standby readers, the members ranked after
 * the readers, check the readers of the domain and read the log themselves while no reader sees its
 * end. Membership needs 6 s to declare a reader dead, longer than a change may take to arrive.
 *
 * @module
 */

import type { Clock } from "../../../base/common/clock.ts";
import {
  createDisposableStore,
  type Disposable,
} from "../../../base/common/disposable.ts";
import type { EventLog } from "../../../base/common/event_log.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { HostIdentity } from "../../../world/common/host.ts";
import type { HostName } from "../../../world/common/names.ts";
import type {
  LinkMessage,
  PeerNetwork,
} from "../../link/common/peer_network.ts";
import type { Directory } from "../../membership/common/directory.ts";
import {
  isHealthyReader,
  isReader,
  isStandbyNeeded,
  isStandbyReader,
  rankReaders,
} from "./distribution_rules.ts";
import { parseReaderStatus } from "./messages.ts";

const CHECK_INTERVAL_MS: Milliseconds = 500;
const CHECK_TIMEOUT_MS: Milliseconds = 400;

export interface ReaderMonitorOptions {
  readonly self: HostIdentity;
  readonly directory: Pick<Directory, "localMembers">;
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly log: EventLog;
}

export interface ReaderMonitor extends Disposable {
  /** Whether this daemon reads the platform now. */
  readonly isReading: boolean;
  /** Called when this daemon has seen the end of the log. */
  reportLogEnd(): void;
}

export function startReaderMonitor(
  options: ReaderMonitorOptions,
): ReaderMonitor {
  const { self, directory, network, clock, log } = options;
  const owned = createDisposableStore();
  const ownName = self.process.host;
  let logEndAt: Milliseconds | undefined;
  let lastHealthyAt = clock.now();
  let wasReading = false;

  function rankHosts(): HostName[] {
    const hosts = directory.localMembers
      .filter(({ state }) => state === "alive")
      .map(({ process }) => process.host);
    return rankReaders(self.failureDomain, [...hosts, ownName]);
  }

  function isReading(): boolean {
    const ownRank = rankHosts().indexOf(ownName);
    const reading = isReader(ownRank) ||
      (isStandbyReader(ownRank) && isStandbyNeeded(lastHealthyAt, clock.now()));
    if (reading !== wasReading) {
      wasReading = reading;
      log.write("info", "reader.changed", {
        isReading: reading,
        rank: ownRank,
      });
    }
    return reading;
  }

  async function check(reader: HostName): Promise<void> {
    const answer = await network.request(reader, { kind: "reader-check" }, {
      timeoutMilliseconds: CHECK_TIMEOUT_MS,
    });
    const status = answer.ok ? parseReaderStatus(answer.val) : undefined;
    if (isHealthyReader(status?.logEndAge)) {
      lastHealthyAt = clock.now();
    }
  }

  function checkReaders(): void {
    const ranked = rankHosts();
    if (!isStandbyReader(ranked.indexOf(ownName))) {
      lastHealthyAt = clock.now();
      return;
    }
    for (const reader of ranked.filter((_, rank) => isReader(rank))) {
      check(reader).catch((error) =>
        log.write("error", "task.failed", { reason: String(error) })
      );
    }
  }

  owned.add(network.onRequest("reader-check", () => ({
    kind: "reader-status",
    logEndAge: logEndAt === undefined ? undefined : clock.now() - logEndAt,
  } as LinkMessage)));
  owned.add(clock.repeat(CHECK_INTERVAL_MS, checkReaders));

  return {
    get isReading() {
      return isReading();
    },
    reportLogEnd() {
      logEndAt = clock.now();
    },
    dispose: () => owned.dispose(),
  };
}
