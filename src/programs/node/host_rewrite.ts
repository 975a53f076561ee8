/**
 * Writes the address of this daemon and the departures from its host to the store again after the store has come back
 * from an older copy, which may lack them.
 *
 * Calls of the store are limited for all daemons together. Each daemon makes one append for each era, at a random time
 * of a period that grows with the fleet, so that hundreds of daemons make about {@linkcode WRITES_PER_SECOND} together.
 * Without a call no daemon could tell whether its records were lost, and a read would cost as much as the append.
 *
 * @module
 */

import { computeBackoff } from "../../base/common/backoff.ts";
import type { Clock } from "../../base/common/clock.ts";
import type { EventLog } from "../../base/common/event_log.ts";
import type { Milliseconds } from "../../base/common/milliseconds.ts";
import type { RandomSource } from "../../base/common/random_source.ts";
import { createConfirmedWrite } from "./confirmed_write.ts";
import { isSameTarget } from "./host_registration.ts";
import type { MeshStore } from "../../features/operator/common/mesh_store.ts";
import type { LinkTarget } from "../../features/link/common/peer_network.ts";
import {
  type DepartedInstance,
  isSameDeparture,
} from "../../world/common/mesh_instance.ts";

/** The rate of the appends of all daemons together. */
export const WRITES_PER_SECOND = 20;
/** Leaves the first second of an era to the operator and to the readers of its records. */
const START_DELAY_MS: Milliseconds = 1_000;
/** Long, since a store that fails for one daemon may fail for all. */
const RETRY_BACKOFF = { baseMilliseconds: 1_000, capMilliseconds: 10_000 };
/** Bounds the calls for one era; a later era starts again. */
const MAXIMUM_ATTEMPTS = 8;

export interface HostRewriteOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly store: Pick<MeshStore, "rewriteHost" | "readHosts">;
  readonly target: LinkTarget;
  /** The number of daemons. */
  readonly countHosts: () => number;
  readonly departed: () => readonly DepartedInstance[];
  readonly isStopped: () => boolean;
}

/** Returns a function that must be called when the era of the store has risen. */
export function createHostRewrite(
  options: HostRewriteOptions,
): () => Promise<void> {
  const { clock, random, log, store, target } = options;
  let eras = 0;

  function createWrite() {
    let departed = options.departed();
    return createConfirmedWrite({
      write() {
        departed = options.departed();
        return store.rewriteHost(target, departed);
      },
      isStored: async () =>
        (await store.readHosts(target.host)).map((stored) =>
          stored.targets.some((each) => isSameTarget(each, target)) &&
          departed.every((each) =>
            stored.departed.some((other) => isSameDeparture(each, other))
          )
        ),
    });
  }

  return async () => {
    eras += 1;
    const era = eras;
    const isOver = () => options.isStopped() || era !== eras;
    const period = options.countHosts() * 1_000 / WRITES_PER_SECOND;
    await clock.sleep(START_DELAY_MS + random.nextFraction() * period);
    const write = createWrite();
    for (let attempts = 1; !isOver(); attempts += 1) {
      const written = await write();
      if (written.ok) {
        log.write("info", "host.written-again", {
          departed: options.departed().length,
        });
        return;
      }
      log.write("warn", "host.not-written-again", {
        error: written.val.message,
        attempts,
      });
      if (attempts === MAXIMUM_ATTEMPTS) {
        return;
      }
      await clock.sleep(
        START_DELAY_MS + computeBackoff(attempts, random, RETRY_BACKOFF),
      );
    }
  };
}
