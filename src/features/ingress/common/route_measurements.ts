/**
 * What a daemon has measured of the calls of each route.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { MeshRoute } from "../../../world/common/mesh_configuration.ts";
import type { RouteName, ServiceName } from "../../../world/common/names.ts";
import type { GateOutcome } from "../../gate/common/gate_call.ts";
import { createMovingAverages } from "../../gate/common/moving_averages.ts";
import { isSuccess } from "./outcome_properties.ts";

/** Before the first response, a call is assumed to take this fraction of its objective. */
const INITIAL_OBJECTIVE_FRACTION = 1 / 3;

export interface RouteMeasurements {
  meanServiceTime(route: MeshRoute): Milliseconds;
  /** The mean service time over all calls of a service; undefined if unknown. */
  meanServiceTimeOf(service: ServiceName): Milliseconds | undefined;
  /** The mean time from an offer to its response: service time, queueing and transit; 0 if unknown. */
  meanResponseTime(route: RouteName): Milliseconds;
  /** The mean size of a response; 0 if unknown. */
  meanResponseBytes(route: RouteName): number;
  recordResponseTime(route: RouteName, duration: Milliseconds): void;
  recordOutcome(
    route: RouteName,
    outcome: GateOutcome,
    service: ServiceName,
  ): void;
}

export function createRouteMeasurements(): RouteMeasurements {
  const serviceTimes = createMovingAverages();
  const timesByService = createMovingAverages();
  const responseBytes = createMovingAverages();
  const responseTimes = createMovingAverages();
  return {
    meanServiceTime: (route) =>
      serviceTimes.averageOf(
        route.name,
        route.objectiveMilliseconds * INITIAL_OBJECTIVE_FRACTION,
      ),
    meanServiceTimeOf: (service) =>
      timesByService.averageOf(service, 0) || undefined,
    meanResponseTime: (route) => responseTimes.averageOf(route, 0),
    meanResponseBytes: (route) => responseBytes.averageOf(route, 0),
    recordResponseTime: (route, duration) =>
      responseTimes.record(route, duration),
    recordOutcome(route, outcome, service) {
      if (outcome.type !== "answer") {
        return;
      }
      if (isSuccess(outcome)) {
        serviceTimes.record(route, outcome.serviceMilliseconds);
        timesByService.record(service, outcome.serviceMilliseconds);
      }
      responseBytes.record(route, outcome.body.length);
    },
  };
}
