/**
 * The part of the recent calls that an instance has failed or refused.
 *
 * Load pattern: an instance that answers errors at once while its health check is good. Its calls end
 * sooner than those of all others, so a choice by load and speed sends it most of the traffic.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";

/** The weight of one call: some ten calls decide. */
const NEWEST_WEIGHT = 0.1;
/** Without calls the part falls to a third in this time, so that the instance is tried again. */
const FORGET_MS: Milliseconds = 5_000;
/** A single failure among many calls is no sign of a fault. */
const LEAST_PART = 0.12;

export interface FailurePart {
  record(isFailure: boolean, now: Milliseconds): void;
  /** 0 to 1. */
  current(now: Milliseconds): number;
}

export function createFailureRate(): FailurePart {
  let part = 0;
  let updatedAt: Milliseconds = 0;

  function decay(now: Milliseconds): void {
    part *= Math.exp((updatedAt - now) / FORGET_MS);
    updatedAt = now;
  }

  return {
    record(isFailure, now) {
      decay(now);
      part += NEWEST_WEIGHT * ((isFailure ? 1 : 0) - part);
    },
    current(now) {
      decay(now);
      return part < LEAST_PART ? 0 : part;
    },
  };
}
