/**
 * Keeps the departures of instances from this host in the store, so that they outlast a restart of all daemons.
 *
 * A departure may be acknowledged to its instance only after it is stored: a daemon that forgets it would take a
 * heartbeat that was sent before the departure, and arrives after a restart, for that of a ready instance.
 *
 * @module
 */

import type { Clock } from "../../../base/common/clock.ts";
import type { EventLog } from "../../../base/common/event_log.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { Result } from "../../../base/common/result.ts";
import type { StepError } from "../../../base/common/step_error.ts";
import {
  type DepartedInstance,
  type DepartureUpdate,
  isSameDeparture,
} from "../../../world/common/mesh_instance.ts";

/** Instances wait one second for an acknowledgement. */
const ACKNOWLEDGEMENT_TIMEOUT_MS: Milliseconds = 850;
/** A write that starts later would not be done in time. */
const MINIMUM_WRITE_MS: Milliseconds = 50;
/** A store that has not responded for this long may have lost the response. */
const REPEAT_MS: Milliseconds = 250;
/** How long a read may take that finds out whether a write was done; the write is then repeated beside it. */
const LOOKUP_MS: Milliseconds = 100;
/** The pause after the first attempt that failed; it doubles with each further one. */
const RETRY_DELAY_MS: Milliseconds = 100;
/**
 * The number of departures that the store keeps for each host. Heartbeats are late by seconds, in which at most a few
 * instances leave the same host.
 */
export const MAXIMUM_STORED_DEPARTURES = 4;

export interface DepartureRecordsOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly write: (update: DepartureUpdate) => Promise<Result<void, StepError>>;
  /** Reads the departures from this host that the store has, the oldest first. */
  readonly read: () => Promise<
    Result<readonly DepartedInstance[], StepError>
  >;
}

/** What is known of a write; `unknown` after a failure that says nothing, as a reset connection. */
type WriteOutcome = "done" | "not-done" | "unknown" | "no-response";

export interface DepartureRecords {
  /** The departures that the store has been seen to have, the oldest first. */
  readonly stored: readonly DepartedInstance[];
  /** Records the departures that the store had when it was read, the oldest first. */
  restore(departed: readonly DepartedInstance[]): void;
  /** Stores a departure; resolves with whether the store has it while the instance still waits for it. */
  save(departure: DepartedInstance): Promise<boolean>;
}

export function createDepartureRecords(
  { clock, log, write, read }: DepartureRecordsOptions,
): DepartureRecords {
  /** The oldest first. */
  let stored: readonly DepartedInstance[] = [];

  function isStored(departure: DepartedInstance): boolean {
    return stored.some((known) => isSameDeparture(known, departure));
  }

  function restore(departures: readonly DepartedInstance[]): void {
    stored = [...stored, ...departures.filter((each) => !isStored(each))];
  }

  async function attempt(departure: DepartedInstance): Promise<WriteOutcome> {
    const removed = stored.slice(
      0,
      Math.max(0, stored.length + 1 - MAXIMUM_STORED_DEPARTURES),
    );
    const written = await write({ added: [departure], removed });
    if (written.err) {
      log.write("warn", "instance.departure-not-stored", {
        instance: departure.identity,
        step: written.val.step,
        error: written.val.message,
      });
      return written.val.outcome === "not-run" ? "not-done" : "unknown";
    }
    stored = stored.filter((each) => !removed.includes(each));
    restore([departure]);
    return "done";
  }

  /** Reads what the store has, after a write whose response is missing. */
  async function lookUp(): Promise<void> {
    const found = await read();
    if (found.ok) {
      restore(found.val);
    }
  }

  return {
    get stored() {
      return stored;
    },
    restore,
    async save(departure) {
      if (isStored(departure)) {
        return true;
      }
      const startedAt = clock.now();
      const timeLeft = () =>
        startedAt + ACKNOWLEDGEMENT_TIMEOUT_MS - clock.now();
      let retryDelay = RETRY_DELAY_MS;
      while (!isStored(departure) && timeLeft() > MINIMUM_WRITE_MS) {
        const pause = (delay: Milliseconds) =>
          clock.sleep(Math.min(delay, Math.max(0, timeLeft())));
        const outcome = await Promise.race([
          attempt(departure),
          pause(REPEAT_MS).then(() => "no-response" as const),
        ]);
        if (outcome === "unknown" || outcome === "no-response") {
          await Promise.race([lookUp(), pause(LOOKUP_MS)]);
        }
        // A store that does not respond has had its pause already.
        if (!isStored(departure) && outcome !== "no-response") {
          await pause(retryDelay);
          retryDelay *= 2;
        }
      }
      log.write("info", "instance.departure-confirmed", {
        instance: departure.identity,
        isConfirmed: isStored(departure),
        after: Math.round(clock.now() - startedAt),
      });
      return isStored(departure);
    },
  };
}
