/**
 * Calls of accounts for tests.
 *
 * @module
 */

import type { QueueableCall } from "./call_queue.ts";

export const FIXTURE_SERVICE_MS = 50;

export function createFixtureCall(
  fields: Partial<QueueableCall>,
): QueueableCall {
  return {
    identity: "call",
    isNested: false,
    rank: 1,
    objectiveAt: 400,
    deadlineAt: 1_000,
    expectedMilliseconds: FIXTURE_SERVICE_MS,
    account: "quiet",
    ...fields,
  };
}
