/**
 * The rate limit of the instance beside a gate: what it names in its responses, and what peers have kept of
 * it for a restarted daemon.
 *
 * @module
 */

import type { Disposable } from "../../../base/common/disposable.ts";
import { createEmitter, type Event } from "../../../base/common/emitter.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { InstanceReport } from "../../../world/common/mesh_instance.ts";
import type { InstanceNotices } from "./instance_notices.ts";
import {
  createRateLimitAnnouncements,
  type NamedRateLimit,
} from "./named_rate_limit.ts";
import { createRequestRate, type RequestRate } from "./request_rate.ts";

type Instance = Pick<InstanceReport, "identity" | "startedAt">;

export interface InstanceRateLimit extends Disposable {
  readonly rate: Omit<RequestRate, "setLimit">;
  /** Fires when the limit has changed considerably. */
  readonly onChanged: Event<NamedRateLimit>;
  /** Applies what a response of the instance says. */
  applyNotice(
    notice: InstanceNotices["rateLimit"],
    instance: Instance,
    now: Milliseconds,
  ): void;
  /** Ends the limit of the instance before, and applies a restored one of this instance. */
  handleNewInstance(instance: Instance, now: Milliseconds): void;
  /** Restores a limit; it is in force once the instance that named it is known. */
  restore(
    limit: NamedRateLimit,
    instance: Instance | undefined,
    now: Milliseconds,
  ): void;
}

export function createInstanceRateLimit(): InstanceRateLimit {
  const rate = createRequestRate();
  const announcements = createRateLimitAnnouncements();
  const changed = createEmitter<NamedRateLimit>();
  let restored: NamedRateLimit | undefined;

  function setLimit(
    perSecond: number | undefined,
    { identity, startedAt }: Instance,
    now: Milliseconds,
  ): void {
    rate.setLimit(perSecond, now);
    const named = { instance: identity, startedAt, perSecond };
    if (announcements.isDue(named, now)) {
      changed.fire(named);
    }
  }

  function applyRestored(instance: Instance, now: Milliseconds): void {
    if (
      restored?.instance === instance.identity &&
      restored.startedAt === instance.startedAt
    ) {
      const { perSecond } = restored;
      restored = undefined;
      // What the instance itself has named since the start of this daemon is newer.
      if (rate.limit === undefined) {
        setLimit(perSecond, instance, now);
      }
    }
  }

  return {
    rate,
    onChanged: changed.event,
    applyNotice(notice, instance, now) {
      if (notice !== "unknown") {
        setLimit(notice === "none" ? undefined : notice, instance, now);
      }
    },
    handleNewInstance(instance, now) {
      rate.setLimit(undefined, now);
      applyRestored(instance, now);
    },
    restore(limit, instance, now) {
      restored = limit;
      if (instance !== undefined) {
        applyRestored(instance, now);
      }
    },
    dispose: () => changed.dispose(),
  };
}
