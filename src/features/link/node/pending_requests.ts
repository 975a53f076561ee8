/**
 * Requests in flight that wait for an answer or a timeout.
 *
 * @module
 */

import type { Clock } from "../../../base/common/clock.ts";
import type { Disposable } from "../../../base/common/disposable.ts";
import { Err, Ok, type Result } from "../../../base/common/result.ts";
import { type Outcome, StepError } from "../../../base/common/step_error.ts";
import type { HostName } from "../../../world/common/names.ts";
import type { LinkMessage, RequestOptions } from "../common/peer_network.ts";

export type RequestResult = Result<LinkMessage, StepError>;

export interface PendingRequest {
  readonly id: number;
  readonly isSettled: boolean;
  /** Whether the frame was passed to a link; a failure after that has the outcome `unknown`. */
  sent: boolean;
  fail(reason: string, outcome?: Outcome): void;
}

export interface PendingRequests {
  add(
    host: HostName,
    message: LinkMessage,
    options: RequestOptions,
    settle: (result: RequestResult) => void,
  ): PendingRequest;
  answer(host: HostName, id: number, message: LinkMessage): void;
  fail(host: HostName, id: number, reason: string): void;
  /** Fails all requests that were sent to a host, or all requests if no host is given. */
  failAll(reason: string, host?: HostName): void;
}

export function createPendingRequests(clock: Clock): PendingRequests {
  interface Entry extends PendingRequest {
    readonly host: HostName;
    settle(result: RequestResult): void;
  }
  const entries = new Map<number, Entry>();
  let lastId = 0;

  return {
    add(host, message, { timeoutMilliseconds }, settle) {
      const id = lastId += 1;
      const entry: Entry = {
        id,
        host,
        sent: false,
        get isSettled() {
          return !entries.has(id);
        },
        settle(result) {
          if (entries.delete(id)) {
            timer.dispose();
            settle(result);
          }
        },
        fail(reason, outcome = entry.sent ? "unknown" : "not-run") {
          entry.settle(
            Err(
              new StepError(`link.request.${message.kind}`, reason, {
                peer: host,
                outcome,
              }),
            ),
          );
        },
      };
      const timer: Disposable = clock.schedule(
        timeoutMilliseconds,
        () =>
          entry.fail(`No answer from ${host} within ${timeoutMilliseconds} ms`),
      );
      entries.set(id, entry);
      return entry;
    },
    answer(host, id, message) {
      const entry = entries.get(id);
      if (entry?.host === host) {
        entry.settle(Ok(message));
      }
    },
    fail(host, id, reason) {
      const entry = entries.get(id);
      if (entry?.host === host) {
        entry.fail(reason);
      }
    },
    failAll(reason, host) {
      for (const entry of [...entries.values()]) {
        if (host === undefined || (entry.host === host && entry.sent)) {
          entry.fail(reason);
        }
      }
    },
  };
}
