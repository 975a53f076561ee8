/**
 * Lists the gates that can be offered calls of a service, from the status of this and the other daemons.
 *
 * @module
 */

import type { Clock } from "../../../base/common/clock.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type {
  FailureDomainName,
  HostName,
  ServiceName,
  ServiceVersion,
} from "../../../world/common/names.ts";
import type { Fleet } from "../../fleet/common/fleet.ts";
import type { Gate } from "../../gate/common/gate.ts";
import type { GateClient } from "../../gate/common/gate_client.ts";
import { HEARTBEAT_TOLERANCE_MS } from "../../link/common/link_rules.ts";
import type { PeerNetwork } from "../../link/common/peer_network.ts";
import type { GateCandidate } from "./gate_choice.ts";
import type { HostDelays } from "./host_delays.ts";

export interface VersionedCandidate extends GateCandidate {
  readonly version: ServiceVersion;
}

export interface CandidateSources {
  readonly self: {
    readonly host: HostName;
    readonly failureDomain: FailureDomainName;
  };
  readonly clock: Clock;
  readonly gate: Gate;
  readonly gates: Pick<GateClient, "countOutstanding" | "isUnresponsive">;
  readonly fleet: Pick<Fleet, "members">;
  readonly network: Pick<PeerNetwork, "getOverdueTime">;
  readonly hostDelays: Pick<HostDelays, "current">;
  /** Whether no calls may be sent to the instances of a failure domain. */
  readonly isEvacuated: (failureDomain: FailureDomainName) => boolean;
  /** How long received frames may have waited for the event loop of this process. */
  readonly loopDelay: Milliseconds;
}

export function listCandidates(
  service: ServiceName,
  {
    self,
    clock,
    gate,
    gates,
    fleet,
    network,
    hostDelays,
    isEvacuated,
    loopDelay,
  }: CandidateSources,
): VersionedCandidate[] {
  const candidates: VersionedCandidate[] = [];
  if (gate.isServing && gate.instance?.service === service) {
    candidates.push({
      ...self,
      version: gate.instance.version,
      load: gate.load,
      outstanding: gates.countOutstanding(self.host),
      isCold: gate.coldForMilliseconds > 0,
      isUnresponsive: false,
      hostDelay: 0,
    });
  }
  for (
    const { host, failureDomain, status, load, coldUntil } of fleet.members
  ) {
    const { instance, isStopping } = status;
    if (
      instance?.service === service && instance.isServing && !isStopping &&
      !isEvacuated(failureDomain)
    ) {
      candidates.push({
        host,
        failureDomain,
        version: instance.version,
        load,
        outstanding: gates.countOutstanding(host),
        isCold: coldUntil > clock.now(),
        isUnresponsive: gates.isUnresponsive(host) ||
          network.getOverdueTime(host) > HEARTBEAT_TOLERANCE_MS + loopDelay,
        hostDelay: hostDelays.current(host, clock.now()),
      });
    }
  }
  return candidates;
}
