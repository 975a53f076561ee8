/**
 * Announces an upstream to the daemon on its host and renews the announcement periodically.
 *
 * @module
 */

import type { Clock } from "../../base/common/clock.ts";
import type { Disposable } from "../../base/common/disposable.ts";
import type { EventLog } from "../../base/common/event_log.ts";
import type { Milliseconds } from "../../base/common/milliseconds.ts";
import { createHttpClient } from "../../base/node/http_client.ts";
import type { UpstreamAnnouncement } from "../../world/common/upstream_instance.ts";

const RENEWAL_INTERVAL_MS: Milliseconds = 1_000;
/** Less than the renewal interval, because a later response would overlap the next renewal. */
const ANNOUNCE_TIMEOUT_MS: Milliseconds = 900;

export interface Announcer extends Disposable {
  /** Announces the current state. */
  announce(): Promise<void>;
}

export interface AnnouncerOptions {
  /** The administration address of the daemon, such as `http://10.0.0.1:7001`. */
  readonly administration: string;
  readonly describe: () => UpstreamAnnouncement;
  readonly clock: Clock;
  readonly log: EventLog;
}

export function createAnnouncer(options: AnnouncerOptions): Announcer {
  const client = createHttpClient();
  const renewalTimer = options.clock.repeat(
    RENEWAL_INTERVAL_MS,
    () => void announce(),
  );
  void announce();

  async function announce(): Promise<void> {
    const response = await client.send({
      step: "upstream.announce",
      url: `${options.administration}/announcements`,
      method: "POST",
      headers: { "content-type": "application/json" },
      body: JSON.stringify(options.describe()),
      timeoutMilliseconds: ANNOUNCE_TIMEOUT_MS,
    });
    if (response.err) {
      options.log.write("warn", "upstream.announcement-failed", {
        step: response.val.step,
        peer: response.val.peer,
        message: response.val.message,
      });
    } else if (response.val.status >= 400) {
      options.log.write("warn", "upstream.announcement-refused", {
        step: "upstream.announce",
        peer: options.administration,
        status: response.val.status,
      });
    }
  }

  return {
    announce,
    dispose() {
      renewalTimer.dispose();
      client.dispose();
    },
  };
}
