/**
 * Registers the link address of this daemon in the store, and discovers the other daemons and the departures from this
 * host.
 *
 * A daemon writes its address before it lists the others, so that of two daemons that start
 * concurrently at least one finds the other. Daemons that start later connect to this one.
 *
 * @module
 */

import { computeBackoff } from "../../base/common/backoff.ts";
import type { Clock } from "../../base/common/clock.ts";
import type { EventLog } from "../../base/common/event_log.ts";
import type { RandomSource } from "../../base/common/random_source.ts";
import type { Result } from "../../base/common/result.ts";
import type { StepError } from "../../base/common/step_error.ts";
import { createConfirmedWrite } from "./confirmed_write.ts";
import type { Fleet } from "../../features/fleet/common/fleet.ts";
import type { LinkTarget } from "../../features/link/common/peer_network.ts";
import type { DepartedInstance } from "../../world/common/mesh_instance.ts";
import type { MeshStore } from "../../features/operator/common/mesh_store.ts";

const STORE_BACKOFF = { baseMilliseconds: 250, capMilliseconds: 1_500 };

export interface RegistrationOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly store: MeshStore;
  readonly fleet: Fleet;
  readonly target: LinkTarget;
  /** Called when the departures from this host are known. */
  readonly onDepartedRead: (departed: readonly DepartedInstance[]) => void;
  readonly isStopped: () => boolean;
}

export async function registerHost(
  options: RegistrationOptions,
): Promise<void> {
  const { store, fleet, target } = options;
  await retry(
    options,
    createConfirmedWrite({
      write: () => store.announceHost(target),
      isStored: async () =>
        (await store.readHosts(target.host)).map(({ targets }) =>
          targets.some((each) => isSameTarget(each, target))
        ),
    }),
  );
  const hosts = await retry(options, () => store.readHosts(target.host));
  if (hosts !== undefined) {
    options.onDepartedRead(hosts.departed);
    fleet.addListedHosts(hosts.targets);
  }
}

export function isSameTarget(left: LinkTarget, right: LinkTarget): boolean {
  return left.host === right.host && left.address === right.address &&
    left.port === right.port;
}

async function retry<T>(
  { clock, random, log, isStopped }: RegistrationOptions,
  attempt: () => Promise<Result<T, StepError>>,
): Promise<T | undefined> {
  for (let failures = 0; !isStopped(); failures += 1) {
    const result = await attempt();
    if (result.ok) {
      return result.val;
    }
    log.write("warn", "host.registration-failed", {
      step: result.val.step,
      error: result.val.message,
    });
    await clock.sleep(100 + computeBackoff(failures, random, STORE_BACKOFF));
  }
  return undefined;
}
