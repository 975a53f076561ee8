/**
 * The announcement of an upstream to the daemon on its host, and its renewal.
 *
 * @module
 */

import type { Clock } from "../../base/common/clock.ts";
import type { Disposable } from "../../base/common/disposable.ts";
import type { EventLog } from "../../base/common/event_log.ts";
import type { Milliseconds } from "../../base/common/milliseconds.ts";
import { createHttpClient } from "../../base/node/http_client.ts";
import type { UpstreamAnnouncement } from "../../world/common/upstream_instance.ts";

const RENEWAL_MS: Milliseconds = 1_000;
/** An answer that comes later is of no use, since the next renewal is due. */
const ANNOUNCE_TIMEOUT_MS: Milliseconds = 900;

export interface Announcer extends Disposable {
  /** Announces the present state at once. */
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
  const renewal = options.clock.repeat(RENEWAL_MS, () => void announce());
  void announce();

  async function announce(): Promise<void> {
    const answer = await client.send({
      step: "upstream.announce",
      url: `${options.administration}/announcements`,
      method: "POST",
      headers: { "content-type": "application/json" },
      body: JSON.stringify(options.describe()),
      timeoutMilliseconds: ANNOUNCE_TIMEOUT_MS,
    });
    if (answer.err) {
      options.log.write("warn", "upstream.announcement-failed", {
        step: answer.val.step,
        peer: answer.val.peer,
        message: answer.val.message,
      });
    } else if (answer.val.status >= 400) {
      options.log.write("warn", "upstream.announcement-refused", {
        step: "upstream.announce",
        peer: options.administration,
        status: answer.val.status,
      });
    }
  }

  return {
    announce,
    dispose() {
      renewal.dispose();
      client.dispose();
    },
  };
}
