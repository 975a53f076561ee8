/**
 * Decides whether a call is refused before it starts because its nested calls are being refused.
 *
 * Load pattern: the service that a route calls cannot be reached or has no room for long. Each call of the route
 * then runs until its nested call is refused, and fails: it has used a slot and the time of its caller, and its
 * response is final, while a call that was refused before it started may be made again. While some of the calls
 * succeed, refusing a share of them is worse: the room that they leave goes to less urgent calls of the
 * service that they call, not to the nested calls of the others (`room_sharing_replay_test.ts`).
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { RouteName } from "../../../world/common/names.ts";

/** Runs lose weight to a third within this time; a gate runs some ten calls of a route in it. */
const DECAY_MS: Milliseconds = 1_000;
/** Fewer runs than this show no share. */
const MINIMUM_RUNS = 4;
/** Nearly all calls fail. */
const STARTS_ABOVE = 0.9;
/** Hysteresis: one probe that succeeds does not end the refusals, several do. */
const ENDS_BELOW = 0.7;
/** Without a further failure the share of refused calls falls to a third within this time. */
const RECOVERY_MS: Milliseconds = 100;
/** At least one call in five is a probe. */
const MAXIMUM_REFUSED_SHARE = 0.8;
/** Routes of earlier configurations are forgotten. */
const MAXIMUM_ROUTES = 256;

/** When a refused caller may retry: the refusals have ended by then unless calls still fail. */
export const NESTED_RETRY_AFTER_MS: Milliseconds = 2 * RECOVERY_MS;

interface RouteRuns {
  updatedAt: Milliseconds;
  runs: number;
  failed: number;
  lastFailedAt: Milliseconds;
  isRefusing: boolean;
  /** The refusals that are due; a call is refused when it reaches 1. */
  due: number;
}

export interface NestedRefusals {
  /** Records a call that has run; `failed` if a nested call of it was refused. */
  recordRun(route: RouteName, failed: boolean, now: Milliseconds): void;
  /** Returns whether to refuse a call that would otherwise start. */
  takeRefusal(route: RouteName, now: Milliseconds): boolean;
}

export function createNestedRefusals(): NestedRefusals {
  const routes = new Map<RouteName, RouteRuns>();

  return {
    recordRun(route, failed, now) {
      let runs = routes.get(route);
      if (runs === undefined) {
        if (!failed) {
          return;
        }
        if (routes.size >= MAXIMUM_ROUTES) {
          routes.delete(routes.keys().next().value!);
        }
        runs = {
          updatedAt: now,
          runs: 0,
          failed: 0,
          lastFailedAt: now,
          isRefusing: false,
          due: 0,
        };
        routes.set(route, runs);
      }
      const factor = Math.exp((runs.updatedAt - now) / DECAY_MS);
      runs.updatedAt = now;
      runs.runs = runs.runs * factor + 1;
      runs.failed = runs.failed * factor + (failed ? 1 : 0);
      if (failed) {
        runs.lastFailedAt = now;
      }
      const share = runs.failed / runs.runs;
      runs.isRefusing = runs.isRefusing
        ? share >= ENDS_BELOW
        : runs.runs >= MINIMUM_RUNS && share > STARTS_ABOVE;
    },
    takeRefusal(route, now) {
      const runs = routes.get(route);
      if (runs === undefined || !runs.isRefusing) {
        return false;
      }
      const recency = Math.exp((runs.lastFailedAt - now) / RECOVERY_MS);
      runs.due += Math.min(
        MAXIMUM_REFUSED_SHARE,
        recency * runs.failed / runs.runs,
      );
      if (runs.due < 1) {
        return false;
      }
      runs.due -= 1;
      return true;
    },
  };
}
