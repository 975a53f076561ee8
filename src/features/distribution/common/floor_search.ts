/**
 * Search for the version floor of a restarted daemon (G1): the daemon serves nothing until its
 * configuration is at or above the version that its host had in force before the restart.
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
import type { RandomSource } from "../../../base/common/random_source.ts";
import type { HostIdentity } from "../../../world/common/host.ts";
import type {
  ConfigurationVersion,
  HostName,
} from "../../../world/common/names.ts";
import type {
  LinkMessage,
  PeerNetwork,
} from "../../link/common/peer_network.ts";
import type { Directory } from "../../membership/common/directory.ts";
import { canConfirmFloor, decideFloor } from "./distribution_rules.ts";
import { type FloorMessage, parseFloor } from "./messages.ts";
import type { Replica } from "./replica.ts";

const SEARCH_INTERVAL_MS: Milliseconds = 300;
const REQUEST_TIMEOUT_MS: Milliseconds = 1_000;
const MAXIMUM_ASKED_HOSTS = 12;

export interface FloorSearchOptions {
  readonly self: HostIdentity;
  readonly directory: Pick<
    Directory,
    "localMembers" | "remoteMembers" | "departures"
  >;
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  getReplica(): Replica;
  findVersion(host: HostName): ConfigurationVersion;
  isCurrentWithPeersExcept(host: HostName): boolean;
}

export interface FloorSearch extends Disposable {
  readonly isReached: boolean;
  /** Compares the current configuration with the floor. */
  update(): void;
  /** Marks the floor as reached: the log contains every version that was ever in force. */
  reportLogEnd(): void;
}

export function startFloorSearch(options: FloorSearchOptions): FloorSearch {
  const { self, network, clock, random, log } = options;
  const owned = createDisposableStore();
  let floor: ConfigurationVersion | undefined;
  let isReached = false;
  let isDisposed = false;
  let logEndAt: Milliseconds | undefined;

  const getVersion = () => options.getReplica().fold.configuration.version;

  function markReached(reason: string): void {
    if (!isReached) {
      isReached = true;
      log.write("info", "floor.reached", {
        version: getVersion(),
        reason,
      });
    }
  }

  function update(): void {
    if (floor !== undefined && getVersion() >= floor) {
      markReached("peers");
    }
  }

  function listHostsToAsk(): HostName[] {
    const { localMembers, remoteMembers } = options.directory;
    const hosts = new Set(
      [...network.peers, ...localMembers, ...remoteMembers]
        .map(({ process }) => process.host),
    );
    hosts.delete(self.process.host);
    return [...hosts].slice(0, MAXIMUM_ASKED_HOSTS);
  }

  async function ask(host: HostName): Promise<FloorMessage | undefined> {
    const answer = await network.request(host, { kind: "floor-request" }, {
      timeoutMilliseconds: REQUEST_TIMEOUT_MS,
    });
    return answer.ok ? parseFloor(answer.val) : undefined;
  }

  async function search(): Promise<void> {
    const answers = await Promise.all(listHostsToAsk().map(ask));
    floor ??= decideFloor(answers.filter((answer) => answer !== undefined));
    update();
    scheduleSearch();
  }

  function scheduleSearch(): void {
    if (floor === undefined && !isReached && !isDisposed) {
      const delay = SEARCH_INTERVAL_MS * (0.5 + random.nextFraction());
      owned.add(clock.schedule(delay, start));
    }
  }

  function start(): void {
    search().catch((error) => {
      log.write("error", "task.failed", { reason: String(error) });
      scheduleSearch();
    });
  }

  function hasDaemonsExcept(host: HostName): boolean {
    const { localMembers, remoteMembers, departures } = options.directory;
    return [...localMembers, ...remoteMembers, ...departures].some(
      ({ process }) =>
        process.host !== host && process.host !== self.process.host,
    );
  }

  owned.add(network.onRequest("floor-request", ({ process: { host } }) =>
    ({
      kind: "floor",
      hostVersion: options.findVersion(host),
      version: getVersion(),
      isReady: isReached && canConfirmFloor({
        logEndAge: logEndAt === undefined ? undefined : clock.now() - logEndAt,
        isCurrentWithPeers: options.isCurrentWithPeersExcept(host),
        hasOtherDaemons: hasDaemonsExcept(host),
      }),
    }) as LinkMessage));
  start();

  return {
    get isReached() {
      return isReached;
    },
    update,
    reportLogEnd() {
      logEndAt = clock.now();
      markReached("log");
    },
    dispose() {
      isDisposed = true;
      owned.dispose();
    },
  };
}
