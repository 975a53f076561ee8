/**
 * Checks that calls are served again after the faults, as far as the instances that are left have room.
 *
 * @module
 */

import type { Milliseconds } from "../src/base/common/milliseconds.ts";
import {
  type GuaranteeBounds,
  isDisrupted,
  type Observations,
  type ObservedCall,
  type Violation,
} from "./observations.ts";

export function checkRecovery(
  observations: Observations,
  bounds: GuaranteeBounds,
): Violation[] {
  const faults = observations.disruptions.filter(({ isStarvation }) =>
    !isStarvation
  );
  const recoveredAt = Math.max(0, ...faults.map(({ until }) => until)) +
    bounds.recoverWithin;
  const callsSince = observations.calls.filter(({ sentAt }) =>
    sentAt > recoveredAt
  );
  const calls = callsSince.filter((call) =>
    call.routeNumber === undefined &&
    !isDisrupted(observations, call, { from: call.sentAt, until: call.endedAt })
  );
  const loads = measureLoads(observations, callsSince);
  const servable = calls.map((call) =>
    estimateServableShare(observations, { call, loads, bounds })
  ).reduce((sum, share) => sum + share, 0);
  const served = calls.filter(({ status }) => status === 200).length;
  return calls.length === 0 || served < bounds.recoveredShare * servable
    ? [{
      promise: "recovered",
      detail: `${served} of ${calls.length} calls served, ${
        Math.floor(servable)
      } could be`,
    }]
    : [];
}

interface ServiceLoad {
  readonly callsPerSecond: number;
  readonly meanRunMilliseconds: Milliseconds;
}

/** Measures what callers ask of each service. */
function measureLoads(
  { runs }: Observations,
  calls: readonly ObservedCall[],
): ReadonlyMap<string, ServiceLoad> {
  const times = calls.map(({ sentAt }) => sentAt);
  const duration = Math.max(...times) - Math.min(...times);
  const loads = new Map<string, ServiceLoad>();
  for (const service of new Set(calls.map(({ service }) => service))) {
    const ofService = calls.filter((call) => call.service === service);
    const identities = new Set(ofService.map(({ identity }) => identity));
    const answered = runs.filter(({ identity, outcome }) =>
      identities.has(identity) && outcome === "answered"
    );
    const total = answered.reduce((sum, run) => sum + run.endedAt - run.at, 0);
    loads.set(service, {
      callsPerSecond: duration > 0 ? ofService.length * 1_000 / duration : 0,
      meanRunMilliseconds: answered.length > 0 ? total / answered.length : 0,
    });
  }
  return loads;
}

interface ServableInput {
  readonly call: ObservedCall;
  readonly loads: ReadonlyMap<string, ServiceLoad>;
  readonly bounds: GuaranteeBounds;
}

/** The share of such calls that finds a free slot, also of the call that is made for this one. */
function estimateServableShare(
  observations: Observations,
  { call, loads, bounds }: ServableInput,
): number {
  const nested = observations.calls.find(({ identity }) =>
    identity.startsWith(`${call.identity}-`)
  );
  const services = [call.service, ...nested ? [nested.service] : []];
  return services.map((service) =>
    estimateServiceShare(observations, {
      service,
      load: loads.get(service)!,
      from: call.sentAt - bounds.recoverWithin,
      until: call.endedAt,
    })
  ).reduce((product, share) => product * share, 1);
}

/** 1 while no instance of the service is evacuated. */
function estimateServiceShare(
  { hosts, evacuations }: Observations,
  { service, load, from, until }: {
    readonly service: string;
    readonly load: ServiceLoad;
    readonly from: Milliseconds;
    readonly until: Milliseconds;
  },
): number {
  const evacuated = new Set(
    evacuations.filter((each) => each.acceptedAt <= until && each.until >= from)
      .map(({ failureDomain }) => failureDomain),
  );
  const ofService = hosts.filter((host) => host.service === service);
  const left = ofService.filter(({ failureDomain }) =>
    !evacuated.has(failureDomain)
  );
  if (left.length === ofService.length) {
    return 1;
  }
  const slots = left.reduce((sum, host) => sum + host.slots, 0);
  const offered = load.callsPerSecond * load.meanRunMilliseconds / 1_000;
  return 1 - computeBlockedShare(slots, offered);
}

/**
 * The share of calls that find all slots occupied, by Erlang's loss formula; `offered` is the mean number of slots
 * that all calls together would occupy.
 */
export function computeBlockedShare(slots: number, offered: number): number {
  let blocked = 1;
  for (let slot = 1; slot <= slots; slot += 1) {
    blocked = offered * blocked / (slot + offered * blocked);
  }
  return blocked;
}
