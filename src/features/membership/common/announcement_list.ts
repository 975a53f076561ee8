/**
 * Announced upstreams on the host of this daemon, and the expiry of the announcements.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { UpstreamAnnouncement } from "../../../world/common/upstream_instance.ts";

/** An announcement that is not renewed for this long expires. */
export const ANNOUNCEMENT_LIFETIME_MS: Milliseconds = 3_000;

/** Bounds the size of a member record when a faulty upstream keeps changing its port. */
export const MAXIMUM_ANNOUNCEMENTS = 64;

export interface AnnouncementList {
  readonly upstreams: readonly UpstreamAnnouncement[];
  /** Adds or renews an announcement. Returns whether the list changed. */
  renew(announcement: UpstreamAnnouncement, now: Milliseconds): boolean;
  /** Removes expired announcements. Returns whether the list changed. */
  expire(now: Milliseconds): boolean;
  /**
   * Restarts the lifetime of every announcement after a pause, since renewals may have arrived that
   * are not read yet.
   */
  restartLifetimes(now: Milliseconds): void;
}

export function createAnnouncementList(): AnnouncementList {
  interface Entry {
    readonly announcement: UpstreamAnnouncement;
    readonly expiresAt: Milliseconds;
  }
  const entries = new Map<string, Entry>();

  function put(announcement: UpstreamAnnouncement, now: Milliseconds): void {
    entries.set(`${announcement.address}:${announcement.port}`, {
      announcement,
      expiresAt: now + ANNOUNCEMENT_LIFETIME_MS,
    });
  }

  return {
    get upstreams() {
      return [...entries.values()].map(({ announcement }) => announcement);
    },
    renew(announcement, now) {
      const key = `${announcement.address}:${announcement.port}`;
      const existing = entries.get(key)?.announcement;
      if (existing === undefined && entries.size >= MAXIMUM_ANNOUNCEMENTS) {
        return false;
      }
      put(announcement, now);
      return existing === undefined ||
        existing.service !== announcement.service ||
        existing.version !== announcement.version ||
        existing.slots !== announcement.slots ||
        existing.state !== announcement.state;
    },
    expire(now) {
      const expired = [...entries].filter(([, entry]) =>
        entry.expiresAt <= now
      );
      for (const [key] of expired) {
        entries.delete(key);
      }
      return expired.length > 0;
    },
    restartLifetimes(now) {
      for (const { announcement } of [...entries.values()]) {
        put(announcement, now);
      }
    },
  };
}
